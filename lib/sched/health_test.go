package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/result"
)

// An engine says that it is leaving. It gets no new work from the next tick on, and what runs there is moved: first
// where there is room, and within seconds in any case.
func TestLeavingTargetIsEmptied(t *testing.T) {
	r := newRig(t, Options{}, spec("a", 40_000, 2), spec("b", 40_000, 1))
	for n := range 3 {
		r.submit(n, "batch", nil)
	}
	r.tick()
	var onA []int
	for n := range 3 {
		if run, ok := r.runs[gid(n)]; ok && run.target == "a" {
			onA = append(onA, n)
		}
	}
	must.Len(t, 2, onA)
	r.o.Report(r.now, Report{Target: "a", Leaving: true})
	r.submit(9, "batch", nil)
	moved := map[ids.Generation]bool{}
	for range 6 * 50 {
		for _, a := range r.tick() {
			test.NotEq(t, ActGrant, a.Kind)
			moved[a.Gen] = true
		}
	}
	test.MapLen(t, 2, moved)
}

// A target's connection stalls: tokens stop for all that runs there, while reports still look well. New work goes
// elsewhere, what runs is moved, and one request tries the target again later.
func TestSilentTargetGetsNoWorkUntilAProbeGivesATokenAgain(t *testing.T) {
	r := newRig(t, Options{}, spec("a", 40_000, 2), spec("b", 400_000, 64))
	r.o.setTarget(r.now, spec("b", 40_000, 1))
	for n := range 3 {
		r.submit(n, "batch", nil)
	}
	r.tick()
	r.o.setTarget(r.now, spec("b", 400_000, 64))
	r.mute["a"] = true
	var moved []Action
	for range 200 {
		for _, a := range r.tick() {
			if a.Kind == ActPreempt {
				moved = append(moved, a)
				r.o.End(r.now, a.Gen, a.Attempt, r.runs[a.Gen].tokens, EndMoved)
				delete(r.runs, a.Gen)
			}
		}
	}
	must.Len(t, 2, moved)
	test.EqOp(t, "a", moved[0].Target)
	r.mute["a"] = false
	probed := false
	for n := 10; n < 400; n++ {
		r.submit(n, "batch", nil)
		for _, a := range r.tick() {
			probed = probed || a.Target == "a"
			r.runs[a.Gen].length = 10
		}
	}
	test.True(t, probed)
	test.False(t, r.o.targets[r.o.byName["a"]].silent)
}

// Reports stop changing while the engine fills. The owner's own books keep it from being overfilled.
func TestFrozenReportsDoNotOverfill(t *testing.T) {
	r := newRig(t, Options{}, spec("a", 100_000, 8), spec("b", 100_000, 8))
	frozen := Report{Target: "a", Age: time.Hour, Running: 0}
	for n := range 40 {
		r.submit(n, "batch", nil)
		r.o.Report(r.now, frozen)
		r.tick()
	}
	count := 0
	for _, run := range r.runs {
		if run.target == "a" {
			count++
		}
	}
	test.LessEq(t, 8, count)
}

// Another entry, which decides alone because its owner was silent, placed work that only the report shows.
func TestReportsOfForeignWorkCount(t *testing.T) {
	r := newRig(t, Options{}, spec("a", 100_000, 8), spec("b", 100_000, 8))
	r.o.Report(r.now, Report{Target: "a", Running: 8, KVUsed: 5000, KVTotal: 100_000, MaxBatch: 8})
	for n := range 4 {
		r.submit(n, "batch", nil)
	}
	r.tick()
	for _, run := range r.runs {
		test.EqOp(t, "b", run.target)
	}
	test.MapLen(t, 4, r.runs)
}

// An old report still counts a generation that ended since, and misses one sent since; neither is foreign.
func TestReportsAreCorrectedByWhatWasSentAndEndedSince(t *testing.T) {
	r := newRig(t, Options{}, spec("a", 100_000, 8))
	r.submit(1, "batch", nil)
	r.until(ActGrant, 1, time.Second)
	r.runs[gid(1)].length = 5
	for range 3 {
		r.tick()
	}
	then := r.now
	for range 10 {
		r.tick()
	}
	must.MapEmpty(t, r.runs)
	r.submit(2, "batch", nil)
	r.until(ActGrant, 2, time.Second)
	r.o.Report(r.now, Report{Target: "a", Age: r.now.Sub(then), Running: 1, KVUsed: 14})
	test.EqOp(t, 0, r.o.targets[0].foreign)
}

