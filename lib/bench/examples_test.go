package bench

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/entry"
	"anvilwick.example/anvilwick/lib/settings"
	"anvilwick.example/anvilwick/lib/workload"
)

// The example settings must use the bench's accepted memory risk and bound on moves for long requests.
func TestExamplesUseBenchClassPolicy(t *testing.T) {
	for _, c := range []struct{ deployment, workspace, class string }{
		{"kelburn", "glasgow-planning", "narrative"},
		{"kivu", "treaty-desk", "bordereau"},
	} {
		file := "../../examples/" + c.deployment + "/settings.yaml"
		text, err := os.ReadFile(file)
		must.NoError(t, err)
		tree, err := settings.Parse(text, file)
		must.NoError(t, err)
		snap, err := tree.Resolve(1)
		must.NoError(t, err)
		for _, m := range workload.Deployments() {
			if m.Deployment != c.deployment {
				continue
			}
			got := entry.ClassPolicies(snap, m.Service)(c.workspace, "overnight")
			want, _ := m.Class(c.class)
			must.Eq(t, want.MemoryRisk, got.MemoryRisk)
			must.Eq(t, want.MaxPreemptions, got.MaxPreemptions)
		}
	}
}
