package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// simulatePeak lets each run add one token per step until nothing remains, and returns the largest total held.
func simulatePeak(runs []Size) int {
	runs = slices.Clone(runs)
	most := 0
	for len(runs) > 0 {
		held := 0
		for _, r := range runs {
			held += r.Held
		}
		most = max(most, held)
		runs = slices.DeleteFunc(runs, func(r Size) bool { return r.Remaining <= 0 })
		for i := range runs {
			runs[i].Held++
			runs[i].Remaining--
		}
	}
	return most
}

func TestPeakMatchesSimulation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runs := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Size {
			return Size{Held: rapid.IntRange(0, 50).Draw(t, "now"), Remaining: rapid.IntRange(0, 30).Draw(t, "left")}
		}), 0, 6).Draw(t, "runs")
		must.Eq(t, simulatePeak(runs), Peak(slices.Clone(runs)))
	})
}

// Two runs that reach their peaks on an engine at different times fit together; two that do so at the same time don't, so the new one
// is not sent there however little they hold now.
func TestMemoryFitIsJudgedByPeak(t *testing.T) {
	now := time.Unix(1, 0)
	f := New("z")
	f.SetSpecs(map[string]Spec{"s": {KVTokens: 100}})
	f.Apply(now, []Info{{ID: "e", Service: "s"}}, nil, 0)
	need := Need{Service: "s", RequireMemory: true, Peak: Size{Held: 10, Remaining: 60}}
	f.SetPeerLoad(now, "peer", nil, map[string][]Size{"e": {{Held: 25, Remaining: 10}}})
	got, ok := f.Acquire(now, need)
	must.True(t, ok)
	must.Eq(t, "e", got.ID)
	f.SetPeerLoad(now, "peer", nil, map[string][]Size{"e": {{Held: 10, Remaining: 60}}})
	_, ok = f.Acquire(now, need)
	must.False(t, ok)
	f.SetSizes(func(string) []Size { return []Size{{Held: 10, Remaining: 60}} })
	f.SetPeerLoad(now, "peer", nil, nil)
	_, ok = f.Acquire(now, need)
	must.False(t, ok)
}

// Prompts on an engine are prefilled one after another. An engine with enough memory but too many pending prompt tokens is excluded; one
// with none pending takes any prompt.
func TestMaxUnreadBoundsAdmission(t *testing.T) {
	now := time.Unix(1, 0)
	f := New("z")
	f.SetSpecs(map[string]Spec{"s": {KVTokens: 10_000}})
	f.Apply(now, []Info{{ID: "e", Service: "s"}}, nil, 0)
	need := Need{Service: "s", RequireMemory: true, Peak: Size{Held: 900}, Unread: 900, MaxUnread: 800}
	got, ok := f.Acquire(now, need)
	must.True(t, ok)
	f.Release(now, got.ID, Load{Unread: 900}, Served)
	f.SetPeerLoad(now, "peer", map[string]Load{"e": {Runs: 1, Unread: 100}}, nil)
	_, ok = f.Acquire(now, need)
	must.False(t, ok)
	need.MaxUnread = 1000
	_, ok = f.Acquire(now, need)
	must.True(t, ok)
}

// A caller's estimate of its output exceeds the memory of any engine. An empty engine takes the stream anyway; beside other runs the
// estimate counts, up to the fill limit.
func TestOversizedEstimateFitsEmptyEngine(t *testing.T) {
	now := time.Unix(1, 0)
	f := New("z")
	f.SetSpecs(map[string]Spec{"s": {KVTokens: 1000}})
	f.Apply(now, []Info{{ID: "e", Service: "s"}}, nil, 0)
	absurd := Need{Service: "s", RequireMemory: true, Peak: Size{Held: 10, Remaining: 1 << 30}}
	got, ok := f.Acquire(now, absurd)
	must.True(t, ok)
	f.Release(now, got.ID, Load{}, Served)
	f.SetPeerLoad(now, "peer", nil, map[string][]Size{"e": {{Held: 500}}})
	_, ok = f.Acquire(now, absurd)
	must.False(t, ok)
	_, ok = f.Acquire(now, Need{Service: "s", RequireMemory: true, Peak: Size{Held: 490}})
	must.False(t, ok) // 990 of 1000: the next tokens would preempt a run
	_, ok = f.Acquire(now, Need{Service: "s", RequireMemory: true, Peak: Size{Held: 460}})
	must.True(t, ok)
}
