package entry

import (
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/settings"
)

// An operator sets max_preemptions to 0 so that a class's generations stay where they are. To the scheduler zero means
// that nothing was said, and they would be moved as often as it does by itself.
func TestNoPreemptionsReachesTheScheduler(t *testing.T) {
	tree, err := settings.Parse([]byte(`
site: {name: s, failure_domains: [a]}
classes:
  still: {max_preemptions: 0}
  once: {max_preemptions: 1}
`), "f")
	must.NoError(t, err)
	snap, err := tree.Resolve(1)
	must.NoError(t, err)
	policies := ClassPolicies(snap, "m")
	must.Eq(t, sched.NoPreemptions, policies("w", "still").MaxPreemptions)
	must.Eq(t, 1, policies("w", "once").MaxPreemptions)
}
