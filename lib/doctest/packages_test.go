package doctest

import (
	"os"
	"path/filepath"
	"strings"
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
			must.True(t, strings.Contains(string(page), "| `lib/"+d.Name()+"` |"), must.Sprintf("docs/DESIGN.md lacks lib/%s", d.Name()))
		}
	}
}
