package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/result"
)

// Guards against work staying on a target that reports it is leaving. The target gets no new work from the next tick on,
// and its generations are moved: first where capacity is free, and within seconds unconditionally.
func TestLeavingTargetIsEvacuated(t *testing.T) {
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

// Guards against a target whose connection stalls: its generations yield no tokens while its reports look healthy. New work
// goes elsewhere, running generations are moved, and a later probe with one request brings the target back.
func TestSilentTargetGetsNoWorkUntilProbeYieldsToken(t *testing.T) {
	r := newRig(t, Options{}, spec("a", 40_000, 2), spec("b", 400_000, 64))
	r.o.setTarget(r.now, spec("b", 40_000, 1))
	for n := range 3 {
		r.submit(n, "batch", nil)
	}
	r.tick()
	r.o.setTarget(r.now, spec("b", 400_000, 64))
	r.muted["a"] = true
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
	r.muted["a"] = false
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

// Reports freeze while the engine fills. The owner's own records keep it from being overfilled.
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

// Another entry placed work without its silent owner, so this owner sees that work only in the target's report.
func TestReportedRemoteWorkCounts(t *testing.T) {
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

// A delayed report still counts a generation that has ended since, and misses one granted since; neither is remote work.
func TestReportsAreAdjustedForGrantsAndEndsSince(t *testing.T) {
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
	test.EqOp(t, 0, r.o.targets[0].remote)
}

// An entry dies with its generations, so nobody reports their ends. Their capacity must not be lost for ever.
func TestRemovesStaleGenerations(t *testing.T) {
	r := newRig(t, Options{StaleAfter: 2 * time.Second, DisableSilence: true}, spec("a", 4000, 1))
	r.submit(1, "batch", nil)
	r.until(ActGrant, 1, time.Second)
	r.muted["a"] = true
	r.submit(2, "batch", nil)
	r.until(ActGrant, 2, 4*time.Second)
}

// A new owner takes over while generations run: it records them on their targets and does not grant them again.
func TestAdoptsRunningGenerations(t *testing.T) {
	r := newRig(t, Options{}, spec("a", 4000, 1))
	r.submit(1, "batch", func(q *Request) { q.RunningOn, q.Emitted, q.Attempt = "a", 30, 2 })
	r.submit(2, "batch", nil)
	test.SliceEmpty(t, r.tick())
	r.o.End(r.now, gid(1), 2, 40, EndCompleted)
	r.until(ActGrant, 2, time.Second)
}

// Entries are configured to report progress once a second. A target must not count as silent between two reports, or its
// generations would be moved back and forth without end.
func TestInfrequentProgressIsNotSilence(t *testing.T) {
	const every = 50 // steps, which is one second
	r := newRig(t, Options{}, spec("a", 100_000, 8), spec("b", 100_000, 8))
	r.submit(1, "batch", nil)
	a := r.until(ActGrant, 1, time.Second)
	r.muted[a.Target] = true
	moves := 0
	for n := 1; n <= 3000; n++ {
		if n%every == 0 {
			r.o.Progress(r.now, gid(1), 1, n)
		}
		// Another target makes progress, so the owner itself is not cut off.
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

// A running generation is reported to a new owner before its settings contain the target, or after a Submit of the same
// attempt crossed with the old owner's grant. A second grant would run the attempt twice.
func TestRunningGenerationIsNotGrantedAgain(t *testing.T) {
	r := newRig(t, Options{}, spec("a", 4000, 4))
	r.submit(1, "batch", func(q *Request) { q.RunningOn = "unheard-of" })
	r.never(ActGrant, 1, time.Second)
	r.o.SetTargets(r.now, nil)
	r.submit(2, "batch", nil)
	r.submit(2, "batch", func(q *Request) { q.RunningOn = "a" })
	r.o.SetTargets(r.now, []TargetSpec{spec("a", 4000, 4)})
	r.never(ActGrant, 2, time.Second)
}

// All targets are lost while a generation with output waits for a new one. Its caller gets a refusal at the limit on
// waiting, and at once when no target is large enough for the generation.
func TestResumeWithoutTargetIsRefused(t *testing.T) {
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
