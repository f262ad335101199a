package prove

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestSameSeedGivesSamePlan(t *testing.T) {
	const span = time.Minute
	must.Eq(t, planFaults(7, span, 2), planFaults(7, span, 2))
	must.Eq(t, planOperations(7, span, 10), planOperations(7, span, 10))
	must.NotEq(t, planFaults(7, span, 2), planFaults(8, span, 2))
}

func TestFaultsNeverAffectAllEntries(t *testing.T) {
	for _, atOnce := range []int{2, 3} {
		kinds, pairs := map[string]int{}, 0
		for seed := range uint64(20) {
			plan := planFaults(seed, time.Minute, atOnce)
			for i, f := range plan {
				kinds[f.kind]++
				if f.pair {
					pairs++
				}
				concurrent := active(plan[:i], f)
				must.Less(t, atOnce, len(concurrent))
				entries := map[string]bool{}
				for _, o := range append(concurrent, f) {
					if affectsEntry(o.subject) {
						entries[o.subject] = true
					}
				}
				must.Less(t, atOnce, len(entries)) // one fewer than faults
				for _, o := range plan[:i] {
					must.False(t, tooClose(o, f), must.Sprintf("%v and %v", o, f))
				}
			}
		}
		must.MapLen(t, 8, kinds)
		must.Positive(t, pairs)
	}
}
