package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
)

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

func TestPrefersAnotherFailureDomainAfterAFailure(t *testing.T) {
	a, b, c := spec("a", 40_000, 8), spec("b", 40_000, 8), spec("c", 40_000, 8)
	a.FailureDomain, b.FailureDomain, c.FailureDomain = "north", "north", "south"
	r := newRig(t, Options{}, a, b, c)
	for n := range 3 {
		r.submit(n, "batch", func(q *Request) { q.Avoid = []string{"a"} })
		test.EqOp(t, "c", r.until(ActGrant, n, time.Second).Target)
	}
}

// Two generations outgrow their forecast. Before the engine runs out of memory, one is moved to an engine with capacity,
// and never the one that has reached its limit of preemptions.
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

// As above, but the class of one generation forbids preemption. It would be the cheaper move, and still the other is moved.
func TestClassWithoutPreemptionsIsNotPreempted(t *testing.T) {
	r := newRig(t, Options{MemoryRisk: 0.9, DisableForecast: true}, spec("a", 1000, 8))
	r.policy["still"] = ClassPolicy{MaxWait: time.Hour, MaxPreemptions: NoPreemptions}
	r.submit(1, "still", func(q *Request) { q.PromptTokens = 300 })
	r.submit(2, "night", func(q *Request) { q.PromptTokens = 400 })
	r.until(ActGrant, 2, time.Second)
	r.o.setTarget(r.now, spec("b", 1000, 8))
	r.until(ActPreempt, 2, 5*time.Second)
	r.never(ActPreempt, 1, time.Second)
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
