// Package placement brings the models, versions and adapters of engines to what the settings want, under a lease.
//
// Plan is pure: from what the settings want, what engines report and what intents stand in the table it names the
// next step of each service. Run carries the steps out while its term lasts.
//
// One target of a service changes at a time, and only while at least MinServing of the others serve. A change goes
// intent, drain, wait until idle, order, wait until the report agrees, undrain, done; each step can be repeated, so
// a new holder goes on from the intent that it finds. A target is drained only for what interrupts it (a model or a
// version); nothing that runs there is cut.
//
// Old holders. Engines that enforce fencing refuse an old number. Engines that ignore it obey any order, so:
//
//   - the intent is written first, under the lease's condition: a holder whose term is over can't write one, and so
//     can only repeat what already stood in the table;
//   - a new holder waits WaitOut before its first order, as long as an order of the old holder can be on its way;
//   - a holder that was paused between its check and its order can still deliver that one order later, once for each
//     pause. The engine's next report then disagrees and the change is made again. Until then, at most a report's lag
//     and a whole change, the engine serves what an earlier intent wanted. Nothing bounds the pause itself.
package placement

import (
	"slices"
	"time"

	"anvilwick.example/anvilwick/lib/engineapi"
)

// Times and bounds of a change.
const (
	// OrderTimeout ends an order that gets no answer.
	OrderTimeout = 4 * time.Second
	// MaxOrderDelay is how long an order can be on its way: the longest that its sender waits, and as much again in queues
	// of the network. So long a new holder gives no orders to engines that ignore fencing numbers, and takes no
	// engine's state for final.
	MaxOrderDelay = 2 * OrderTimeout
	// ReorderAfter is when an order whose effect no report shows is given again.
	ReorderAfter = 30 * time.Second
	// ReportTTL is the age up to which a report shows that its engine serves.
	ReportTTL = 10 * time.Second
	// DrainPropagation is when no entry sends new work to a drained target any more.
	DrainPropagation = 3 * time.Second
	// LostAfter is when a silent target in the middle of a change stops holding up the others.
	LostAfter = 10 * time.Minute
	// MinServing is the part of a service's other targets that must serve before one is taken out.
	MinServing = 0.5
)

// State is what an engine has loaded, or should have.
type State struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// meets reports whether s is what want asks for. Adapters beyond it do no harm, and no order unloads them.
func (s State) meets(want State) bool {
	return !s.differsInModel(want) && len(s.missing(want)) == 0
}

func (s State) differsInModel(want State) bool {
	return s.Model != want.Model || s.Version != want.Version
}

