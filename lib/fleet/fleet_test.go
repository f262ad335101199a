package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var t0 = time.Unix(1_000_000, 0)

func newEngineFleet(n int) *Fleet {
	f := New("z1")
	f.SetSpecs(map[string]Spec{"engine": {KVTokens: 10_000, ConnCap: 100}, "plain": {ConnCap: 10}})
	for i := range n {
		f.Apply(t0, []Info{{ID: fmt.Sprintf("e%d", i), Service: "engine", Domain: "z1", Slots: 8}}, nil, 0)
	}
	return f
}

// Instances that each choose by their own requests alone all take the engine that looks idle. With each other's load they spread out.
func TestPeerLoadIsCounted(t *testing.T) {
	f := newEngineFleet(2)
	f.SetPeerLoad(t0, "peer", map[string]Load{"e0": {Runs: 2, Tokens: 6000}}, nil)
	for range 3 {
		got, ok := f.Acquire(t0, Need{Service: "engine", Tokens: 1000})
		must.True(t, ok)
		must.Eq(t, "e1", got.ID)
	}
	f.Tick(t0.Add(peerTTL + time.Second))
	got, _ := f.Acquire(t0, Need{Service: "engine", Tokens: 1000})
	must.Eq(t, "e0", got.ID) // the old update has expired
}

// A prompt that waits for prefill delays a new one more than the same number of tokens in memory.
func TestUnreadPromptsWeighMore(t *testing.T) {
	f := newEngineFleet(2)
	f.SetPeerLoad(t0, "peer", map[string]Load{"e0": {Runs: 1, Tokens: 3000, Unread: 3000}, "e1": {Runs: 1, Tokens: 4000}}, nil)
	got, _ := f.Acquire(t0, Need{Service: "engine", Tokens: 1000, Unread: 1000})
	must.Eq(t, "e1", got.ID)
}

// A leaving target gets no new requests. A stale entry that calls it ready does not bring it back, and its leaving is reported once.
func TestLeavingIsFinal(t *testing.T) {
	f := newEngineFleet(1)
	e := Info{ID: "e0", Service: "engine", Leaving: true}
	must.Len(t, 1, f.Apply(t0, []Info{e}, nil, 0).Leaving)
	e.Leaving = false
	must.Len(t, 0, f.Apply(t0, []Info{e}, nil, 0).Leaving)
	_, ok := f.Acquire(t0, Need{Service: "engine"})
	must.False(t, ok)
	must.True(t, f.IsLeaving("e0"))
	must.Eq(t, []LeftTarget{{ID: "e0", Cause: Announced}}, f.LeftSince(t0.Add(-time.Second)))
}

// Entries expire during a store outage. The targets are kept for a grace period, stay usable if their entries return, and are treated as
// leaving if not.
func TestLapsedEntries(t *testing.T) {
	f := newEngineFleet(2)
	ch := f.Apply(t0, nil, []string{"e0", "e1"}, 5*time.Second)
	must.Len(t, 0, ch.Leaving)
	f.Apply(t0.Add(time.Second), []Info{{ID: "e0", Service: "engine"}}, nil, 0)
	ch = f.Tick(t0.Add(OutageGrace + time.Millisecond))
	must.Len(t, 1, ch.Leaving)
	must.Eq(t, "e1", ch.Leaving[0].ID)
	must.False(t, f.IsLeaving("e0"))
	must.Len(t, 1, f.Apply(t0, nil, []string{"e0"}, 0).Leaving) // without an outage a removal counts at once
}

