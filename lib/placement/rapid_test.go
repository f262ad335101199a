package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"anvilwick.example/anvilwick/lib/engineapi"
)

// fakeEngine executes orders; loading a model interrupts its running generations.
type fakeEngine struct {
	state       State
	running     int
	interrupted int // generations ended by a load
}

func (e *fakeEngine) execute(o engineapi.Order) {
	switch o.Kind {
	case engineapi.OrderLoadModel:
		if e.state.Model != o.Model || e.state.Version != o.Version {
			e.interrupted += e.running
			e.state = State{Model: o.Model, Version: o.Version}
		}
	case engineapi.OrderLoadAdapter:
		if len(e.state.missingAdapters(State{Adapters: []string{o.Adapter}})) > 0 {
			e.state.Adapters = append(append([]string{}, e.state.Adapters...), o.Adapter)
		}
	}
}

// delayedOrder is an order in flight.
type delayedOrder struct {
	target  int
	arrival time.Time
	order   engineapi.Order
}

// simulation runs Plan against engines, with failing steps, ending terms, delayed orders and lagging reports.
type simulation struct {
	now      time.Time
	term     Term
	service  Service
	engines  []fakeEngine
	inFlight []delayedOrder
	sent     []delayedOrder // in all terms
	faults   bool
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{now: now, term: Term{Fence: 1, Since: now}, faults: true}
	sim.service = Service{Name: "s", Want: v1, IgnoresFences: rapid.Bool().Draw(t, "ignores")}
	for i := range rapid.IntRange(1, 5).Draw(t, "targets") {
		sim.engines = append(sim.engines, fakeEngine{state: v1})
		sim.service.Targets = append(sim.service.Targets, Target{Name: fmt.Sprint(i)})
	}
	return sim
}

func (sim *simulation) tick(t *rapid.T) {
	sim.now = sim.now.Add(Tick)
	sim.deliver()
	for i := range sim.engines {
		sim.report(t, i)
	}
	step, ok := Plan(sim.now, sim.term, sim.service)
	if !ok || sim.faults && rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
		return
	}
	for i := range sim.service.Targets {
		if sim.service.Targets[i].Name == step.Target {
			sim.execute(t, i, step)
		}
	}
}

func (sim *simulation) deliver() {
	remaining := sim.inFlight[:0]
	for _, order := range sim.inFlight {
		if order.arrival.After(sim.now) {
			remaining = append(remaining, order)
			continue
		}
		sim.engines[order.target].execute(order.order)
	}
	sim.inFlight = remaining
}

// report lets an engine report its state from time to time, and changes its running work.
func (sim *simulation) report(t *rapid.T, i int) {
	e, target := &sim.engines[i], &sim.service.Targets[i]
	drained := !target.DrainedAt.IsZero() && sim.now.Sub(target.DrainedAt) >= DrainPropagation
	if drained && e.running > 0 && rapid.Bool().Draw(t, "ends") {
		e.running--
	}
	if !drained && sim.faults {
		e.running = rapid.IntRange(0, 2).Draw(t, "running")
	}
	if !sim.faults || rapid.IntRange(0, 4).Draw(t, "heard") > 0 {
		target.LastReport = &Report{State: e.state, At: sim.now, Running: e.running}
	}
}

func (sim *simulation) execute(t *rapid.T, i int, step Step) {
	target := &sim.service.Targets[i]
	switch step.Kind {
	case WriteIntent:
		target.Intent = &Intent{Want: step.Want, Fence: sim.term.Fence}
	case CloseIntent:
		target.Intent = &Intent{Want: step.Want, Fence: sim.term.Fence, Done: true}
	case Drain, Undrain:
		target.DrainedAt = time.Time{}
		if step.Kind == Drain {
			target.DrainedAt = sim.now
		}
	case SendOrders:
		sim.sendOrders(t, i, step)
	}
}

