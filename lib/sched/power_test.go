package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// The budget is cut below the current draw. Long work is preempted until the modelled draw is under the cap; urgent work
// continues, and nothing is refused.
func TestPowerCutPreemptsLongWorkFirst(t *testing.T) {
	s := spec("a", 40_000, 8)
	s.IdleWatts, s.SeqWatts = 100, 10
	r := newRig(t, Options{}, s)
	r.o.SetPower(r.now, 1000, r.now.Add(time.Hour), 0)
	r.submit(0, "urgent", nil)
	for n := 1; n <= 4; n++ {
		r.submit(n, "night", nil)
	}
	r.tick()
	must.MapLen(t, 5, r.runs)
	r.o.SetPower(r.now, 125, r.now.Add(time.Hour), 0)
	acts := r.tick()
	must.Len(t, 3, acts)
	for _, a := range acts {
		test.EqOp(t, ActPreempt, a.Kind)
		test.NotEq(t, gid(0), a.Gen)
	}
}

// The power allocator stops sending shares: the share in force expires, and the fallback applies.
func TestExpiredBudgetFallsBack(t *testing.T) {
	s := spec("a", 40_000, 8)
	s.SeqWatts = 10
	r := newRig(t, Options{}, s)
	r.o.SetPower(r.now, 1000, r.now.Add(100*time.Millisecond), 25)
	for range 20 {
		r.tick()
	}
	for n := range 5 {
		r.submit(n, "batch", nil)
	}
	r.tick()
	test.MapLen(t, 2, r.runs)
}

// Long work uses up the power cap when an urgent request arrives. After a short wait one long generation is preempted for
// it, and only one: its power is free as soon as its attempt has ended.
func TestUrgentWorkGetsPowerFromOneVictim(t *testing.T) {
	s := spec("a", 100_000, 32)
	s.SeqWatts = 10
	r := newRig(t, Options{DisableHeadroom: true}, s)
	r.o.SetPower(r.now, 101, r.now.Add(time.Hour), 0)
	for n := range 20 {
		r.submit(n, "night", nil)
	}
	r.tick()
	must.MapLen(t, 9, r.runs)
	r.submit(100, "urgent", nil)
	victims := 0
	for range 50 {
		for _, a := range r.tick() {
			if a.Kind == ActPreempt {
				victims++
				r.o.End(r.now, a.Gen, a.Attempt, r.runs[a.Gen].tokens, EndMoved)
				delete(r.runs, a.Gen)
			}
			if a.Gen == gid(100) {
				test.EqOp(t, ActGrant, a.Kind)
				test.EqOp(t, 1, victims)
				return
			}
		}
	}
	t.Fatal("the urgent request got no power")
}

// A target is reported as gone while its generations are not known to have ended: it may be cut off and still draw power.
// Until their ends arrive, their power must not be granted to others.
func TestPowerOfLostTargetIsReservedUntilItsWorkEnds(t *testing.T) {
	a, b := spec("a", 40_000, 8), spec("b", 40_000, 8)
	a.SeqWatts, b.SeqWatts = 10, 10
	r := newRig(t, Options{}, a)
	r.o.SetPower(r.now, 31, r.now.Add(time.Hour), 0)
	for n := range 3 {
		r.submit(n, "batch", nil)
	}
	r.tick()
	must.MapLen(t, 3, r.runs)
	r.o.SetTargets(r.now, []TargetSpec{a, b})
	r.o.TargetGone(r.now, "a")
	r.submit(9, "batch", nil)
	r.never(ActGrant, 9, 200*time.Millisecond)
	for n := range 3 {
		r.o.End(r.now, gid(n), 1, 5, EndTargetDied)
	}
	test.EqOp(t, "b", r.until(ActGrant, 9, time.Second).Target)
}
