package doctest

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

func TestDesignPageListsEveryPackage(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "DESIGN.md"))
	must.NoError(t, err)
	dirs, err := os.ReadDir("..")
	must.NoError(t, err)
	for _, d := range dirs {
		if d.IsDir() {
			must.StrContains(t, string(page), "| `lib/"+d.Name()+"` |")
		}
	}
}
