package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/result"
)

// A request waits in a queue that makes no progress. It must be refused as soon as its limit is reached, with a Retry-After,
// and not later.
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

// One slot serves a request per second while two arrive per second. Once the drain rate is known, a request that would
// exceed its limit is refused in the next tick, with the time that the queue takes to drain; none waits up to its limit in
// vain, and the slot stays busy.
func TestRefusesAtOnceWithRetryAfterWhenExpectedWaitExceedsMaxWait(t *testing.T) {
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

// Long work fills the engines while urgent requests arrive from time to time. An urgent request must start at once, without
// waiting for long work to end.
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

// Two workspaces keep their queues full; their grants follow their weights.
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

// Long work of low priority has waited for half of its limit while higher priorities keep arriving: it is then served first.
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

// A large request needs most of an engine, and small ones fill each gap first. Once it has aged, one engine is reserved for
// it.
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

// A workspace's long work was not served for minutes, because others came first by their shares. That does not mean its
// queue is stuck: a batch that joins it must wait its turn within the half hour that its class allows, and must not be
// refused for its expected wait.
func TestUnservedQueueIsNotRefusedForExpectedWait(t *testing.T) {
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

// All engines are busy with a prefill when an urgent request arrives. Preempting long work would not help it.
func TestUrgentWorkPreemptsNothingWhenMemoryIsFree(t *testing.T) {
	r := newRig(t, Options{}, spec("a", 100_000, 32))
	r.submit(1, "night", nil)
	r.until(ActGrant, 1, time.Second)
	r.submit(2, "night", func(q *Request) { q.PromptTokens = 500 })
	r.until(ActGrant, 2, time.Second)
	r.muted["a"] = true
	r.submit(3, "urgent", func(q *Request) { q.PromptTokens = 300 })
	r.never(ActPreempt, 1, 500*time.Millisecond)
	test.MapLen(t, 2, r.runs)
}

// The first attempt was accepted and its engine died before the first token. The second must not be refused because the
// queue has filled up in the meantime.
func TestLaterAttemptIsNotRefusedForAFullQueue(t *testing.T) {
	r := newRig(t, Options{}, spec("a", 4000, 1))
	r.policy["batch"] = ClassPolicy{MaxWait: time.Minute, QueueBound: 1}
	r.o.SetPolicy(r.o.policy)
	r.submit(1, "batch", nil)
	r.until(ActGrant, 1, time.Second)
	r.submit(2, "batch", nil)
	r.submit(3, "batch", func(q *Request) { q.Attempt = 2 })
	r.never(ActRefuse, 3, time.Second)
}