// A target was presumed gone because its entry was missing for too long. When its entry returns it is used again, and it is not reported to
// others as having left. A target that announced leaving stays gone.
func TestPresumedGoneTargetReturns(t *testing.T) {
	for name, gone := range map[string]func(f *Fleet) Change{
		"after an outage": func(f *Fleet) Change {
			f.Apply(t0, nil, []string{"e0"}, 5*time.Second)
			return f.Tick(t0.Add(OutageGrace + time.Millisecond))
		},
		"after a copy": func(f *Fleet) Change { return f.PresumeGone(t0, []string{"e0"}) },
	} {
		f := newEngineFleet(1)
		ch := gone(f)
		must.Len(t, 1, ch.Leaving, must.Sprint(name))
		must.SliceEmpty(t, f.LeftSince(t0.Add(-time.Second)))
		e := Info{ID: "e0", Service: "engine"}
		must.Len(t, 1, f.Apply(t0.Add(time.Minute), []Info{e}, nil, 0).Added)
		must.False(t, f.IsLeaving("e0"))
		gone(f)
		e.Leaving = true
		f.Apply(t0.Add(time.Minute), []Info{e}, nil, 0)
		e.Leaving = false
		f.Apply(t0.Add(time.Minute), []Info{e}, nil, 0)
		must.True(t, f.IsLeaving("e0"), must.Sprint(name))
	}
}

// One instance must not use up the connections that a target accepts from all instances.
func TestConnectionCapIsShared(t *testing.T) {
	f := New("z1")
	f.SetSpecs(map[string]Spec{"plain": {ConnCap: 10}})
	f.SetShare(0.3)
	f.Apply(t0, []Info{{ID: "p", Service: "plain", Slots: 100}}, nil, 0)
	n := 0
	for ; n < 20; n++ {
		if _, ok := f.Acquire(t0, Need{Service: "plain"}); !ok {
			break
		}
	}
	must.Eq(t, 3, n)
}

// An unreachable target gets no requests for a while, but is chosen over a refusal if all targets are unreachable.
func TestUnreachableTargetIsAvoided(t *testing.T) {
	f := newEngineFleet(2)
	got, _ := f.Acquire(t0, Need{Service: "engine"})
	f.Release(t0, got.ID, Load{}, Unreachable)
	for range 5 {
		other, ok := f.Acquire(t0, Need{Service: "engine"})
		must.True(t, ok)
		must.NotEq(t, got.ID, other.ID)
	}
	last, ok := f.Acquire(t0, Need{Service: "engine", Exclude: map[string]bool{"e0": got.ID != "e0", "e1": got.ID != "e1"}})
	must.True(t, ok)
	must.Eq(t, got.ID, last.ID)
	_, ok = f.Acquire(t0, Need{Service: "engine", RequireMemory: true, Tokens: 20_000})
	must.False(t, ok)
}

// A target that fails half of its requests is avoided while others fail none.
func TestFailingTargetIsAvoided(t *testing.T) {
	f := New("z1")
	f.SetSpecs(map[string]Spec{"plain": {}})
	f.Apply(t0, []Info{{ID: "bad", Service: "plain", Slots: 8}, {ID: "good", Service: "plain", Slots: 8}}, nil, 0)
	for i := range 40 {
		o := Served
		if i%2 == 0 {
			o = Failed
		}
		f.AddLoad("bad", Load{Runs: 1})
		f.Release(t0, "bad", Load{}, o)
	}
	for range 3 {
		got, _ := f.Acquire(t0, Need{Service: "plain"})
		must.Eq(t, "good", got.ID)
	}
}

// Copies are placed only where the minimum share of memory stays free.
func TestCopyLeavesMinimumFree(t *testing.T) {
	f := newEngineFleet(2)
	f.SetPeerLoad(t0, "peer", map[string]Load{"e0": {Tokens: 2000}, "e1": {Tokens: 5000}}, nil)
	got, ok := f.ChooseForCopy(t0, Need{Service: "engine", Tokens: 1000}, "", 0.5)
	must.True(t, ok)
	must.Eq(t, "e0", got.ID)
	_, ok = f.ChooseForCopy(t0, Need{Service: "engine", Tokens: 3000}, "", 0.5)
	must.False(t, ok)
}

