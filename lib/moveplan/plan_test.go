package moveplan

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var (
	link    = Link{TokensPerSecond: 10_000, CrossDomainFactor: 2}
	leaving = []Engine{{ID: "x", Domain: "z1"}, {ID: "y", Domain: "z1"}}
)

// Instances with the same state compute the same plan, whatever order it is in.
func TestPlanIsIndependentOfInputOrder(t *testing.T) {
	runs := []Run{{ID: 1, From: "x", Tokens: 3000}, {ID: 2, From: "x", Tokens: 1000}, {ID: 3, From: "y", Tokens: 2000}}
	dests := []Engine{{ID: "b", Free: 5000, Domain: "z1"}, {ID: "a", Free: 9000, Domain: "z2"}}
	reordered := []Run{runs[2], runs[0], runs[1]}
	must.Eq(t, Plan(runs, leaving, dests, link), Plan(reordered, leaving, []Engine{dests[1], dests[0]}, link))
}

// Small runs go first, one after another, within the failure domain before across; runs that can't be copied yet go last.
func TestPlanOrderAndDestinations(t *testing.T) {
	got := Plan(
		[]Run{
			{ID: 1, From: "x", Tokens: 3000}, {ID: 2, From: "x", Tokens: 1000}, {ID: 3, From: "x", Tokens: 2000},
			{ID: 4, From: "x", Tokens: 10, Prefilling: true},
		},
		leaving, []Engine{{ID: "near", Free: 3500, Domain: "z1"}, {ID: "far", Free: 9000, Domain: "z2"}}, link,
	)
	must.Eq(t, []string{"near", "near", "far"}, []string{got[0].To, got[1].To, got[2].To})
	must.Eq(t, []uint64{2, 3, 1, 4}, []uint64{got[0].Run.ID, got[1].Run.ID, got[2].Run.ID, got[3].Run.ID})
	must.Eq(t, 0, got[0].Start)
	must.Eq(t, 100*time.Millisecond+stepOverhead, got[1].Start)
	must.Eq(t, 300*time.Millisecond+2*stepOverhead, got[2].Start)
}

// Two engines leave at once. Planned separately, both would send their runs to the engine with the most memory, whose link carries one copy
// at a time: streams stall while their last part queues there. Planned together, no link carries two copies at a time.
func TestLinksCarryOneCopyAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runs := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Run {
			return Run{
				ID: rapid.Uint64().Draw(t, "id"), From: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "from"),
				Tokens: rapid.IntRange(0, 5000).Draw(t, "tokens"),
			}
		}), 0, 12).Draw(t, "runs")
		dests := []Engine{{ID: "a", Free: 30_000, Domain: "z1"}, {ID: "b", Free: 9000, Domain: "z2"}, {ID: "c", Free: 9000, Domain: "z1"}}
		busy := make(map[string]time.Duration)
		for _, s := range Plan(runs, leaving, dests, link) {
			if s.To == "" {
				continue
			}
			for _, l := range []string{s.Run.From, s.To} {
				must.GreaterEq(t, busy[l], s.Start)
				busy[l] = s.Start + link.transferTime(s.Run.Tokens, s.To != "b") + stepOverhead
			}
		}
	})
}

// A plan assigns no engine more than its free memory, and every run has a step.
func TestPlanKeepsWithinFreeMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runs := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Run {
			return Run{
				ID: rapid.Uint64().Draw(t, "id"), From: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "from"),
				Tokens: rapid.IntRange(0, 5000).Draw(t, "tokens"), Expected: rapid.IntRange(0, 2000).Draw(t, "expected"),
			}
		}), 0, 20).Draw(t, "runs")
		free := map[string]int{}
		var dests []Engine
		for _, id := range []string{"a", "b", "c"} {
			free[id] = rapid.IntRange(-100, 20_000).Draw(t, "free")
			dests = append(dests, Engine{ID: id, Free: free[id], Domain: rapid.SampledFrom([]string{"z1", "z2"}).Draw(t, "domain")})
		}
		steps := Plan(runs, leaving, dests, link)
		must.Len(t, len(runs), steps)
		for _, s := range steps {
			if s.To != "" {
				free[s.To] -= s.Run.Tokens + s.Run.Expected
				must.GreaterEq(t, 0, free[s.To])
			}
		}
	})
}

// Engines of two software versions share a service. The memory of a run fits only engines of its own version, however much others have free.
func TestRunMovesOnlyToItsSoftware(t *testing.T) {
	from := []Engine{{ID: "x", Domain: "z1", Software: 1}, {ID: "y", Domain: "z1", Software: 3}}
	dests := []Engine{{ID: "a", Free: 90_000, Domain: "z1", Software: 2}, {ID: "b", Free: 9000, Domain: "z2", Software: 1}}
	got := Plan([]Run{{ID: 1, From: "x", Tokens: 1000}, {ID: 2, From: "y", Tokens: 1000}}, from, dests, link)
	must.Eq(t, map[uint64]string{1: "b", 2: ""}, map[uint64]string{got[0].Run.ID: got[0].To, got[1].Run.ID: got[1].To})
}