// An entry dies with its generations: nobody tells that they ended, and their places must not be lost for ever.
func TestForgetsGenerationsNobodySpeaksOf(t *testing.T) {
	r := newRig(t, Options{ForgetAfter: 2 * time.Second, DisableSilence: true}, spec("a", 4000, 1))
	r.submit(1, "batch", nil)
	r.until(ActGrant, 1, time.Second)
	r.mute["a"] = true
	r.submit(2, "batch", nil)
	r.until(ActGrant, 2, 4*time.Second)
}

// A new owner takes over while generations run: it books them where they are and grants them nothing.
func TestAdoptsWhatAlreadyRuns(t *testing.T) {
	r := newRig(t, Options{}, spec("a", 4000, 1))
	r.submit(1, "batch", func(q *Request) { q.RunningOn, q.Emitted, q.Attempt = "a", 30, 2 })
	r.submit(2, "batch", nil)
	test.SliceEmpty(t, r.tick())
	r.o.End(r.now, gid(1), 2, 40, EndCompleted)
	r.until(ActGrant, 2, time.Second)
}

// Entries are set to report progress once a second. A target must not look silent between two reports: its work would
// be moved about for ever.
func TestSeldomProgressIsNotSilence(t *testing.T) {
	const every = 50 // steps, so a second
	r := newRig(t, Options{}, spec("a", 100_000, 8), spec("b", 100_000, 8))
	r.submit(1, "batch", nil)
	a := r.until(ActGrant, 1, time.Second)
	r.mute[a.Target] = true
	moves := 0
	for n := 1; n <= 3000; n++ {
		if n%every == 0 {
			r.o.Progress(r.now, gid(1), 1, n)
		}
		// Another target is heard from, so the owner itself is not cut off.
		r.o.Progress(r.now, gid(99), 1, n)
		for _, a := range r.tick() {
			if a.Kind == ActPreempt {
				moves++
			}
		}
		if n > 5*every && r.o.targets[r.o.byName[a.Target]].silent {
			t.Fatalf("silent after %v", r.now)
		}
	}
	test.EqOp(t, 0, moves)
}

// A new owner is told of a running generation before its settings name the target, or after a Submit of the same
// attempt crossed with the grant of the old owner. Granting it again would run it twice.
func TestWhatRunsIsNeverGrantedAgain(t *testing.T) {
	r := newRig(t, Options{}, spec("a", 4000, 4))
	r.submit(1, "batch", func(q *Request) { q.RunningOn = "unheard-of" })
	r.never(ActGrant, 1, time.Second)
	r.o.SetTargets(r.now, nil)
	r.submit(2, "batch", nil)
	r.submit(2, "batch", func(q *Request) { q.RunningOn = "a" })
	r.o.SetTargets(r.now, []TargetSpec{spec("a", 4000, 4)})
	r.never(ActGrant, 2, time.Second)
}

// All targets are lost while a generation that gave tokens waits for a new place. Its caller gets an answer when the
// bound on waiting is reached, and at once when no target is large enough for what it has grown to.
func TestResumeWithoutAnyTargetIsAnswered(t *testing.T) {
	r := newRig(t, Options{}, spec("a", 4000, 4))
	resumed := func(q *Request) { q.Attempt, q.Emitted = 2, 40 }
	r.submit(1, "batch", func(q *Request) { resumed(q); q.PromptTokens = 4000 })
	test.EqOp(t, result.NoTarget, r.until(ActRefuse, 1, 100*time.Millisecond).Code)
	r.o.SetTargets(r.now, nil)
	r.submit(2, "batch", resumed)
	since := r.now
	test.EqOp(t, result.NoTarget, r.until(ActRefuse, 2, 61*time.Second).Code)
	test.GreaterEq(t, time.Minute, r.now.Sub(since))
}
