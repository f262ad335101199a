// Package balance places calls on the targets of a plain service: the better of two random choices, by lagging load reports
// corrected by this instance's own calls, with a preference for its own failure domain.
package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Config holds the parameters of the choice.
type Config struct {
	StaleAfter   time.Duration // older reports are ignored; only local calls count then
	MaxLag       time.Duration // how long local calls are kept to correct reports
	DomainFactor float64       // another failure domain is used if the local load is larger by this factor
	DomainSlack  float64       // and by this share of capacity
}

// DefaultConfig is for reports that are some seconds old.
var DefaultConfig = Config{StaleAfter: 15 * time.Second, MaxLag: 10 * time.Second, DomainFactor: 1.5, DomainSlack: 0.1}

// Target is a target as configured.
type Target struct {
	Name          string
	FailureDomain string
	Draining      bool // drained by an operator
}

// Report is a target's own load report, Age old when it was received.
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
	targets map[string]*targetState
}

type targetState struct {
	spec        Target
	report      Report
	reportTime  time.Time // when the report was true, on the local clock
	ownCalls    int       // local calls in progress
	starts      []time.Time
	ends        []time.Time
	leaving     bool
	reported    bool
	pausedUntil time.Time // the target accepts nothing from this instance until then
}

// New returns a Table without targets.
func New(cfg Config) *Table { return &Table{cfg: cfg, targets: make(map[string]*targetState)} }

// SetTargets replaces the targets and keeps the state of those that stay. A removed target gets no new call;
// its calls in progress may still end.
func (t *Table) SetTargets(specs []Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := make(map[string]*targetState, len(specs))
	t.names = t.names[:0]
	for _, sp := range specs {
		s := t.targets[sp.Name]
		if s == nil {
			s = &targetState{}
		}
		s.spec = sp
		kept[sp.Name] = s
		t.names = append(t.names, sp.Name)
	}
	slices.Sort(t.names)
	t.targets = kept
}

// Report applies a load report. A report older than the last is dropped.
func (t *Table) Report(now time.Time, target string, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[target]
	reportTime := now.Add(-r.Age)
	if s == nil || s.reported && reportTime.Before(s.reportTime) {
		return
	}
	s.report, s.reportTime, s.reported, s.leaving = r, reportTime, true, r.Leaving
	s.starts = dropUntil(s.starts, reportTime)
	s.ends = dropUntil(s.ends, reportTime)
}

// CallStarted records a local call to target; CallDone its end.
func (t *Table) CallStarted(now time.Time, target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.targets[target]; s != nil {
		s.ownCalls++
		s.starts = append(dropUntil(s.starts, now.Add(-t.cfg.MaxLag)), now)
	}
}

// CallDone records the end of a call recorded by CallStarted.
func (t *Table) CallDone(now time.Time, target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.targets[target]; s != nil {
		s.ownCalls = max(0, s.ownCalls-1)
		s.ends = append(dropUntil(s.ends, now.Add(-t.cfg.MaxLag)), now)
	}
}

// dropUntil drops the times up to cut from a sorted list.
func dropUntil(times []time.Time, cut time.Time) []time.Time {
	i := 0
	for i < len(times) && !times[i].After(cut) {
		i++
	}
	return slices.Delete(times, 0, i)
}

// Query holds the constraints of a choice.
type Query struct {
	FailureDomain string            // of the requesting instance; empty: no preference
	Avoid         []string          // targets that failed this call
	Usable        func(string) bool // further conditions, such as a circuit breaker; nil: none
}

// PauseUntil records that a target accepts nothing from this instance until a time; the latest one holds.
func (t *Table) PauseUntil(target string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.targets[target]; s != nil && until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// Pick chooses a target, or reports false when none may be used.
//
// It takes the better of two random targets, not the least loaded of all: with reports seconds old, every instance would send to the
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
	case t.muchMoreLoaded(now, a, b):
		return b, true
	}
	return a, true
}

// candidates returns the usable targets inside and outside the query's failure domain.
func (t *Table) candidates(now time.Time, q Query) (near, far []string) {
	for _, name := range t.names {
		s := t.targets[name]
		if s.spec.Draining || s.leaving || now.Before(s.pausedUntil) || slices.Contains(q.Avoid, name) {
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

func (t *Table) muchMoreLoaded(now time.Time, near, far string) bool {
	a, b := t.load(now, near), t.load(now, far)
	return a > b*t.cfg.DomainFactor && a > b+t.cfg.DomainSlack
}

// defaultCapacity is assumed for a target that has not reported.
const defaultCapacity = 16

// load estimates the calls in progress on a target as a share of its capacity.
func (t *Table) load(now time.Time, name string) float64 {
	s := t.targets[name]
	capacity := s.report.Capacity
	if capacity <= 0 {
		capacity = defaultCapacity
	}
	return float64(t.running(now, s)) / float64(capacity)
}

// running corrects the report by the local calls that started and ended since.
func (t *Table) running(now time.Time, s *targetState) int {
	if !s.reported || now.Sub(s.reportTime) > t.cfg.StaleAfter {
		return s.ownCalls
	}
	return max(s.ownCalls, s.report.Running+len(s.starts)-len(s.ends))
}
