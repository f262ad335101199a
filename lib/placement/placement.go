// Package placement brings the models, versions and adapters loaded on engines in line with the settings, under a lease.
//
// Plan is a pure function: from the settings, the engines' reports and the stored intents it computes the next step of each service. Run
// executes the steps while its term lasts.
//
// One target of a service changes at a time, and only while at least MinServing of the others serve. A change writes an intent, drains the
// target, waits until it is idle, sends orders, waits for a report that confirms them, undrains the target and closes the intent. Every
// step can be repeated, so a new lease holder continues from the intent that it finds. A target is drained only for changes that interrupt
// its work (a model or a version); running generations are never cut off.
//
// Engines that enforce fencing refuse orders with an old number. Engines that ignore fencing execute any order, so for them:
//
//   - The intent is written first, conditional on the lease: a holder whose term is over can't write one, so it can only repeat what was
//     already stored.
//   - A new holder waits MaxOrderDelay before its first order, while orders of the old holder may still be in flight.
//   - A holder that was paused between its check and its order can still deliver that one order late, once per pause. The engine's next
//     report then differs from the settings and the change is made again. Until then, for at most the report's lag plus a whole change,
//     the engine serves the state of an earlier intent. Nothing bounds the pause itself.
package placement

import (
	"slices"
	"time"

	"anvilwick.example/anvilwick/lib/engineapi"
)

// Timeouts and bounds of a change.
const (
	// OrderTimeout is the timeout of one order.
	OrderTimeout = 4 * time.Second
	// MaxOrderDelay is how long an order can be in flight: its sender's timeout, and as much again in network queues. For that long a
	// new holder sends no orders to engines that ignore fencing and treats no engine's state as final.
	MaxOrderDelay = 2 * OrderTimeout
	// ReorderAfter is when an order is sent again if no report shows its effect.
	ReorderAfter = 30 * time.Second
	// ReportTTL is how long a report shows that its engine serves.
	ReportTTL = 10 * time.Second
	// DrainPropagation is when every entry has stopped sending new work to a drained target.
	DrainPropagation = 3 * time.Second
	// LostAfter is when a silent target in the middle of a change stops blocking changes of others.
	LostAfter = 10 * time.Minute
	// MinServing is the share of a service's other targets that must serve before one is drained.
	MinServing = 0.5
)

// State is the model, version and adapters that an engine has loaded, or should have.
type State struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// satisfies reports whether s provides what want requires. Extra adapters are harmless, and no order unloads them.
func (s State) satisfies(want State) bool {
	return !s.differsInModel(want) && len(s.missingAdapters(want)) == 0
}

func (s State) differsInModel(want State) bool {
	return s.Model != want.Model || s.Version != want.Version
}

func (s State) missingAdapters(want State) []string {
	var out []string
	for _, a := range want.Adapters {
		if !slices.Contains(s.Adapters, a) {
			out = append(out, a)
		}
	}
	return out
}

func (s State) equal(o State) bool {
	return !s.differsInModel(o) && slices.Equal(s.Adapters, o.Adapters)
}

// Report is the last report of an engine.
type Report struct {
	State
	At      time.Time // the time that the report describes
	Running int
	Leaving bool
}

// Intent is the record stored at intent/{target}, written before the first order of a change and closed after the last.
type Intent struct {
	Want  State  `json:"want"`
	Fence uint64 `json:"fence"`
	Done  bool   `json:"done"`
}

// Target is the known state of a target.
type Target struct {
	Name         string
	LastReport   *Report   // nil: none yet
	Intent       *Intent   // nil: none
	DrainedAt    time.Time // when it was drained for its change; zero: not drained
	OrderedAt    time.Time // when this term sent its last order; zero: none
	OrderedState State     // the state requested by that order
}

// Service is a service whose models are placed.
type Service struct {
	Name          string
	IgnoresFences bool
	Want          State
	Targets       []Target // ordered by name
}

// Term is the lease term in which steps are taken.
type Term struct {
	Fence uint64
	Since time.Time
}

// Kind is the kind of a Step.
type Kind uint8

// Kinds of steps, in the order of a change.
const (
	WriteIntent Kind = iota + 1
	Drain
	SendOrders
	Undrain
	CloseIntent
)

// Step is the next action for a target.
type Step struct {
	Kind   Kind
	Target string
	Want   State
	Orders []engineapi.Order // for SendOrders, in this order
}

// Plan returns the next step of a service; false if there is nothing to do but wait.
func Plan(now time.Time, term Term, s Service) (Step, bool) {
	if t := openChange(now, term, s); t != nil {
		return nextStep(now, term, s, t)
	}
	if t := candidate(now, s); t != nil {
		return Step{Kind: WriteIntent, Target: t.Name, Want: s.Want}, true
	}
	return Step{}, false
}

