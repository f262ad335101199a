package replay

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// simulateAll runs load patterns under policies with the same seeds, and sums the tallies of each.
func simulateAll(runs map[string]func(seed uint64) Tally, seeds uint64) map[string]Tally {
	sums := make(map[string]Tally)
	var mu sync.Mutex
	var work sync.WaitGroup
	for name, run := range runs {
		work.Go(func() {
			var sum Tally
			for seed := range seeds {
				sum.Add(run(seed))
			}
			mu.Lock()
			defer mu.Unlock()
			sums[name] = sum
		})
	}
	work.Wait()
	return sums
}

// The two largest of 24 workspaces send five times as much for some seconds. The smaller half is served as without the burst, and neither
// large prompts nor all streams together pay for it.
func TestBurstOfLargeWorkspaces(t *testing.T) {
	load, calm := UnequalWorkspaces(), UnequalWorkspaces()
	calm.Workspaces.BurstFactor = nil
	got := simulateAll(map[string]func(uint64) Tally{
		"calm":   func(seed uint64) Tally { return Simulate(calm, Policy{}, seed) },
		"fair":   func(seed uint64) Tally { return Simulate(load, Policy{}, seed) },
		"unfair": func(seed uint64) Tally { return Simulate(load, Policy{Unfair: true}, seed) },
	}, 24)
	for name, tally := range got {
		t.Logf("%-7s all %.4f large %.4f small workspaces %.4f", name, tally.Share(), tally.LargeShare(), tally.SmallShare())
	}
	must.Greater(t, got["calm"].SmallShare()-0.02, got["fair"].SmallShare())
	must.Greater(t, got["unfair"].SmallShare()+0.05, got["fair"].SmallShare())
	must.Greater(t, got["unfair"].Share()-0.01, got["fair"].Share())
	must.GreaterEq(t, got["unfair"].LargeShare(), got["fair"].LargeShare())
}

// Without workspaces, and with one, all streams are decided in the order of their deadlines alone.
func TestOneWorkspaceChangesNothing(t *testing.T) {
	for _, name := range []string{"crowded", "bursts", "hurried"} {
		none := Patterns[name]()
		one := none
		one.Workspaces.Count = 1
		want := Simulate(none, Policy{Unfair: true}, 5)
		must.Eq(t, want, Simulate(none, Policy{}, 5), must.Sprint(name))
		got := Simulate(one, Policy{}, 5)
		got.WorkspaceTally = want.WorkspaceTally // the only workspace is the smaller half, too
		must.Eq(t, want, got, must.Sprint(name))
	}
}

// Without bursts, the same streams arrive as with them, and more from the largest workspaces.
func TestBurstsAddStreamsOfLargestWorkspaces(t *testing.T) {
	load, calm := UnequalWorkspaces(), UnequalWorkspaces()
	calm.Workspaces.BurstFactor = nil
	with, without := Simulate(load, Policy{}, 1), Simulate(calm, Policy{}, 1)
	must.Eq(t, without.Small, with.Small)
	must.Positive(t, with.Small)
	must.Greater(t, without.Streams*3/2, with.Streams)
}

// The owners fail during a burst of large workspaces. The next ones have no accounts and decide by deadlines until they have some: no more
// callers are refused for good than by deadlines alone, and the smaller half of the workspaces is still served better.
func TestOwnersFailDuringBurst(t *testing.T) {
	load := UnequalWorkspaces()
	load.OwnersFailAt = 11 * time.Second
	got := simulateAll(map[string]func(uint64) Tally{
		"fair":   func(seed uint64) Tally { return Simulate(load, Policy{}, seed) },
		"unfair": func(seed uint64) Tally { return Simulate(load, Policy{Unfair: true}, seed) },
	}, 24)
	for name, tally := range got {
		t.Logf("%-7s all %.4f small workspaces %.4f refused %d", name, tally.Share(), tally.SmallShare(), tally.Refused)
	}
	must.LessEq(t, got["unfair"].Refused, got["fair"].Refused)
	must.Greater(t, got["unfair"].SmallShare(), got["fair"].SmallShare())
	must.Greater(t, got["unfair"].Share()-0.01, got["fair"].Share())
}
