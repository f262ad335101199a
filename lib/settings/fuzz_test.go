package settings

import (
	"errors"
	"os"
	"testing"

	"github.com/shoenig/test/must"
)

// FuzzParse checks that any input is either rejected with a problem and an expected value, or can be resolved.
func FuzzParse(f *testing.F) {
	for _, file := range []string{kelburnFile, "../../examples/kivu/settings.yaml"} {
		text, err := os.ReadFile(file)
		must.NoError(f, err)
		f.Add(text)
	}
	f.Add([]byte(base))
	f.Fuzz(func(t *testing.T, text []byte) {
		tree, err := Parse(text, "f")
		if err != nil {
			checkValidationError(t, err)
			return
		}
		snap, err := tree.Resolve(1)
		must.NoError(t, err)
		must.Len(t, 0, Diff(tree, tree))
		for service := range snap.Services {
			for workspace := range snap.Workspaces {
				must.NotNil(t, snap.Policy(service, workspace, "urgent"))
			}
		}
	})
}

func checkValidationError(t *testing.T, err error) {
	t.Helper()
	var r *ValidationError
	must.True(t, errors.As(err, &r))
	must.SliceNotEmpty(t, r.Problems)
	for _, p := range r.Problems {
		must.NotEq(t, "", p.Expected)
	}
}
