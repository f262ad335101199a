package placer

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/sched"
)

func specs(names ...string) []sched.TargetSpec {
	var out []sched.TargetSpec
	for _, n := range names {
		out = append(out, sched.TargetSpec{Name: n})
	}
	return out
}

func request(n uint64, attempt uint32) sched.Request {
	return sched.Request{Gen: ids.From(0, n), Attempt: attempt}
}

// scriptedPolicy is a policy whose decisions are set by the test.
type scriptedPolicy struct {
	*LeastLoaded
	next []sched.Action
}

func (p *scriptedPolicy) Tick(_ sched.Time, acts []sched.Action) []sched.Action {
	acts = append(acts, p.next...)
	p.next = nil
	return acts
}

// Decisions are delivered to their generation in order, and none after its End or refusal: a late preemption would otherwise hit the next
// attempt.
func TestRunnerDeliversDecisions(t *testing.T) {
	p := &scriptedPolicy{LeastLoaded: NewLeastLoaded()}
	r := NewRunner(p)
	var got []sched.Action
	notify := func(a sched.Action) { got = append(got, a) }
	act := func(kind sched.ActionKind, n uint64) sched.Action {
		return sched.Action{Kind: kind, Gen: ids.From(0, n), Attempt: 1}
	}
	r.Submit(request(1, 1), notify)
	r.Submit(request(2, 1), notify)
	p.next = []sched.Action{act(sched.ActGrant, 1), act(sched.ActPreempt, 1), act(sched.ActRefuse, 2), act(sched.ActGrant, 9)}
	r.tick()
	must.Eq(t, []sched.Action{act(sched.ActGrant, 1), act(sched.ActPreempt, 1), act(sched.ActRefuse, 2)}, got)
	got = nil
	r.End(ids.From(0, 1), 2, 0, sched.EndMoved) // of another attempt: no effect
	p.next = []sched.Action{act(sched.ActPreempt, 1), act(sched.ActGrant, 2)}
	r.tick()
	must.Eq(t, []sched.Action{act(sched.ActPreempt, 1)}, got)
	got = nil
	r.End(ids.From(0, 1), 1, 0, sched.EndMoved)
	p.next = []sched.Action{act(sched.ActPreempt, 1)}
	r.tick()
	must.SliceEmpty(t, got)
}

// A request is placed immediately rather than at the next tick, which would add to every time to first token.
func TestRunnerTicksImmediatelyOnSubmit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		l := NewLocal(ctx, func(string) sched.Policy { return NewLeastLoaded() }, time.Hour)
		l.Runner("s").SetTargets(specs("a"))
		got := make(chan sched.Action, 1)
		l.Submit("s", request(1, 1), func(a sched.Action) { got <- a })
		must.Eq(t, "a", (<-got).Target)
		must.Less(t, sched.Time(time.Second), l.Now())
		l.Submit("unknown", request(2, 1), func(a sched.Action) { got <- a })
		must.Eq(t, result.NoTarget, (<-got).Code)
	})
}

func TestLeastLoaded(t *testing.T) {
	p := NewLeastLoaded()
	p.SetTargets(0, specs("a", "b", "c"))
	place := func(n uint64, avoid ...string) string {
		q := request(n, 1)
		q.Avoid = avoid
		p.Submit(0, q)
		acts := p.Tick(0, nil)
		must.Len(t, 1, acts)
		return acts[0].Target
	}
	first := []string{place(1), place(2), place(3)}
	slices.Sort(first)
	must.Eq(t, []string{"a", "b", "c"}, first)
	p.Report(0, sched.Report{Target: "a", Running: 9})
	p.Report(0, sched.Report{Target: "b", Leaving: true})
	must.Eq(t, "c", place(4))
	must.Eq(t, "a", place(5, "c"))
	p.TargetGone(0, "a")
	must.Eq(t, "c", place(6, "c"), must.Sprint("the only one left, though it is to be avoided"))
	p.TargetGone(0, "c")
	must.Eq(t, "", place(7))
	p.Submit(0, request(8, 1))
	p.End(0, ids.From(0, 8), 1, 0, sched.EndCancelled)
	must.SliceEmpty(t, p.Tick(0, nil))
}
