// Package enginerate estimates how fast each engine of a service works: the time between two events of a stream, the time to prefill a
// prompt token, the momentary slowdown that engines report, and how often a pause between events becomes much longer than usual.
//
// Engines of one service may differ in speed, and each may be slowed down for some hundred milliseconds by other work on its machine.
// A prompt that is prefilled beside running streams lengthens their pauses. A choice among engines by free memory alone sends long streams
// to engines that can't keep their pauses short.
//
// The package does no I/O and reads no clock.
package enginerate

import (
	"sync"
	"time"
)

const (
	// Interval is the period that a Risk refers to.
	Interval = 500 * time.Millisecond
	// SlowdownTTL is how long a reported slowdown is used: other work on an engine's machine lasts for some hundred milliseconds.
	SlowdownTTL = 400 * time.Millisecond
	// targetTTL is how long a target without observations keeps its estimates.
	targetTTL = 30 * time.Second
	// serviceTTL is how long a service without observations keeps its estimates.
	serviceTTL = 10 * time.Minute
	// sweepInterval is the period at which expired targets are dropped and the medians computed.
	sweepInterval = time.Second
	// maxTargets bounds the targets of one service.
	maxTargets = 4096
	// maxServices bounds the services.
	maxServices = 256
)

// Table holds the estimates of the engines of all services. It is safe for concurrent use; the zero value is ready for use.
type Table struct {
	mu       sync.Mutex
	services map[string]*service
	sweptAt  time.Time
}

// service holds the estimates of one service.
type service struct {
	targets    map[string]*target
	seen       time.Time     // time of the newest observation
	event      time.Duration // median of the event times of its targets; 0: unknown
	prefill    medianTracker // over all targets
	prefilling histogram     // of the ratio of the longest pause to the event time, while the engine prefills a prompt
	decoding   histogram     // the same, otherwise
}

// Events is what one instance observed of the events of its streams on an engine during one report interval.
type Events struct {
	Shortest   time.Duration // shortest time between two events of a stream; 0: none was observed
	Longest    time.Duration // longest time between two events of a stream; 0: none was observed
	Prefilling bool          // a prompt was prefilled there during the interval
}

// ObserveEvents records what an instance observed on an engine.
func (t *Table) ObserveEvents(now time.Time, service, target string, e Events) {
	if !plausible(e.Shortest) && !plausible(e.Longest) || e.Longest != 0 && e.Longest < e.Shortest {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, g := t.observed(now, service, target)
	if g == nil {
		return
	}
	slowdown := g.slowdownAt(now)
	if plausible(e.Shortest) {
		g.event.observe(e.Shortest, e.Prefilling, slowdown)
	}
	if !plausible(e.Longest) || !g.event.known() {
		return
	}
	h := &s.decoding
	if e.Prefilling {
		h = &s.prefilling
	}
	h.add(float64(e.Longest) / (g.event.ns * max(1, slowdown)))
}

// ObservePrefill records the time to a first event on an engine that had the given prompt tokens to prefill.
func (t *Table) ObservePrefill(now time.Time, service, target string, unread int, took time.Duration) {
	if unread <= 0 || !plausible(took) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, g := t.observed(now, service, target)
	if g == nil {
		return
	}
	perToken := float64(took) / float64(unread) / max(1, g.slowdownAt(now))
	s.prefill.observe(perToken)
	g.prefill.observe(perToken)
}

// ObserveSlowdown records the slowdown that an engine named in a response: the factor on its normal step time, 1 for normal.
func (t *Table) ObserveSlowdown(at time.Time, service, target string, factor float64) {
	if !ValidSlowdown(factor) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_, g := t.observed(at, service, target)
	if g != nil && g.slowAt.Before(at) {
		g.slowdown, g.slowAt = factor, at
	}
}

// Forget drops what is known of a target, because a new incarnation has started or the target has left.
func (t *Table) Forget(service, target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.services[service]; s != nil {
		delete(s.targets, target)
	}
}

// Rate is the estimated speed of an engine.
type Rate struct {
	EventTime   time.Duration // between two events of a stream while the engine prefills nothing, at normal speed; 0: unknown
	PrefillTime time.Duration // per prompt token, at normal speed; 0: unknown
	Slowdown    float64       // factor at this moment; 1 is normal or unknown
	Own         bool          // EventTime was observed on this engine; otherwise it is the median of the service's engines
}

// Rate returns the estimates for an engine. An engine without observations gets the median of its service.
func (t *Table) Rate(now time.Time, service, target string) Rate {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := Rate{Slowdown: 1}
	s := t.services[service]
	if s == nil {
		return out
	}
	out.EventTime, out.PrefillTime = s.event, s.prefill.value()
	g := s.targets[target]
	if g == nil || now.Sub(g.seen) > targetTTL {
		return out
	}
	out.Slowdown = g.slowdownAt(now)
	if g.event.known() {
		out.EventTime, out.Own = g.event.value(), true
	}
	if g.prefill.known() {
		out.PrefillTime = g.prefill.value()
	}
	return out
}

// Risk is the probability that the longest pause of a stream exceeds a limit within Interval.
type Risk struct {
	Prefilling float64 // while the engine prefills a prompt
	Decoding   float64 // otherwise
}

// Risk returns the risk that a pause on an engine with the given rate exceeds limit, from the ratio of the longest to the usual pauses
// observed on all engines of the service. It is 0 until enough intervals were observed.
func (t *Table) Risk(service string, r Rate, limit time.Duration) Risk {
	usual := float64(r.EventTime) * r.Slowdown
	if usual <= 0 || limit <= 0 {
		return Risk{}
	}
	at := binOf(float64(limit) / usual)
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[service]
	if s == nil {
		return Risk{}
	}
	return Risk{Prefilling: s.prefilling.share(at), Decoding: s.decoding.share(at)}
}

// observed returns the entries of a service and a target that was observed, or no target if one of the tables is full.
func (t *Table) observed(now time.Time, name, id string) (*service, *target) {
	t.sweep(now)
	s := t.services[name]
	if s == nil {
		if len(t.services) >= maxServices {
			return nil, nil
		}
		if t.services == nil {
			t.services = make(map[string]*service)
		}
		s = &service{targets: make(map[string]*target)}
		t.services[name] = s
	}
	s.seen = later(s.seen, now)
	g := s.targets[id]
	if g == nil {
		if len(s.targets) >= maxTargets {
			return s, nil
		}
		g = new(target)
		s.targets[id] = g
	}
	g.seen = later(g.seen, now)
	return s, g
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
