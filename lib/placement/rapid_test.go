package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"anvilwick.example/anvilwick/lib/engineapi"
)

// fakeEngine carries orders out after a while, and ends what runs on it when a model is loaded.
type fakeEngine struct {
	state   State
	running int
	cut     int // generations ended by a load
}

func (e *fakeEngine) obey(o engineapi.Order) {
	switch o.Kind {
	case engineapi.OrderLoadModel:
		if e.state.Model != o.Model || e.state.Version != o.Version {
			e.cut += e.running
			e.state = State{Model: o.Model, Version: o.Version}
		}
	case engineapi.OrderLoadAdapter:
		if len(e.state.missing(State{Adapters: []string{o.Adapter}})) > 0 {
			e.state.Adapters = append(append([]string{}, e.state.Adapters...), o.Adapter)
		}
	}
}

// late is an order on its way.
type late struct {
	target int
	at     time.Time
	order  engineapi.Order
}

// world runs Plan against engines, with steps that fail, terms that end, orders that come late and reports that lag.
type world struct {
	now     time.Time
	term    Term
	s       Service
	engines []fakeEngine
	onWay   []late
	given   []late // in all terms
	faults  bool
}

func newWorld(t *rapid.T) *world {
	w := &world{now: now, term: Term{Fence: 1, Since: now}, faults: true}
	w.s = Service{Name: "s", Want: v1, IgnoresFences: rapid.Bool().Draw(t, "ignores")}
	for i := range rapid.IntRange(1, 5).Draw(t, "targets") {
		w.engines = append(w.engines, fakeEngine{state: v1})
		w.s.Targets = append(w.s.Targets, Target{Name: fmt.Sprint(i)})
	}
	return w
}

func (w *world) tick(t *rapid.T) {
	w.now = w.now.Add(Tick)
	w.deliver()
	for i := range w.engines {
		w.report(t, i)
	}
	step, ok := Plan(w.now, w.term, w.s)
	if !ok || w.faults && rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
		return
	}
	for i := range w.s.Targets {
		if w.s.Targets[i].Name == step.Target {
			w.take(t, i, step)
		}
	}
}

func (w *world) deliver() {
	rest := w.onWay[:0]
	for _, l := range w.onWay {
		if l.at.After(w.now) {
			rest = append(rest, l)
			continue
		}
		w.engines[l.target].obey(l.order)
	}
	w.onWay = rest
}

// report lets an engine tell its state, now and then, and lets work come and go.
func (w *world) report(t *rapid.T, i int) {
	e, tg := &w.engines[i], &w.s.Targets[i]
	drained := !tg.DrainedAt.IsZero() && w.now.Sub(tg.DrainedAt) >= DrainPropagation
	if drained && e.running > 0 && rapid.Bool().Draw(t, "ends") {
		e.running--
	}
	if !drained && w.faults {
		e.running = rapid.IntRange(0, 2).Draw(t, "running")
	}
	if !w.faults || rapid.IntRange(0, 4).Draw(t, "heard") > 0 {
		tg.LastReport = &Report{State: e.state, At: w.now, Running: e.running}
	}
}

func (w *world) take(t *rapid.T, i int, step Step) {
	tg := &w.s.Targets[i]
	switch step.Kind {
	case WriteIntent:
		tg.Intent = &Intent{Want: step.Want, Fence: w.term.Fence}
	case CloseIntent:
		tg.Intent = &Intent{Want: step.Want, Fence: w.term.Fence, Done: true}
	case Drain, Undrain:
		tg.DrainedAt = time.Time{}
		if step.Kind == Drain {
			tg.DrainedAt = w.now
		}
	case SendOrders:
		w.give(t, i, step)
	}
}

func (w *world) give(t *rapid.T, i int, step Step) {
	tg := &w.s.Targets[i]
	if tg.Intent == nil || tg.Intent.Fence != w.term.Fence || !tg.Intent.Want.equal(step.Want) {
		t.Fatalf("order to %s without its intent", tg.Name)
	}
	if w.s.IgnoresFences && w.now.Sub(w.term.Since) < MaxOrderDelay {
		t.Fatalf("order to %s before old ones are waited out", tg.Name)
	}
	tg.OrderedAt, tg.OrderedState = w.now, step.Want
	for _, o := range step.Orders {
		if o.Kind == engineapi.OrderLoadModel && tg.DrainedAt.IsZero() {
			t.Fatalf("model loaded on %s, which may have work", tg.Name)
		}
		delay := time.Duration(rapid.IntRange(0, int(OrderTimeout/time.Millisecond)).Draw(t, "delay")) * time.Millisecond
		l := late{target: i, at: w.now.Add(delay), order: o}
		w.onWay, w.given = append(w.onWay, l), append(w.given, l)
	}
}

// newTerm is a holder's end: what it knew is gone, what it ordered may still arrive.
func (w *world) newTerm() {
	w.now = w.now.Add(6 * time.Second) // the least between an old term's stop and a new one, at the default TTL
	w.term = Term{Fence: w.term.Fence + 1, Since: w.now}
	for i := range w.s.Targets {
		w.s.Targets[i].OrderedAt, w.s.Targets[i].OrderedState = time.Time{}, State{}
	}
}

// wakeOldHolder delivers an order of an earlier term, as a holder does that was paused between its check and its
// order. It can cut what runs: that is the limit which the package states, so such cuts are not counted.
func (w *world) wakeOldHolder(t *rapid.T) {
	if len(w.given) == 0 {
		return
	}
	l := rapid.SampledFrom(w.given).Draw(t, "old")
	if !w.s.IgnoresFences || l.order.Fence == w.term.Fence {
		return
	}
	e := &w.engines[l.target]
	e.running = 0
	e.obey(l.order)
}

// check is what must hold at every moment.
func (w *world) check(t *rapid.T) {
	out := 0
	for i := range w.s.Targets {
		if !w.s.Targets[i].DrainedAt.IsZero() {
			out++
		}
		if w.engines[i].cut > 0 {
			t.Fatalf("a load on %d cut what ran there", i)
		}
	}
	if out > 1 {
		t.Fatalf("%d targets of one service are out at once", out)
	}
}

// Holders come and go and wake again, steps fail, orders come late, reports are missed and operators change their minds. Callers
// would see a service short of engines, or streams cut by a load; neither happens, and once all is calm every engine
// has what the settings want and is back at work.
func TestRandomisedChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(10, 120).Draw(t, "ticks") {
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0:
				w.newTerm()
			case 2:
				w.wakeOldHolder(t)
			case 1:
				w.s.Want = rapid.SampledFrom([]State{v1, v2, {Model: "dispatch", Version: "9"}}).Draw(t, "want")
			}
			w.tick(t)
			w.check(t)
		}
		w.faults = false
		for range len(w.engines) * 120 {
			w.tick(t)
			w.check(t)
		}
		for i, e := range w.engines {
			tg := w.s.Targets[i]
			if !e.state.meets(w.s.Want) || !tg.DrainedAt.IsZero() || tg.Intent != nil && !tg.Intent.Done {
				t.Fatalf("target %d is left with %v, drained %v, intent %v", i, e.state, tg.DrainedAt, tg.Intent)
			}
		}
	})
}
