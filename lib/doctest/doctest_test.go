package doctest

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

func TestCheckSection(t *testing.T) {
	file := filepath.Join(t.TempDir(), "page.md")
	must.NoError(t, os.WriteFile(file, []byte("a\n<!-- x:begin -->\nold\n<!-- x:end -->\nz\n"), 0o600))
	must.NoError(t, CheckSection(file, "x", []byte("old\n"), false))
	must.ErrorContains(t, CheckSection(file, "x", []byte("new\n"), false), "differs")
	must.ErrorContains(t, CheckSection(file, "y", []byte("new\n"), true), "no section y")
	must.NoError(t, CheckSection(file, "x", []byte("new\n"), true))
	page, err := os.ReadFile(file)
	must.NoError(t, err)
	must.Eq(t, "a\n<!-- x:begin -->\nnew\n<!-- x:end -->\nz\n", string(page))
}
