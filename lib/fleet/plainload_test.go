package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/plainload"
)

func newPlainFleet() *Fleet {
	f := New("z1")
	f.SetRandom(func() float64 { return 0.5 })
	f.SetSpecs(map[string]Spec{"plain": {}, "engine": {KVTokens: 1000}})
	f.Apply(t0, []Info{
		{ID: "a", Born: 1, Service: "plain", Domain: "z1", Slots: 6}, {ID: "b", Born: 1, Service: "plain", Domain: "z2", Slots: 6},
		{ID: "e", Born: 1, Service: "engine", Domain: "z1", Slots: 6},
	}, nil, 0)
	return f
}

func (f *Fleet) chosen(t *testing.T, now time.Time) string {
	t.Helper()
	got, ok := f.Acquire(now, Need{Service: "plain"})
	must.True(t, ok)
	f.Release(now, got.ID, Load{}, Abandoned)
	return got.ID
}

// No target names a load: own calls and the failure domain decide, as they do without this package.
func TestTargetsWithoutLoadAreChosenByOwnCalls(t *testing.T) {
	f := newPlainFleet()
	f.surveyPlain(t0, "plain")
	must.Eq(t, plainView{}, f.plainView)
	for _, want := range []string{"a", "b", "a", "b"} {
		got, _ := f.Acquire(t0, Need{Service: "plain"})
		must.Eq(t, want, got.ID)
	}
}

// Targets that name their load but no slowdown: the load counts beside own calls, for a moment.
func TestTargetsWithoutSlowdownAreChosenByBusyShare(t *testing.T) {
	f := newPlainFleet()
	must.False(t, f.ObserveLoad(t0, "a", 1, plainload.Report{Running: 1, Waiting: 1}))
	must.Eq(t, "b", f.chosen(t, t0.Add(399*time.Millisecond)))
	must.Eq(t, "a", f.chosen(t, t0.Add(400*time.Millisecond)))
	must.Eq(t, plainView{}, f.plainView)
}

// Some targets of a service name no load. A report of another target, busy or idle, must not make them get all calls or none.
func TestTargetWithoutLoadBesideOthers(t *testing.T) {
	f := newPlainFleet()
	f.ObserveLoad(t0, "b", 1, plainload.Report{Running: 4, Slowdown: 1})
	must.Eq(t, "a", f.chosen(t, t0))
	f.ObserveLoad(t0.Add(time.Millisecond), "b", 1, plainload.Report{Slowdown: 1})
	must.Eq(t, "a", f.chosen(t, t0.Add(time.Millisecond)))
	f.AddLoad("a", Load{Runs: 1})
	must.Eq(t, "b", f.chosen(t, t0.Add(time.Millisecond)))
}

// A target with a queue restarts. The report of its previous incarnation must not keep calls away, nor may one of a peer
// or one that arrives late.
func TestReportOfPreviousIncarnationIsDropped(t *testing.T) {
	f := newPlainFleet()
	f.ObserveLoad(t0, "a", 1, plainload.Report{Running: 6, Waiting: 6, Slowdown: 2.5})
	must.Eq(t, "b", f.chosen(t, t0))
	f.Apply(t0, []Info{{ID: "a", Born: 2, Service: "plain", Domain: "z1", Slots: 6}}, nil, 0)
	f.ObservePeerSlowdown(t0, "a", 1, 2.5)
	must.False(t, f.ObserveLoad(t0, "a", 1, plainload.Report{Running: 6, Waiting: 6, Slowdown: 2.5})) // arrives late
	must.Eq(t, "a", f.chosen(t, t0))
}

// A peer has just found a target slowed down. This instance has received nothing from it for seconds, and avoids it for a while.
func TestPeersSlowdownIsAvoidedForAWhile(t *testing.T) {
	f := newPlainFleet()
	f.ObservePeerSlowdown(t0, "a", 1, 2.5)
	must.Eq(t, "b", f.chosen(t, t0))
	must.Eq(t, PlainState{Slowdown: 2.5}, f.KnownState(t0, "a").Plain)
	must.Eq(t, "a", f.chosen(t, t0.Add(time.Second)))
}

// Calls still run elsewhere when all targets of a service are slowed down or full.
func TestSlowedTargetsAreUsedWhenAllAre(t *testing.T) {
	f := newPlainFleet()
	for _, id := range []string{"a", "b"} {
		f.ObserveLoad(t0, id, 1, plainload.Report{Running: 1 << 20, Waiting: 1 << 20, Slowdown: 100})
	}
	must.Eq(t, "a", f.chosen(t, t0))
}

// Engines name slowdowns, too. Their owners receive them in reports; peers need no notice.
func TestNoticesAreOnlyDueForPlainTargets(t *testing.T) {
	f := newPlainFleet()
	slow := plainload.Report{Running: 1, Slowdown: 2.5}
	must.False(t, f.ObserveLoad(t0, "e", 1, slow))
	must.False(t, f.ObserveLoad(t0, "unknown", 1, slow))
	must.True(t, f.ObserveLoad(t0, "a", 1, slow))
	must.False(t, f.ObserveLoad(t0, "a", 1, slow))
	must.True(t, f.ObserveLoad(t0, "b", 1, slow))
}
