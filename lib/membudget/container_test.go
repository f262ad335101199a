package membudget

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

func TestContainerLimitIsTheLowestOfAllGroups(t *testing.T) {
	root := t.TempDir()
	for group, limit := range map[string]string{"a": "300\n", "a/b": "max\n", "a/b/c": "500\n"} {
		dir := filepath.Join(root, group)
		must.NoError(t, os.MkdirAll(dir, 0o700))
		must.NoError(t, os.WriteFile(filepath.Join(dir, "memory.max"), []byte(limit), 0o600))
	}
	must.Eq(t, 300, containerLimit(root, "0::/a/b/c\n"))
	must.Eq(t, 0, containerLimit(root, "0::/\n"))
	must.Eq(t, 0, containerLimit(root, "5:memory:/a\n"))
	must.Eq(t, 0, containerLimit(root, ""))
}