func (sim *simulation) sendOrders(t *rapid.T, i int, step Step) {
	target := &sim.service.Targets[i]
	if target.Intent == nil || target.Intent.Fence != sim.term.Fence || !target.Intent.Want.equal(step.Want) {
		t.Fatalf("order to %s without an open intent for it", target.Name)
	}
	if sim.service.IgnoresFences && sim.now.Sub(sim.term.Since) < MaxOrderDelay {
		t.Fatalf("order to %s while orders of the previous term may be in flight", target.Name)
	}
	target.OrderedAt, target.OrderedState = sim.now, step.Want
	for _, o := range step.Orders {
		if o.Kind == engineapi.OrderLoadModel && target.DrainedAt.IsZero() {
			t.Fatalf("model loaded on %s, which is not drained", target.Name)
		}
		delay := time.Duration(rapid.IntRange(0, int(OrderTimeout/time.Millisecond)).Draw(t, "delay")) * time.Millisecond
		l := delayedOrder{target: i, arrival: sim.now.Add(delay), order: o}
		sim.inFlight, sim.sent = append(sim.inFlight, l), append(sim.sent, l)
	}
}

// newTerm replaces the holder: its in-memory state is lost, while its orders may still arrive.
func (sim *simulation) newTerm() {
	sim.now = sim.now.Add(6 * time.Second) // the minimum between the end of a term and the next one, at the default TTL
	sim.term = Term{Fence: sim.term.Fence + 1, Since: sim.now}
	for i := range sim.service.Targets {
		sim.service.Targets[i].OrderedAt, sim.service.Targets[i].OrderedState = time.Time{}, State{}
	}
}

// deliverStaleOrder delivers an order of an earlier term, like a holder that was paused between its check and its order. It can interrupt
// running work, which is the limitation stated in the package comment, so such interruptions are not counted.
func (sim *simulation) deliverStaleOrder(t *rapid.T) {
	if len(sim.sent) == 0 {
		return
	}
	l := rapid.SampledFrom(sim.sent).Draw(t, "old")
	if !sim.service.IgnoresFences || l.order.Fence == sim.term.Fence {
		return
	}
	e := &sim.engines[l.target]
	e.running = 0
	e.execute(l.order)
}

// checkInvariants checks what must hold at all times.
func (sim *simulation) checkInvariants(t *rapid.T) {
	drained := 0
	for i := range sim.service.Targets {
		if !sim.service.Targets[i].DrainedAt.IsZero() {
			drained++
		}
		if sim.engines[i].interrupted > 0 {
			t.Fatalf("loading a model on target %d interrupted running work", i)
		}
	}
	if drained > 1 {
		t.Fatalf("%d targets of one service are drained at once", drained)
	}
}

// Holders are replaced, paused holders resume, steps fail, orders are delayed, reports are missed and the settings change. No load may
// interrupt running work and at most one target of the service may be drained at a time; once faults stop, every engine must reach the
// wanted state and serve again.
func TestRandomisedChangesKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		for range rapid.IntRange(10, 120).Draw(t, "ticks") {
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0:
				sim.newTerm()
			case 2:
				sim.deliverStaleOrder(t)
			case 1:
				sim.service.Want = rapid.SampledFrom([]State{v1, v2, {Model: "dispatch", Version: "9"}}).Draw(t, "want")
			}
			sim.tick(t)
			sim.checkInvariants(t)
		}
		sim.faults = false
		for range len(sim.engines) * 120 {
			sim.tick(t)
			sim.checkInvariants(t)
		}
		for i, e := range sim.engines {
			target := sim.service.Targets[i]
			if !e.state.satisfies(sim.service.Want) || !target.DrainedAt.IsZero() || target.Intent != nil && !target.Intent.Done {
				t.Fatalf("target %d did not converge: state %v, drained %v, intent %v", i, e.state, target.DrainedAt, target.Intent)
			}
		}
	})
}
