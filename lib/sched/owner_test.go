package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/result"
)

// rig drives an Owner with engines that give one token to each sequence every 20 ms.
type rig struct {
	t      *testing.T
	o      *Owner
	now    Time
	runs   map[ids.Generation]*rigRun
	order  []ids.Generation
	acts   []Action
	mute   map[string]bool // targets whose tokens do not come through
	policy map[string]ClassPolicy
}

type rigRun struct {
	target  string
	attempt uint32
	tokens  int
	length  int
}

const rigStep = 20 * time.Millisecond

func newRig(t *testing.T, opt Options, specs ...TargetSpec) *rig {
	r := &rig{
		t:    t,
		o:    NewOwner("svc", opt),
		now:  Time(time.Second),
		runs: make(map[ids.Generation]*rigRun),
		mute: make(map[string]bool),
		policy: map[string]ClassPolicy{
			"urgent": {Priority: 10, Urgent: true, MaxWait: 5 * time.Second},
			"batch":  {Priority: 1, MaxWait: time.Minute},
			"night":  {Priority: 0, MaxWait: time.Hour},
		},
	}
	r.o.SetPolicy(func(_, class string) ClassPolicy { return r.policy[class] })
	r.o.SetTargets(r.now, specs)
	return r
}

func spec(name string, kv, batch int) TargetSpec {
	return TargetSpec{Name: name, KVTotal: kv, MaxBatch: batch, Resumes: true}
}

func gid(n int) ids.Generation { return ids.From(0, uint64(n)) }

func (r *rig) submit(n int, class string, edit func(*Request)) {
	q := Request{Gen: gid(n), Workspace: "w", Class: class, Attempt: 1, PromptTokens: 10}
	if edit != nil {
		edit(&q)
	}
	r.o.Submit(r.now, q)
}

// tick runs one step: tokens, then the owner's decisions, which it carries out and returns.
func (r *rig) tick() []Action {
	r.now = r.now.Add(rigStep)
	for _, id := range append([]ids.Generation(nil), r.order...) {
		r.token(id)
	}
	r.acts = r.o.Tick(r.now, nil)
	for _, a := range r.acts {
		if a.Kind == ActGrant {
			r.order = append(r.order, a.Gen)
			r.runs[a.Gen] = &rigRun{target: a.Target, attempt: a.Attempt, length: 1 << 30}
		}
	}
	return r.acts
}

func (r *rig) token(id ids.Generation) {
	run, ok := r.runs[id]
	if !ok || r.mute[run.target] {
		return
	}
	run.tokens++
	if run.tokens < run.length {
		r.o.Progress(r.now, id, run.attempt, run.tokens)
		return
	}
	delete(r.runs, id)
	r.o.End(r.now, id, run.attempt, run.tokens, EndCompleted)
}

// until ticks until an action of a kind for generation n, at most for d.
func (r *rig) until(kind ActionKind, n int, d time.Duration) Action {
	r.t.Helper()
	for end := r.now.Add(d); r.now < end; {
		for _, a := range r.tick() {
			if a.Kind == kind && a.Gen == gid(n) {
				return a
			}
		}
	}
	r.t.Fatalf("no action %d for generation %d within %v", kind, n, d)
	return Action{}
}

// never ticks for d and fails on an action of a kind for generation n.
func (r *rig) never(kind ActionKind, n int, d time.Duration) {
	r.t.Helper()
	for end := r.now.Add(d); r.now < end; {
		for _, a := range r.tick() {
			if a.Kind == kind && a.Gen == gid(n) {
				r.t.Fatalf("action %d for generation %d", kind, n)
			}
		}
	}
}

func TestGrantsOnTheTargetWithThePrefix(t *testing.T) {
	r := newRig(t, Options{}, spec("a", 4000, 8), spec("b", 4000, 8))
	r.o.CacheSnapshot(r.now, "b", []uint64{7, 8})
	r.submit(1, "batch", func(q *Request) { q.Prefixes, q.PromptTokens = []uint64{7, 8, 9}, 1000 })
	test.EqOp(t, "b", r.until(ActGrant, 1, time.Second).Target)
	r.o.CacheStored(r.now, "b", 8, false)
	r.o.CacheStored(r.now, "b", 7, false)
}

func TestAvoidsTargetsThatFailedIt(t *testing.T) {
	r := newRig(t, Options{}, spec("a", 4000, 8), spec("b", 4000, 8))
	r.submit(1, "batch", func(q *Request) { q.Avoid = []string{"a"} })
	test.EqOp(t, "b", r.until(ActGrant, 1, time.Second).Target)
}