// A peer reports late that a target has left, after this instance has read the entry of its next incarnation under the same id. The report
// is about the earlier incarnation; applied to the new one, it would exclude that for good.
func TestStaleLeaveOfEarlierIncarnation(t *testing.T) {
	f := New("z1")
	f.SetSpecs(map[string]Spec{"engine": {KVTokens: 10_000}})
	entry := Info{ID: "e", Service: "engine", Born: 100}
	f.Apply(t0, []Info{entry}, nil, 0)
	must.Len(t, 1, f.MarkLeaving(t0, "e", 100).Leaving)
	entry.Born = 200
	must.Len(t, 1, f.Apply(t0, []Info{entry}, nil, 0).Restarted)
	must.Len(t, 0, f.MarkLeaving(t0, "e", 100).Leaving)
	_, ok := f.Acquire(t0, Need{Service: "engine"})
	must.True(t, ok)
	must.Len(t, 1, f.MarkLeaving(t0, "e", 200).Leaving)
}

// An engine restarts while the list can't be read. Its own report shows the new incarnation: runs on the previous one are reported as
// broken once, and a report of the same incarnation or of none changes nothing.
func TestReportOfNewIncarnation(t *testing.T) {
	f := New("z1")
	f.Apply(t0, []Info{{ID: "e", Service: "engine", Born: 100}}, nil, 0)
	must.Len(t, 0, f.MarkRestarted(t0, "e", 0).Restarted)
	must.Len(t, 0, f.MarkRestarted(t0, "e", 100).Restarted)
	must.Len(t, 1, f.MarkRestarted(t0, "e", 200).Restarted)
	must.Len(t, 0, f.MarkRestarted(t0, "e", 200).Restarted)
	must.Len(t, 0, f.Apply(t0, []Info{{ID: "e", Service: "engine", Born: 200}}, nil, 0).Restarted)
}

// The sum of the peers' loads is cached. It must follow their updates, their expiry, and targets that are listed only after the updates.
func TestPeerTotalsFollowUpdates(t *testing.T) {
	f := New("z1")
	f.SetSpecs(map[string]Spec{"engine": {KVTokens: 10_000}})
	tokens := func() int { return f.KnownState(t0, "e").Load.Tokens }
	f.SetPeerLoad(t0, "a", map[string]Load{"e": {Tokens: 100}}, nil)
	f.Apply(t0, []Info{{ID: "e", Service: "engine"}}, nil, 0)
	must.Eq(t, 100, tokens())
	f.SetPeerLoad(t0, "b", map[string]Load{"e": {Tokens: 50}}, nil)
	must.Eq(t, 150, tokens())
	f.SetPeerLoad(t0.Add(peerTTL), "a", map[string]Load{"other": {Tokens: 7}}, nil)
	must.Eq(t, 50, tokens())
	f.Tick(t0.Add(peerTTL + time.Second))
	must.Eq(t, 0, tokens())
}

// A target has announced leaving, and the list can't be read, or still shows it as ready, for longer than such targets are remembered. The
// old entry, when read again, must not bring it back.
func TestStaleEntryDoesNotRestoreTargetThatLeft(t *testing.T) {
	f := New("z1")
	entry := []Info{{ID: "t", Service: "s", Slots: 6}}
	f.Apply(t0, entry, nil, 0)
	must.SliceNotEmpty(t, f.MarkLeaving(t0, "t", 0).Leaving)
	f.Tick(t0.Add(2 * forgetAfter))
	f.Apply(t0.Add(2*forgetAfter), entry, nil, 0)
	_, ok := f.Acquire(t0.Add(2*forgetAfter), Need{Service: "s"})
	must.False(t, ok)
	f.Apply(t0.Add(2*forgetAfter), nil, []string{"t"}, 0)
	must.SliceNotEmpty(t, f.Tick(t0.Add(2*forgetAfter+time.Second)).Gone)
}
