// Package breaker is a circuit breaker with half-open probes for the link to each target.
//
// It replaces github.com/sony/gobreaker, which reads the wall clock itself, reopens after a fixed period (so that all instances
// probe a recovering target at the same moment) and does not lengthen the period of a link that stays down.
package breaker

import (
	"math/rand/v2"
	"sync"
	"time"
)

// State is the state of one link.
type State uint8

// States.
const (
	Closed   State = iota // requests pass
	Open                  // no requests until the open period has passed
	HalfOpen              // one probe at a time
)

// String returns the name used in metrics and logs.
func (s State) String() string {
	return [...]string{"closed", "open", "half_open"}[s]
}

// Outcome is the result of an attempt on a link.
type Outcome uint8

// Outcomes.
const (
	Success Outcome = iota + 1
	Failure         // the link or the target failed: refused connection, reset, stall, no response
	Ignored         // not evidence about the link: the caller disconnected, or the target refused properly
)

// Config holds the thresholds of a Set.
type Config struct {
	Consecutive int           // failures in a row that open a link
	MinSamples  int           // attempts in a window from which Ratio applies
	Ratio       float64       // share of failures in a window that opens a link
	Window      time.Duration // length of a counting window
	OpenFor     time.Duration // first open period; doubled while probes fail
	MaxOpenFor  time.Duration
	Jitter      float64       // share by which an open period is extended at random, so that instances don't probe together
	Probes      int           // successful probes in a row that close a link
	ProbeFor    time.Duration // a probe without an outcome for this long counts as failed
}

// DefaultConfig opens a link after 3 failures in a row, at first for one second plus jitter.
var DefaultConfig = Config{
	Consecutive: 3, MinSamples: 20, Ratio: 0.5, Window: 10 * time.Second,
	OpenFor: time.Second, MaxOpenFor: 30 * time.Second, Jitter: 0.5, Probes: 2, ProbeFor: 30 * time.Second,
}

// Set holds one breaker per target. It is safe for concurrent use.
type Set struct {
	cfg   Config
	mu    sync.Mutex
	rng   *rand.Rand
	links map[string]*link
}

type link struct {
	state        State
	generation   uint64 // incremented with each change of state; outcomes of older Tickets are ignored
	windowEnd    time.Time
	samples      int
	failures     int
	consecutive  int
	openFor      time.Duration
	openUntil    time.Time
	probing      bool
	probeUntil   time.Time
	probesPassed int
}

// New returns a Set without targets. The seed determines the jitter.
func New(cfg Config, seed uint64) *Set {
	return &Set{cfg: cfg, rng: rand.New(rand.NewPCG(seed, seed)), links: make(map[string]*link)}
}

// Ticket represents one attempt. Done must be called once.
type Ticket struct {
	set        *Set
	target     string
	generation uint64
}

// Allow issues a Ticket for target. When it reports false, wait is the time until the next probe may be made.
func (s *Set) Allow(now time.Time, target string) (t Ticket, wait time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.current(now, target)
	switch {
	case l.state == Open:
		return Ticket{}, l.openUntil.Sub(now), false
	case l.state == HalfOpen && l.probing:
		return Ticket{}, l.probeUntil.Sub(now), false
	case l.state == HalfOpen:
		l.probing = true
		l.probeUntil = now.Add(s.cfg.ProbeFor)
	}
	return Ticket{set: s, target: target, generation: l.generation}, 0, true
}

// Usable reports whether Allow would issue a Ticket, without issuing one.
func (s *Set) Usable(now time.Time, target string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.current(now, target)
	return l.state == Closed || l.state == HalfOpen && !l.probing
}

// State returns the state of target's link.
func (s *Set) State(now time.Time, target string) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current(now, target).state
}

// Forget drops target's breaker, when the settings no longer name the target or it was replaced.
func (s *Set) Forget(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.links, target)
}

// Done reports the outcome of the attempt.
func (t Ticket) Done(now time.Time, o Outcome) {
	if t.set == nil {
		return
	}
	t.set.mu.Lock()
	defer t.set.mu.Unlock()
	l := t.set.current(now, t.target)
	if l.generation != t.generation {
		return
	}
	if l.state == HalfOpen {
		t.set.endProbe(now, l, o)
		return
	}
	t.set.count(now, l, o)
}

// current returns target's link with its state advanced to now.
func (s *Set) current(now time.Time, target string) *link {
	l := s.links[target]
	if l == nil {
		l = &link{openFor: s.cfg.OpenFor, windowEnd: now.Add(s.cfg.Window)}
		s.links[target] = l
	}
	if l.state == Open && !now.Before(l.openUntil) {
		l.enter(HalfOpen)
	}
	if l.state == HalfOpen && l.probing && !now.Before(l.probeUntil) {
		s.open(now, l)
	}
	return l
}

func (l *link) enter(st State) {
	l.state = st
	l.generation++
	l.samples, l.failures, l.consecutive = 0, 0, 0
	l.probing, l.probesPassed = false, 0
}

// open starts an open period and doubles the next one.
func (s *Set) open(now time.Time, l *link) {
	jitter := time.Duration(s.rng.Float64() * s.cfg.Jitter * float64(l.openFor))
	l.openUntil = now.Add(l.openFor + jitter)
	l.openFor = min(2*l.openFor, s.cfg.MaxOpenFor)
	l.enter(Open)
}

func (s *Set) endProbe(now time.Time, l *link, o Outcome) {
	l.probing = false
	switch o {
	case Failure:
		s.open(now, l)
	case Success:
		l.probesPassed++
		if l.probesPassed >= s.cfg.Probes {
			l.openFor = s.cfg.OpenFor
			l.windowEnd = now.Add(s.cfg.Window)
			l.enter(Closed)
		}
	}
}

func (s *Set) count(now time.Time, l *link, o Outcome) {
	if o == Ignored {
		return
	}
	if !now.Before(l.windowEnd) {
		l.samples, l.failures = 0, 0
		l.windowEnd = now.Add(s.cfg.Window)
	}
	l.samples++
	if o == Success {
		l.consecutive = 0
		return
	}
	l.failures++
	l.consecutive++
	if s.tripped(l) {
		s.open(now, l)
	}
}

func (s *Set) tripped(l *link) bool {
	if l.consecutive >= s.cfg.Consecutive {
		return true
	}
	return l.samples >= s.cfg.MinSamples && float64(l.failures) >= s.cfg.Ratio*float64(l.samples)
}
