// Package pick places calls on the targets of a plain service: two random choices over lagging load reports that are
// corrected by this instance's own calls, with a preference for its own failure domain.
package pick

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Config holds the rule's numbers.
type Config struct {
	StaleAfter   time.Duration // an older report is not believed; own calls alone count then
	MaxLag       time.Duration // how far back own calls are remembered to correct reports
	DomainFactor float64       // another failure domain is taken when the own one's load is this many times larger
	DomainSlack  float64       // and larger by at least this share of capacity
}

// DefaultConfig suits reports some seconds old.
var DefaultConfig = Config{StaleAfter: 15 * time.Second, MaxLag: 10 * time.Second, DomainFactor: 1.5, DomainSlack: 0.1}

// Target is a target as settings give it.
type Target struct {
	Name          string
	FailureDomain string
	Draining      bool // operators' drain
}

// Report is a target's own view, Age old when it was received.
type Report struct {
	Running  int
	Capacity int
	Leaving  bool
	Age      time.Duration
}

// Table holds the load of a service's targets. It is safe for concurrent use.
type Table struct {
	cfg     Config
	mu      sync.Mutex
	names   []string
	targets map[string]*state
}

type state struct {
	spec     Target
	report   Report
	taken    time.Time // when the report's figures were true, on our clock
	own      int       // own calls in progress
	starts   []time.Time
	ends     []time.Time
	leaving  bool
	reported bool
	rests    time.Time // it wants nothing from this instance until then
}

// New returns a Table without targets.
func New(cfg Config) *Table { return &Table{cfg: cfg, targets: make(map[string]*state)} }

// SetTargets replaces the targets and keeps what is known of those that stay. A target that is gone gets no new call;
// its calls in progress may still end.
func (t *Table) SetTargets(specs []Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := make(map[string]*state, len(specs))
	t.names = t.names[:0]
	for _, sp := range specs {
		s := t.targets[sp.Name]
		if s == nil {
			s = &state{}
		}
		s.spec = sp
		kept[sp.Name] = s
		t.names = append(t.names, sp.Name)
	}
	slices.Sort(t.names)
	t.targets = kept
}

// Report takes in a load report. A report older than the last is dropped.
func (t *Table) Report(now time.Time, target string, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[target]
	taken := now.Add(-r.Age)
	if s == nil || s.reported && taken.Before(s.taken) {
		return
	}
	s.report, s.taken, s.reported, s.leaving = r, taken, true, r.Leaving
	s.starts = after(s.starts, taken)
	s.ends = after(s.ends, taken)
}

// CallStarted notes a call of ours to target; Done its end.
func (t *Table) CallStarted(now time.Time, target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.targets[target]; s != nil {
		s.own++
		s.starts = append(after(s.starts, now.Add(-t.cfg.MaxLag)), now)
	}
}

// CallDone notes the end of a call that Sent noted.
func (t *Table) CallDone(now time.Time, target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.targets[target]; s != nil {
		s.own = max(0, s.own-1)
		s.ends = append(after(s.ends, now.Add(-t.cfg.MaxLag)), now)
	}
}

// after drops the times up to cut; times are in order.
func after(times []time.Time, cut time.Time) []time.Time {
	i := 0
	for i < len(times) && !times[i].After(cut) {
		i++
	}
	return slices.Delete(times, 0, i)
}

// Query asks for a target.
type Query struct {
	FailureDomain string            // the asking instance's own; empty: no preference
	Avoid         []string          // targets that failed this call
	Usable        func(string) bool // further refusals, such as an open breaker; nil: none
}

// PauseUntil notes that a target wants nothing from this instance until a time; of several the latest holds.
func (t *Table) PauseUntil(target string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.targets[target]; s != nil && until.After(s.rests) {
		s.rests = until
	}
}

// Pick chooses a target, or reports false when none may be used.
//
// Two random choices and not the least loaded of all: with reports seconds old, every instance would send to the
// same target until the next report shows it full.
func (t *Table) Pick(now time.Time, rng *rand.Rand, q Query) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	near, far := t.candidates(now, q)
	a, okNear := t.bestOfTwo(now, rng, near)
	b, okFar := t.bestOfTwo(now, rng, far)
	switch {
	case !okNear:
		return b, okFar
	case !okFar:
		return a, true
	case t.muchWorse(now, a, b):
		return b, true
	}
	return a, true
}

// candidates splits the usable targets by failure domain.
func (t *Table) candidates(now time.Time, q Query) (near, far []string) {
	for _, name := range t.names {
		s := t.targets[name]
		if s.spec.Draining || s.leaving || now.Before(s.rests) || slices.Contains(q.Avoid, name) {
			continue
		}
		if q.Usable != nil && !q.Usable(name) {
			continue
		}
		if q.FailureDomain == "" || s.spec.FailureDomain == q.FailureDomain {
			near = append(near, name)
		} else {
			far = append(far, name)
		}
	}
	return near, far
}

func (t *Table) bestOfTwo(now time.Time, rng *rand.Rand, names []string) (string, bool) {
	switch len(names) {
	case 0:
		return "", false
	case 1:
		return names[0], true
	}
	i := rng.IntN(len(names))
	j := rng.IntN(len(names) - 1)
	if j >= i {
		j++
	}
	if t.load(now, names[j]) < t.load(now, names[i]) {
		return names[j], true
	}
	return names[i], true
}

func (t *Table) muchWorse(now time.Time, near, far string) bool {
	a, b := t.load(now, near), t.load(now, far)
	return a > b*t.cfg.DomainFactor && a > b+t.cfg.DomainSlack
}

// defaultCapacity stands in for a target that never reported.
const defaultCapacity = 16

// load estimates the calls in progress on a target, as a share of its capacity.
func (t *Table) load(now time.Time, name string) float64 {
	s := t.targets[name]
	capacity := s.report.Capacity
	if capacity <= 0 {
		capacity = defaultCapacity
	}
	return float64(t.running(now, s)) / float64(capacity)
}

// running corrects the report by our own calls that started and ended since it was true.
func (t *Table) running(now time.Time, s *state) int {
	if !s.reported || now.Sub(s.taken) > t.cfg.StaleAfter {
		return s.own
	}
	return max(s.own, s.report.Running+len(s.starts)-len(s.ends))
}
