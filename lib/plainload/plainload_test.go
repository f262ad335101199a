package plainload

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// few is three targets, before 85 instances.
var few = replay{
	instances: 85, targets: 3, slots: 6, perSecond: 140, work: 15 * time.Millisecond, objective: 100 * time.Millisecond, slowShare: 0.15,
}

// Targets are slowed down for moments. An instance that uses only its own last response sends calls to targets that peers have just seen
// slowed down. With notices a third fewer calls are late, for at most two notices a second and target.
func TestFewTargetsBeforeManyInstances(t *testing.T) {
	seven := few
	seven.instances, seven.targets, seven.work, seven.objective = 79, 7, 60*time.Millisecond, 300*time.Millisecond
	for _, s := range []replay{few, seven} {
		for seed := range uint64(3) {
			old, oldP99, _ := s.play(false, false, seed)
			alone, _, _ := s.play(true, false, seed)
			shared, p99, notices := s.play(true, true, seed)
			t.Logf("%d targets, seed %d: late %.4f, alone %.4f, with notices %.4f; p99 %v, %v; %.1f notices/s",
				s.targets, seed, old, alone, shared, oldP99, p99, notices)
			must.LessEq(t, old, alone)
			must.LessEq(t, 0.67*old, shared)
			must.Less(t, oldP99, p99)
			must.LessEq(t, 2*float64(s.targets), notices)
		}
	}
}

// Calls that leave a slowed target all at once fill the others. At half of their capacity and more, only as many leave as find room.
func TestBusyTargetsAreNotFilledByCallsThatLeaveSlowedOnes(t *testing.T) {
	busy := few
	busy.perSecond = 600
	for seed := range uint64(3) {
		old, _, _ := busy.play(false, false, seed)
		alone, _, _ := busy.play(true, false, seed)
		shared, _, _ := busy.play(true, true, seed)
		t.Logf("seed %d: late %.4f, alone %.4f, with notices %.4f", seed, old, alone, shared)
		must.LessEq(t, 0.5*old, shared)
		must.LessEq(t, 1.1*alone, shared)
	}
}

// Equal idle targets: reports must not add late calls.
func TestEqualIdleTargetsAreNoWorse(t *testing.T) {
	idle := few
	idle.slowShare = 0
	for seed := range uint64(3) {
		old, oldP99, _ := idle.play(false, false, seed)
		shared, p99, notices := idle.play(true, true, seed)
		must.LessEq(t, old, shared)
		must.LessEq(t, oldP99, p99)
		must.Zero(t, notices)
	}
}

var t0 = time.Unix(1000, 0)

// A report is a second old: neither a full nor an idle target may still be taken for one.
func TestOldReportDecaysToTheMean(t *testing.T) {
	full, idle := new(Target), new(Target)
	full.Observe(t0, Report{Running: 6, Waiting: 6}, 0)
	idle.Observe(t0, Report{}, 0)
	both := []Sized{{full, 6}, {idle, 6}}
	cost := func(at time.Time, i int) float64 { return both[i].Cost(at, 0, Survey(at, both), true) }
	must.Eq(t, 0, cost(t0, 1))
	must.Greater(t, 2, cost(t0, 0))
	later := t0.Add(time.Second)
	must.InDelta(t, cost(later, 0), cost(later, 1), 0.01)
	must.Greater(t, 0.9, cost(later, 1))
}

// A target always names a load of 0. Own calls there must still count, so that it doesn't get all calls.
func TestFalseIdleReportIsBounded(t *testing.T) {
	liar, honest := new(Target), new(Target)
	liar.Observe(t0, Report{}, 0)
	honest.Observe(t0, Report{Running: 3}, 0)
	both := []Sized{{liar, 6}, {honest, 6}}
	o := Survey(t0, both)
	must.Less(t, both[1].Cost(t0, 0, o, true), both[0].Cost(t0, 0, o, true))
	must.Greater(t, both[1].Cost(t0, 0, o, true), both[0].Cost(t0, 4, o, true))
}

// A target names an absurd load or slowdown. Costs stay finite, and other targets' means bounded.
func TestHugeReportIsBounded(t *testing.T) {
	huge, usual := new(Target), new(Target)
	huge.Observe(t0, Report{Running: 1 << 20, Waiting: 1 << 20, Slowdown: 100}, 0)
	usual.Observe(t0, Report{Running: 1, Slowdown: 1}, 0)
	both := []Sized{{huge, 6}, {usual, 6}}
	o := Survey(t0, both)
	must.LessEq(t, maxQueue, o.Share)
	must.LessEq(t, maxQueue+maxSlowdown*(1+maxQueue), both[0].Cost(t0, 0, o, true))
}

// A slowdown ends, or nothing is received about it any more.
func TestSlowdownEnds(t *testing.T) {
	named := new(Target)
	named.ObservePeer(t0, 2.5)
	must.Eq(t, 2.5, named.Slowdown(t0))
	must.Eq(t, 1, named.Slowdown(t0.Add(slowdownTTL)))
	named.ObservePeer(t0, 2.5)
	named.Observe(t0.Add(time.Millisecond), Report{Slowdown: 1}, 0)
	named.ObservePeer(t0, 2.5) // arrives late
	must.Eq(t, 1, named.Slowdown(t0.Add(time.Millisecond)))
}

// Many responses of a slowed target arrive: one notice is enough for a while, whoever sends it.
func TestNoticesAreNotRepeatedAtOnce(t *testing.T) {
	named, slow := new(Target), Report{Slowdown: 2.5}
	must.False(t, named.NoticeDue(t0, Report{Waiting: 20, Slowdown: 1}))
	must.True(t, named.NoticeDue(t0, slow))
	must.False(t, named.NoticeDue(t0.Add(noticeInterval-1), slow))
	must.True(t, named.NoticeDue(t0.Add(noticeInterval), slow))
	named.ObservePeer(t0.Add(2*noticeInterval), 2.5)
	must.False(t, named.NoticeDue(t0.Add(2*noticeInterval+1), slow))
}
