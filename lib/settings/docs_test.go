package settings

import (
	"bytes"
	"flag"
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/doctest"
)

var update = flag.Bool("update", false, "write the tables of docs anew")

const settingsPage = "../../docs/SETTINGS.md"

func TestDocsListEveryKey(t *testing.T) {
	var want bytes.Buffer
	WriteKeys(&want)
	must.NoError(t, doctest.CheckSection(settingsPage, "keys", want.Bytes(), *update))
}
