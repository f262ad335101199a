package ownerlink

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/fleet"
)

// Two of up to three instances have seen requests fail at a plain target. The judging instance adds the failures up, and all avoid the
// target; when the first candidate is gone, the next judges. After some seconds without requests the target is tried again.
func TestFailingTargetIsAvoidedByAllInstances(t *testing.T) {
	for _, running := range [][]string{{"a", "b", "c"}, {"a", "b"}, {"b", "c"}, {"a", "c"}} {
		t.Run(running[0]+running[1], func(t *testing.T) {
			t.Parallel()
			members, _ := site(t, 1, running...)
			plain := []fleet.Info{{ID: "bad", Service: "p", Domain: "z0", Slots: 6}, {ID: "good", Service: "p", Domain: "z0", Slots: 6}}
			for _, m := range members {
				m.Fleet.Apply(time.Now(), plain, nil, 0)
				m.Fleet.SetRandom(func() float64 { return 0 })
			}
			need := fleet.Need{Service: "p"}
			for _, name := range running[:2] {
				for range 3 {
					members[name].RecordPlainOutcome("p", "bad", fleet.Failed)
					members[name].RecordPlainOutcome("p", "good", fleet.Served)
				}
			}
			for _, name := range running {
				eventually(t, func() bool {
					got, ok := members[name].Fleet.Acquire(time.Now(), need)
					must.True(t, ok)
					members[name].Fleet.Release(time.Now(), got.ID, fleet.Load{}, fleet.Abandoned)
					return got.ID == "good"
				})
			}
			eventually(t, func() bool {
				got, _ := members[running[0]].Fleet.Acquire(time.Now(), need)
				members[running[0]].Fleet.Release(time.Now(), got.ID, fleet.Load{}, fleet.Abandoned)
				return got.ID == "bad"
			})
		})
	}
}
