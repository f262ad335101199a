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

// serving returns a target that reports the given state.
func serving(name string, s State) Target {
	return Target{Name: name, LastReport: &Report{State: s, At: now}}
}

// inChange returns a target with an open intent of the current term.
func inChange(name string, s State) Target {
	t := serving(name, s)
	t.Intent = &Intent{Want: v2, Fence: term.Fence}
	return t
}

func service(ts ...Target) Service { return Service{Name: "planner-llm", Want: v2, Targets: ts} }

func TestPlanSteps(t *testing.T) {
	busy, drained, done := inChange("a", v1), inChange("a", v1), inChange("a", v2)
	busy.DrainedAt, busy.LastReport.Running = now.Add(-DrainPropagation), 1
	drained.DrainedAt, done.DrainedAt = busy.DrainedAt, busy.DrainedAt
	justDrained := drained
	justDrained.DrainedAt = now.Add(1 - DrainPropagation)
	oldTerm := inChange("a", v1)
	oldTerm.Intent.Fence = 6
	otherState := inChange("a", v1)
	otherState.Intent.Want = v1
	ordered := drained
	ordered.OrderedAt, ordered.OrderedState = now.Add(-time.Second), v2
	unconfirmed := drained
	unconfirmed.OrderedAt, unconfirmed.OrderedState = now.Add(-ReorderAfter), v2
	staleReport := done
	staleReport.OrderedAt = now // the report is from before the order
	superseded := done
	superseded.OrderedAt, superseded.OrderedState = now.Add(1-MaxOrderDelay), v1
	arrived := superseded
	arrived.OrderedAt = now.Add(-MaxOrderDelay)
	adapter := inChange("a", State{Model: "planner", Version: "2"})
	adapter.LastReport.Running = 3
	silent := drained
	silent.LastReport = &Report{State: v1, At: now.Add(-ReportTTL - 1)}
	leftDrained := done
	leftDrained.Intent = &Intent{Want: v2, Fence: 6, Done: true}
	rest := serving("b", v1)
	cases := []struct {
		name string
		s    Service
		kind Kind // 0: no step
		who  string
	}{
		{"no difference", service(serving("a", v2), serving("b", v2)), 0, ""},
		{"first target that differs", service(serving("a", v2), serving("b", v1)), WriteIntent, "b"},
		{"intent of an old term is taken over", service(oldTerm, rest), WriteIntent, "a"},
		{"settings changed during the change", service(otherState, rest), WriteIntent, "a"},
		{"a new version needs a drain", service(inChange("a", v1), rest), Drain, "a"},
		{"waits for running work", service(busy, rest), 0, ""},
		{"idle by a report from before the drain took effect", service(justDrained, rest), 0, ""},
		{"idle", service(drained, rest), SendOrders, "a"},
		{"order sent recently", service(ordered, rest), 0, ""},
		{"order without effect", service(unconfirmed, rest), SendOrders, "a"},
		{"report from before the order", service(staleReport, rest), 0, ""},
		{"order for another state may be in flight", service(superseded, rest), 0, ""},
		{"order for another state has arrived", service(arrived, rest), Undrain, "a"},
		{"an adapter needs no drain", service(adapter, rest), SendOrders, "a"},
		{"loaded", service(done, rest), Undrain, "a"},
		{"serving again", service(inChange("a", v2), rest), CloseIntent, "a"},
		{"silent during a change", service(silent, rest), 0, ""},
		{"no other target serves", service(serving("a", v1), Target{Name: "b"}), 0, ""},
		{"left drained by a change that looks closed", service(leftDrained, rest), WriteIntent, "a"},
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

// A holder dies with an order in flight to an engine that ignores fencing. An order sent immediately by its successor could arrive
// first and be undone by the old one, so the successor waits until the old order must have arrived, unless the engine enforces fencing.
func TestNewTermWaitsForOldOrders(t *testing.T) {
	drained := inChange("a", v1)
	drained.DrainedAt = now.Add(-time.Minute)
	s := service(drained)
	newTerm := Term{Fence: 7, Since: now.Add(-MaxOrderDelay + 1)}
	_, ok := Plan(now, newTerm, s)
	must.True(t, ok)
	s.IgnoresFences = true
	_, ok = Plan(now, newTerm, s)
	must.False(t, ok)
	_, ok = Plan(now.Add(1), newTerm, s)
	must.True(t, ok)
}

// A target dies during its change. It must not block its service forever, but must not be given up while it may only be loading.
func TestLostTargetStopsBlockingOthers(t *testing.T) {
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