// A caller's request waits in a queue that can't move. It must get its refusal when its bound is reached, with the
// time after which asking again makes sense, and not a moment of waiting more.
func TestRefusesAtMaxWait(t *testing.T) {
	r := newRig(t, Options{}, spec("a", 4000, 1))
	r.submit(1, "batch", nil)
	r.until(ActGrant, 1, time.Second)
	r.submit(2, "urgent", nil)
	since := r.now
	a := r.until(ActRefuse, 2, 6*time.Second)
	test.Between(t, 5*time.Second, r.now.Sub(since), 5*time.Second+rigStep)
	test.EqOp(t, result.QueueFull, a.Code)
	test.GreaterEq(t, time.Second, a.RetryAfter)
}

// One place serves a request a second and two arrive each second. Once the drain rate is known, a request that would
// wait beyond its bound is refused in the next tick, with the time that the queue really takes to drain; none is left
// to wait to its bound in vain, and the place stays busy.
func TestRefusesAtOnceWhenTheQueueIsHopelessAndTellsWhenToReturn(t *testing.T) {
	const maxWait = 20 * time.Second
	r := newRig(t, Options{}, spec("a", 40_000, 1))
	r.policy["batch"] = ClassPolicy{MaxWait: maxWait}
	r.o.SetPolicy(r.o.policy)
	sent := map[ids.Generation]Time{}
	granted, refused := 0, 0
	for k := range 6000 {
		if k%25 == 0 {
			r.submit(k, "batch", nil)
			sent[gid(k)] = r.now
		}
		for _, a := range r.tick() {
			switch a.Kind {
			case ActGrant:
				granted++
				r.runs[a.Gen].length = 50
			case ActRefuse:
				refused++
				test.LessEq(t, 2*rigStep, r.now.Sub(sent[a.Gen]))
				test.EqOp(t, result.QueueFull, a.Code)
				test.Between(t, maxWait/2, a.RetryAfter, 2*maxWait)
			}
		}
	}
	test.Between(t, 110, granted, 120)
	test.Between(t, 80, refused, 120)
}

func TestRefusesOverTheQueueBound(t *testing.T) {
	r := newRig(t, Options{}, spec("a", 4000, 1))
	r.policy["batch"] = ClassPolicy{MaxWait: time.Minute, QueueBound: 2}
	r.o.SetPolicy(r.o.policy)
	r.submit(1, "batch", nil)
	r.until(ActGrant, 1, time.Second)
	for n := 2; n <= 4; n++ {
		r.submit(n, "batch", nil)
	}
	acts := r.tick()
	must.Len(t, 1, acts)
	test.EqOp(t, ActRefuse, acts[0].Kind)
	test.EqOp(t, gid(4), acts[0].Gen)
}

// Long work fills the engines while urgent questions come now and then. An urgent question must find a free place at
// once, without waiting for long work to end.
func TestKeepsHeadroomForUrgentWork(t *testing.T) {
	r := newRig(t, Options{}, spec("a", 100_000, 8), spec("b", 100_000, 8))
	n := 0
	for k := range 400 {
		n++
		r.submit(n, "night", nil)
		if k%25 == 0 {
			n++
			r.submit(n, "urgent", nil)
			r.until(ActGrant, n, rigStep+1)
			r.runs[gid(n)].length = 20
		}
		r.tick()
	}
}

// Two workspaces keep their queues full; their places follow their weights.
func TestSharesFollowWeights(t *testing.T) {
	r := newRig(t, Options{}, spec("a", 100_000, 4))
	r.o.SetPolicy(func(workspace, _ string) ClassPolicy {
		weight := 1.0
		if workspace == "large" {
			weight = 3
		}
		return ClassPolicy{Weight: weight, MaxWait: time.Hour}
	})
	for n := range 400 {
		name := []string{"large", "small"}[n%2]
		r.submit(n, "batch", func(q *Request) { q.Workspace = name })
	}
	count := map[string]int{}
	for count["large"]+count["small"] < 200 {
		for _, a := range r.tick() {
			count[[]string{"large", "small"}[int(a.Gen[15])%2]]++
			r.runs[a.Gen].length = 20
		}
	}
	test.Between(t, 140, count["large"], 160)
}

// Long work of low priority has waited for half of its bound while better work keeps coming: it goes first then.
func TestAgeingRaisesWhatWaitsLong(t *testing.T) {
	r := newRig(t, Options{}, spec("a", 100_000, 1))
	r.policy["night"] = ClassPolicy{MaxWait: 20 * time.Second}
	r.o.SetPolicy(r.o.policy)
	r.submit(1, "night", nil)
	for n := 2; n < 60; n++ {
		r.submit(n, "batch", nil)
	}
	for range 600 {
		for _, a := range r.tick() {
			r.runs[a.Gen].length = 20
			if a.Gen == gid(1) {
				test.Between(t, 9*time.Second, r.now.Sub(Time(time.Second)), 11*time.Second)
				return
			}
		}
	}
	t.Fatal("the long work was never granted")
}