// openChange returns the target with a change in progress, unless it has been silent for too long.
func openChange(now time.Time, term Term, s Service) *Target {
	for i := range s.Targets {
		t := &s.Targets[i]
		if t.Intent != nil && !t.Intent.Done && !t.isLost(now, term) {
			return t
		}
	}
	return nil
}

func (t *Target) isLost(now time.Time, term Term) bool {
	lastSeen := term.Since
	if t.LastReport != nil && t.LastReport.At.After(lastSeen) {
		lastSeen = t.LastReport.At
	}
	return now.Sub(lastSeen) > LostAfter
}

func (t *Target) hasFreshReport(now time.Time) bool {
	return t.LastReport != nil && now.Sub(t.LastReport.At) <= ReportTTL
}

func (t *Target) isServing(now time.Time) bool {
	return t.hasFreshReport(now) && !t.LastReport.Leaving && t.DrainedAt.IsZero()
}

// candidate returns the first target that must change and may.
func candidate(now time.Time, s Service) *Target {
	for i := range s.Targets {
		t := &s.Targets[i]
		if !t.hasFreshReport(now) || t.LastReport.Leaving {
			continue
		}
		if t.leftDrained() || !t.LastReport.satisfies(s.Want) && enoughServing(now, s, t) {
			return t
		}
	}
	return nil
}

// leftDrained reports whether a target is drained although no change is open. This happens when a new holder's first read of the intents is
// stale and shows a change as closed; the target would otherwise stay drained for the whole term.
func (t *Target) leftDrained() bool { return !t.DrainedAt.IsZero() }

// enoughServing reports whether t can be drained. In a service with a single target there are no others to wait for.
func enoughServing(now time.Time, s Service, t *Target) bool {
	serving := 0
	for i := range s.Targets {
		if other := &s.Targets[i]; other != t && other.isServing(now) {
			serving++
		}
	}
	return float64(serving) >= MinServing*float64(len(s.Targets)-1)
}

// nextStep returns the next step of a change in progress.
func nextStep(now time.Time, term Term, s Service, t *Target) (Step, bool) {
	step := Step{Target: t.Name, Want: s.Want}
	switch {
	case t.Intent.Fence != term.Fence || !t.Intent.Want.equal(s.Want):
		step.Kind = WriteIntent
	case !t.hasFreshReport(now):
		return step, false
	case t.hasConverged(term):
		step.Kind = CloseIntent
		if !t.DrainedAt.IsZero() {
			step.Kind = Undrain
		}
	case t.LastReport.differsInModel(s.Want) && t.DrainedAt.IsZero():
		step.Kind = Drain
	case mustWait(now, term, s, t):
		return step, false
	default:
		step.Kind, step.Orders = SendOrders, orders(term, t, s.Want)
	}
	return step, true
}

// hasConverged reports whether the engine has the wanted state permanently. A report from before the last order does not show its effect.
// While an order for another state may be in flight, from this term or the previous one, the engine may have the wanted state only until
// that order arrives, which would then cut off running work. Engines that enforce fencing are no exception: they refuse an old order only
// after they have seen a newer number.
func (t *Target) hasConverged(term Term) bool {
	reportedAt := t.LastReport.At
	settled := reportedAt.Sub(term.Since) >= MaxOrderDelay
	if !t.OrderedState.equal(t.Intent.Want) {
		settled = settled && reportedAt.Sub(t.OrderedAt) >= MaxOrderDelay
	}
	return settled && reportedAt.After(t.OrderedAt) && t.LastReport.satisfies(t.Intent.Want)
}

// mustWait reports whether orders must be held back.
func mustWait(now time.Time, term Term, s Service, t *Target) bool {
	switch {
	case t.LastReport.satisfies(s.Want):
		return true // already loaded, but the report is too old to close the change
	case t.LastReport.differsInModel(s.Want) && !t.idle():
		return true
	case s.IgnoresFences && now.Sub(term.Since) < MaxOrderDelay:
		return true
	}
	return t.OrderedState.equal(s.Want) && now.Sub(t.OrderedAt) < ReorderAfter
}

// idle reports whether nothing is running that loading a model would cut off. A report from before the drain took full effect may show an
// engine as idle that has received work since.
func (t *Target) idle() bool {
	return t.LastReport.Running == 0 && t.LastReport.At.Sub(t.DrainedAt) >= DrainPropagation
}

// orders lists the orders that lead from the reported state to want. Each names a desired state, so repeating one changes nothing.
func orders(term Term, t *Target, want State) []engineapi.Order {
	var out []engineapi.Order
	missing := t.LastReport.missingAdapters(want)
	if t.LastReport.differsInModel(want) {
		out = append(out, engineapi.Order{Kind: engineapi.OrderLoadModel, Model: want.Model, Version: want.Version})
		missing = want.Adapters // a new model starts without adapters
	}
	for _, a := range missing {
		out = append(out, engineapi.Order{Kind: engineapi.OrderLoadAdapter, Model: want.Model, Adapter: a})
	}
	for i := range out {
		out[i].Fence = term.Fence
	}
	return out
}
