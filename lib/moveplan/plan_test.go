package moveplan

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var link = Link{TokensPerSecond: 10_000, FarFactor: 2}

// Two instances with the same news make the same plan, whatever the order in which they heard it.
func TestPlanDoesNotDependOnOrder(t *testing.T) {
	runs := []Run{{ID: 1, Tokens: 3000}, {ID: 2, Tokens: 1000}, {ID: 3, Tokens: 2000}}
	dests := []Engine{{ID: "b", Free: 5000, Near: true}, {ID: "a", Free: 9000}}
	back := []Run{runs[2], runs[0], runs[1]}
	must.Eq(t, Plan(runs, dests, link), Plan(back, []Engine{dests[1], dests[0]}, link))
}

// Small runs go first, one after another, near before far.
func TestOrderAndDestinations(t *testing.T) {
	got := Plan(
		[]Run{{ID: 1, Tokens: 3000}, {ID: 2, Tokens: 1000}, {ID: 3, Tokens: 2000}},
		[]Engine{{ID: "near", Free: 3500, Near: true}, {ID: "far", Free: 9000}}, link,
	)
	must.Eq(t, []string{"near", "near", "far"}, []string{got[0].To, got[1].To, got[2].To})
	must.Eq(t, []uint64{2, 3, 1}, []uint64{got[0].Run.ID, got[1].Run.ID, got[2].Run.ID})
	must.Eq(t, 0, got[0].Start)
	must.Eq(t, 100*time.Millisecond+stepOverhead, got[1].Start)
	must.Eq(t, 300*time.Millisecond+2*stepOverhead, got[2].Start)
}

// No plan promises an engine more than its free memory, and every run has a step.
func TestNoEngineIsOverfilled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runs := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Run {
			return Run{ID: rapid.Uint64().Draw(t, "id"), Tokens: rapid.IntRange(0, 5000).Draw(t, "tokens"), Expected: rapid.IntRange(0, 2000).Draw(t, "expected")}
		}), 0, 20).Draw(t, "runs")
		free := map[string]int{}
		var dests []Engine
		for _, id := range []string{"a", "b", "c"} {
			free[id] = rapid.IntRange(-100, 20_000).Draw(t, "free")
			dests = append(dests, Engine{ID: id, Free: free[id], Near: rapid.Bool().Draw(t, "near")})
		}
		steps := Plan(runs, dests, link)
		must.Len(t, len(runs), steps)
		for _, s := range steps {
			if s.To != "" {
				free[s.To] -= s.Run.Tokens + s.Run.Expected
				must.GreaterEq(t, 0, free[s.To])
			}
		}
	})
}
