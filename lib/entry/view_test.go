package entry

import (
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/settings"
)

// An operator sets max_preemptions to 0 so that a class's generations are never moved. The scheduler treats zero as unset and
// would apply its default.
func TestZeroPreemptionsReachesScheduler(t *testing.T) {
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

// An operator sets a memory risk of 0. The scheduler replaces 0 by its default, which is far higher.
func TestZeroMemoryRiskIsNotDefault(t *testing.T) {
	tree, err := settings.Parse([]byte(`
site: {name: s, failure_domains: [a]}
policy: {memory_risk: 0}
classes: {c: {}}
services:
  m: {kind: model, models: [m], targets: {e: {addr: "127.0.0.1:1", failure_domain: a}}}
`), "test")
	must.NoError(t, err)
	snap, err := tree.Resolve(1)
	must.NoError(t, err)
	must.Between(t, 0, ClassPolicies(snap, "m")("w", "c").MemoryRisk, minMemoryRisk)
	must.Positive(t, ClassPolicies(snap, "m")("w", "c").MemoryRisk)
}