func TestDeadlineRaisesLongWork(t *testing.T) {
	r := newRig(t, Options{}, spec("a", 100_000, 1))
	r.submit(1, "batch", nil)
	r.until(ActGrant, 1, time.Second)
	r.submit(2, "batch", nil)
	r.submit(3, "night", func(q *Request) { q.Deadline = r.now.Add(5 * time.Minute) })
	r.runs[gid(1)].length = 1
	for _, a := range r.tick() {
		test.EqOp(t, gid(3), a.Gen)
	}
	test.Len(t, 1, r.acts)
}

// A large request needs most of an engine, and small ones fill each gap first. Once it has aged, one engine is kept
// for it.
func TestLargeRequestIsNotStarvedBySmallOnes(t *testing.T) {
	r := newRig(t, Options{}, spec("a", 1000, 64))
	r.policy["night"] = ClassPolicy{MaxWait: 10 * time.Second}
	r.o.SetPolicy(r.o.policy)
	for n := 2; n < 1000; n++ {
		r.submit(n, "batch", func(q *Request) { q.PromptTokens = 100 })
	}
	for _, a := range r.tick() {
		r.runs[a.Gen].length = 30
	}
	r.submit(1, "night", func(q *Request) { q.PromptTokens, q.MaxTokens = 800, 50 })
	for range 450 {
		for _, a := range r.tick() {
			r.runs[a.Gen].length = 30
			if a.Gen == gid(1) {
				return
			}
		}
	}
	t.Fatal("the large request was starved")
}

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

// The budget is cut below what runs. Long work is stopped until the model is under the cap, the urgent runs on, and
// nothing is refused.
func TestPowerCutHoldsLongWorkBackFirst(t *testing.T) {
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

// The holder of the budget falls silent: the share in force runs out, and the fallback holds.
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

// Two narratives outgrow what was foreseen. Before the engine runs out, one is moved to the engine that has room, and
// never the one that was moved too often already.
func TestMovesAVictimBeforeMemoryRunsOut(t *testing.T) {
	r := newRig(t, Options{MemoryRisk: 0.9, DisableForecast: true}, spec("a", 1000, 8))
	r.submit(1, "night", func(q *Request) { q.PromptTokens, q.Preemptions, q.Emitted = 300, 3, 1 })
	r.submit(2, "night", func(q *Request) { q.PromptTokens = 400 })
	r.until(ActGrant, 2, time.Second)
	r.o.setTarget(r.now, spec("b", 1000, 8))
	a := r.until(ActPreempt, 2, 5*time.Second)
	test.EqOp(t, "a", a.Target)
	r.never(ActPreempt, 1, time.Second)
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

func TestRequestThatFitsNoTargetIsRefusedInTime(t *testing.T) {
	r := newRig(t, Options{}, spec("a", 500, 8))
	r.submit(1, "urgent", func(q *Request) { q.PromptTokens = 600 })
	r.until(ActRefuse, 1, 5*time.Second+2*rigStep)
}

func TestActionsAreTheSameForTheSameInputs(t *testing.T) {
	run := func() string {
		r := newRig(t, Options{}, spec("a", 4000, 8), spec("b", 4000, 8))
		log := ""
		for n := range 60 {
			r.submit(n, []string{"batch", "urgent"}[n%2], func(q *Request) { q.PromptTokens = 10 + n*37%400 })
			for _, a := range r.tick() {
				log += fmt.Sprintln(a)
			}
		}
		return log
	}
	test.EqOp(t, run(), run())
}

// A workspace's long work had no turn for minutes, for others came first by their shares. That is no sign that its
// queue stands still: a batch that joins it must wait its turn within the half hour that its class allows, and not be
// refused as hopeless.
func TestQueueWithoutATurnForMinutesIsNotHopeless(t *testing.T) {
	r := newRig(t, Options{}, spec("a", 1_000_000, 2))
	r.policy["night"] = ClassPolicy{MaxWait: 30 * time.Minute}
	r.o.SetPolicy(r.o.policy)
	for n := range 12 {
		r.submit(n, "night", nil)
	}
	for range 200 {
		for _, a := range r.tick() {
			r.runs[a.Gen].length = 10
		}
	}
	for n := 20; n < 22; n++ {
		r.submit(n, "batch", nil)
		r.until(ActGrant, n, 10*time.Second)
		r.runs[gid(n)].length = 5000
	}
	for n := 30; n < 42; n++ {
		r.submit(n, "night", nil)
		r.never(ActRefuse, n, 8*time.Second)
	}
}

// The power cap is taken up by long work when an urgent question comes. One long generation is stopped for it after a
// short while, and only one: its power is free as soon as its attempt has ended.
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

// A target is told to be gone while its generations have not been heard to end: it may be cut off and draw power all
// the same. Until their ends come, their power is not given to others.
func TestPowerOfAGoneTargetIsKeptUntilItsWorkEnded(t *testing.T) {
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
