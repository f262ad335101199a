package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/engineapi"
)

var (
	now  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	term = Term{Fence: 7, Since: now.Add(-time.Minute)}
	v1   = State{Model: "planner", Version: "1"}
	v2   = State{Model: "planner", Version: "2", Adapters: []string{"falkirk"}}
)

// serving is a target that reports a state.
func serving(name string, s State) Target {
	return Target{Name: name, LastReport: &Report{State: s, At: now}}
}

// inChange is a target with an open intent of the current term.
func inChange(name string, s State) Target {
	t := serving(name, s)
	t.Intent = &Intent{Want: v2, Fence: term.Fence}
	return t
}

func service(ts ...Target) Service { return Service{Name: "planner-llm", Want: v2, Targets: ts} }

func TestPlanStepByStep(t *testing.T) {
	busy, drained, done := inChange("a", v1), inChange("a", v1), inChange("a", v2)
	busy.DrainedAt, busy.LastReport.Running = now.Add(-DrainPropagation), 1
	drained.DrainedAt, done.DrainedAt = busy.DrainedAt, busy.DrainedAt
	justDrained := drained
	justDrained.DrainedAt = now.Add(1 - DrainPropagation)
	old := inChange("a", v1)
	old.Intent.Fence = 6
	other := inChange("a", v1)
	other.Intent.Want = v1
	ordered := drained
	ordered.OrderedAt, ordered.OrderedState = now.Add(-time.Second), v2
	again := drained
	again.OrderedAt, again.OrderedState = now.Add(-ReorderAfter), v2
	early := done
	early.OrderedAt = now // the report does not follow the order
	superseded := done
	superseded.OrderedAt, superseded.OrderedState = now.Add(1-MaxOrderDelay), v1
	arrived := superseded
	arrived.OrderedAt = now.Add(-MaxOrderDelay)
	adapter := inChange("a", State{Model: "planner", Version: "2"})
	adapter.LastReport.Running = 3
	silent := drained
	silent.LastReport = &Report{State: v1, At: now.Add(-ReportTTL - 1)}
	left := done
	left.Intent = &Intent{Want: v2, Fence: 6, Done: true}
	rest := serving("b", v1)
	cases := []struct {
		name string
		s    Service
		kind Kind // 0: wait
		who  string
	}{
		{"all as wanted", service(serving("a", v2), serving("b", v2)), 0, ""},
		{"first that differs", service(serving("a", v2), serving("b", v1)), WriteIntent, "b"},
		{"intent of an old term is taken over", service(old, rest), WriteIntent, "a"},
		{"settings changed meanwhile", service(other, rest), WriteIntent, "a"},
		{"a version needs a drain", service(inChange("a", v1), rest), Drain, "a"},
		{"what runs is waited for", service(busy, rest), 0, ""},
		{"idle, by a report from before the drain was in force", service(justDrained, rest), 0, ""},
		{"idle", service(drained, rest), SendOrders, "a"},
		{"order at work", service(ordered, rest), 0, ""},
		{"order without effect", service(again, rest), SendOrders, "a"},
		{"report from before the order", service(early, rest), 0, ""},
		{"an order for something else may be on its way", service(superseded, rest), 0, ""},
		{"it has arrived", service(arrived, rest), Undrain, "a"},
		{"an adapter needs no drain", service(adapter, rest), SendOrders, "a"},
		{"loaded", service(done, rest), Undrain, "a"},
		{"serving again", service(inChange("a", v2), rest), CloseIntent, "a"},
		{"silent in the middle", service(silent, rest), 0, ""},
		{"nobody else serves", service(serving("a", v1), Target{Name: "b"}), 0, ""},
		{"left drained by a change that looks closed", service(left, rest), WriteIntent, "a"},
		{"a single target", service(serving("a", v1)), WriteIntent, "a"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			step, ok := Plan(now, term, c.s)
			must.Eq(t, c.kind != 0, ok, must.Sprint(step))
			if ok {
				must.Eq(t, c.kind, step.Kind)
				must.Eq(t, c.who, step.Target)
			}
		})
	}
}

func TestOrdersCarryTheFence(t *testing.T) {
	drained := inChange("a", v1)
	drained.DrainedAt = now.Add(-time.Minute)
	step, _ := Plan(now, term, service(drained))
	must.Eq(t, []engineapi.Order{
		{Fence: 7, Kind: engineapi.OrderLoadModel, Model: "planner", Version: "2"},
		{Fence: 7, Kind: engineapi.OrderLoadAdapter, Model: "planner", Adapter: "falkirk"},
	}, step.Orders)
}

// A holder dies with an order on its way to an engine that ignores fencing numbers. An order that its successor gave
// at once could arrive first and be undone; it waits until the old one must have arrived, or enforces.
func TestNewTermWaitsOutOldOrders(t *testing.T) {
	drained := inChange("a", v1)
	drained.DrainedAt = now.Add(-time.Minute)
	s := service(drained)
	young := Term{Fence: 7, Since: now.Add(-MaxOrderDelay + 1)}
	_, ok := Plan(now, young, s)
	must.True(t, ok)
	s.IgnoresFences = true
	_, ok = Plan(now, young, s)
	must.False(t, ok)
	_, ok = Plan(now.Add(1), young, s)
	must.True(t, ok)
}

// A target dies in the middle of its change. It must not hold up the whole service for ever, and it must not be
// forgotten while it may only be loading.
func TestLostTargetStopsHoldingUp(t *testing.T) {
	dead := inChange("a", v1)
	dead.LastReport.At = now.Add(-LostAfter)
	s := service(dead, serving("b", v1), serving("c", v1))
	_, ok := Plan(now, Term{Fence: 7}, s)
	must.False(t, ok)
	for i := range s.Targets[1:] {
		s.Targets[i+1].LastReport.At = now.Add(time.Second)
	}
	step, ok := Plan(now.Add(time.Second), Term{Fence: 7}, s)
	must.True(t, ok)
	must.Eq(t, "b", step.Target)
}
