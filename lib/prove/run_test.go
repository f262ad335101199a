package prove

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/proc"
)

func TestMain(m *testing.M) {
	code := m.Run()
	proc.RemoveBinaries()
	os.Exit(code)
}

// Guards against false violations: a short run with real processes and no faults must report none. It must also have
// completed operations, so that an idle run does not pass.
func TestRunWithoutFaults(t *testing.T) {
	bin, err := proc.Binaries(t.Context())
	must.NoError(t, err)
	var out bytes.Buffer
	cfg := Config{
		Seed: 1, Span: 4 * time.Second, Rate: 20, Binaries: bin, MaxFaults: 2,
		History: filepath.Join(t.TempDir(), "history.jsonl"),
	}
	must.NoError(t, Run(t.Context(), cfg, &out), must.Sprint(out.String()))
	must.StrContains(t, out.String(), "violations=0\n")
	must.StrContains(t, out.String(), `outcome kind="keyed completed"`)
	must.StrContains(t, out.String(), `outcome kind="bookonce http_200"`)
	must.StrContains(t, out.String(), `outcome kind="apply yes"`)
}
