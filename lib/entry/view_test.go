package entry

import (
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/settings"
)

// An operator asks for no risk at all. The scheduler fills a risk of 0 by its default, which is far more.
func TestMemoryRiskOfZeroIsNotTheDefault(t *testing.T) {
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
	must.Between(t, 0, ClassPolicies(snap, "m")("w", "c").MemoryRisk, leastRisk)
	must.Positive(t, ClassPolicies(snap, "m")("w", "c").MemoryRisk)
}
