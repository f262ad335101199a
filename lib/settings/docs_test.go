package settings

import (
	"bytes"
	"flag"
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/doctest"
)

var update = flag.Bool("update", false, "write the tables of docs anew")

const settingsPage = "../../docs/SETTINGS.md"

func TestDocsListEveryKey(t *testing.T) {
	var want bytes.Buffer
	WriteKeys(&want)
	page, same, err := doctest.Section(settingsPage, "keys", want.Bytes())
	must.NoError(t, err)
	if *update {
		must.NoError(t, os.WriteFile(settingsPage, page, 0o644))
		return
	}
	must.True(t, same, must.Sprint("docs/SETTINGS.md differs from the code; run with -update"))
}