func (s State) missing(want State) []string {
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

// Report is what an engine said last.
type Report struct {
	State
	At      time.Time // the moment that it describes
	Running int
	Leaving bool
}

// Intent is the record at intent/{target}, written before the first order and closed after the last.
type Intent struct {
	Want  State  `json:"want"`
	Fence uint64 `json:"fence"`
	Done  bool   `json:"done"`
}

// Target is what is known of one target.
type Target struct {
	Name         string
	LastReport   *Report   // nil: none yet
	Intent       *Intent   // nil: none
	DrainedAt    time.Time // when it was drained for its change; zero: it was not
	OrderedAt    time.Time // when this term gave its last order; zero: none
	OrderedState State     // what that order was for
}

// Service is one service whose targets are placed.
type Service struct {
	Name          string
	IgnoresFences bool
	Want          State
	Targets       []Target // in order of name
}

// Term is the lease under which steps are taken.
type Term struct {
	Fence uint64
	Since time.Time
}

// Kind says what a Step does.
type Kind uint8

// The kinds, in the order of a change.
const (
	WriteIntent Kind = iota + 1
	Drain
	SendOrders
	Undrain
	CloseIntent
)

// Step is the next thing to do for a target.
type Step struct {
	Kind   Kind
	Target string
	Want   State
	Orders []engineapi.Order // GiveOrders: in this order
}

// Plan returns the next step of a service; false when there is nothing to do, or only to wait.
func Plan(now time.Time, term Term, s Service) (Step, bool) {
	if t := changing(now, term, s); t != nil {
		return goOn(now, term, s, t)
	}
	if t := candidate(now, s); t != nil {
		return Step{Kind: WriteIntent, Target: t.Name, Want: s.Want}, true
	}
	return Step{}, false
}

// changing finds the target in the middle of a change. One that has been silent for too long does not count.
func changing(now time.Time, term Term, s Service) *Target {
	for i := range s.Targets {
		t := &s.Targets[i]
		if t.Intent != nil && !t.Intent.Done && !t.lost(now, term) {
			return t
		}
	}
	return nil
}

func (t *Target) lost(now time.Time, term Term) bool {
	heard := term.Since
	if t.LastReport != nil && t.LastReport.At.After(heard) {
		heard = t.LastReport.At
	}
	return now.Sub(heard) > LostAfter
}

func (t *Target) fresh(now time.Time) bool {
	return t.LastReport != nil && now.Sub(t.LastReport.At) <= ReportTTL
}

func (t *Target) serves(now time.Time) bool {
	return t.fresh(now) && !t.LastReport.Leaving && t.DrainedAt.IsZero()
}

// candidate picks the first target that must change and may.
func candidate(now time.Time, s Service) *Target {
	for i := range s.Targets {
		t := &s.Targets[i]
		if !t.fresh(now) || t.LastReport.Leaving {
			continue
		}
		if t.leftDrained() || !t.LastReport.meets(s.Want) && enoughServe(now, s, t) {
			return t
		}
	}
	return nil
}

// leftDrained reports a target that is out though no change is open. A new holder's first read of the intents can be
// stale and show a change as closed; the target would stay out for the whole term.
func (t *Target) leftDrained() bool { return !t.DrainedAt.IsZero() }

// enoughServe reports whether t can be spared. A service of one target has nobody to wait for.
func enoughServe(now time.Time, s Service, t *Target) bool {
	serving := 0
	for i := range s.Targets {
		if o := &s.Targets[i]; o != t && o.serves(now) {
			serving++
		}
	}
	return float64(serving) >= MinServing*float64(len(s.Targets)-1)
}

// goOn finds the next step of a change.
func goOn(now time.Time, term Term, s Service, t *Target) (Step, bool) {
	step := Step{Target: t.Name, Want: s.Want}
	switch {
	case t.Intent.Fence != term.Fence || !t.Intent.Want.equal(s.Want):
		step.Kind = WriteIntent
	case !t.fresh(now):
		return step, false
	case t.agrees(term):
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

// agrees reports whether the engine has the wanted state for good. A report from before the last order shows nothing
// of it; and while an order for something else can be on its way, from this term or the one before, the engine may
// have the wanted state only until it arrives, and would then cut what runs. An engine that enforces fencing is no
// better off: it refuses the old order only once it has seen a newer number.
func (t *Target) agrees(term Term) bool {
	at := t.LastReport.At
	settled := at.Sub(term.Since) >= MaxOrderDelay
	if !t.OrderedState.equal(t.Intent.Want) {
		settled = settled && at.Sub(t.OrderedAt) >= MaxOrderDelay
	}
	return settled && at.After(t.OrderedAt) && t.LastReport.meets(t.Intent.Want)
}

// mustWait holds an order back.
func mustWait(now time.Time, term Term, s Service, t *Target) bool {
	switch {
	case t.LastReport.meets(s.Want):
		return true // loaded, by a report too old to close the change
	case t.LastReport.differsInModel(s.Want) && !t.idle():
		return true
	case s.IgnoresFences && now.Sub(term.Since) < MaxOrderDelay:
		return true
	}
	return t.OrderedState.equal(s.Want) && now.Sub(t.OrderedAt) < ReorderAfter
}

// idle reports whether nothing runs that a load would cut. A report from before the drain was in force can show an
// engine idle that has been given work since.
func (t *Target) idle() bool {
	return t.LastReport.Running == 0 && t.LastReport.At.Sub(t.DrainedAt) >= DrainPropagation
}

// orders lists what leads from the report to want. Each carries a desired state, so giving it again changes nothing.
func orders(term Term, t *Target, want State) []engineapi.Order {
	var out []engineapi.Order
	missing := t.LastReport.missing(want)
	if t.LastReport.differsInModel(want) {
		out = append(out, engineapi.Order{Kind: engineapi.OrderLoadModel, Model: want.Model, Version: want.Version})
		missing = want.Adapters // a new model starts without any
	}
	for _, a := range missing {
		out = append(out, engineapi.Order{Kind: engineapi.OrderLoadAdapter, Model: want.Model, Adapter: a})
	}
	for i := range out {
		out[i].Fence = term.Fence
	}
	return out
}
