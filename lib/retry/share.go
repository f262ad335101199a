package retry

import (
	"sync"
	"time"
)

// InstanceBudget limits the repeats that one instance sends, so that all instances together stay within
// ratio x requests + floor in each sliding window without coordination: the floor is divided by the number of instances, and
// each instance adds the ratio of its own requests.
type InstanceBudget struct {
	ratio  float64
	floor  float64
	window time.Duration

	mu        sync.Mutex
	instances int
	requests  map[string]*ring
	repeats   map[string]*ring
}

// safetyFactor is the fraction of the bound that is used. The rest allows for changes in the number of instances: an instance
// that has just started divides by too few, and one that was replaced within the window has already spent its part.
const safetyFactor = 0.7

// windowSlots is the number of slots that a window is divided into. One slot more than the window is kept, so that a count never
// misses an event within the window.
const windowSlots = 20

// NewInstanceBudget returns an InstanceBudget for a bound of ratio x requests + floor in each window.
func NewInstanceBudget(ratio, floor float64, window time.Duration) *InstanceBudget {
	return &InstanceBudget{
		ratio: ratio, floor: floor, window: window, instances: 1,
		requests: make(map[string]*ring), repeats: make(map[string]*ring),
	}
}

// SetInstances sets the number of instances that divide the floor.
func (s *InstanceBudget) SetInstances(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = max(1, n)
}

// SetBound replaces the bound.
func (s *InstanceBudget) SetBound(ratio, floor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ratio, s.floor = ratio, floor
}

// CountRequest counts a caller's request for a service.
func (s *InstanceBudget) CountRequest(now time.Time, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ring(s.requests, service).add(now)
}

// Take reports whether a repeat may be sent to a service, and counts it if so.
func (s *InstanceBudget) Take(now time.Time, service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.remaining(now, service) < 1 {
		return false
	}
	s.ring(s.repeats, service).add(now)
	return true
}

// ForceTake counts a repeat that is sent regardless of the budget, so that later ones have less.
func (s *InstanceBudget) ForceTake(now time.Time, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ring(s.repeats, service).add(now)
}

// Remaining returns how many repeats may still be sent to a service now.
func (s *InstanceBudget) Remaining(now time.Time, service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.remaining(now, service)
}

func (s *InstanceBudget) remaining(now time.Time, service string) float64 {
	requests := s.ring(s.requests, service).sum(now)
	repeats := s.ring(s.repeats, service).sum(now)
	return safetyFactor*(s.floor/float64(s.instances)+s.ratio*float64(requests)) - float64(repeats)
}

func (s *InstanceBudget) ring(m map[string]*ring, service string) *ring {
	r := m[service]
	if r == nil {
		r = &ring{slotLength: s.window / windowSlots}
		m[service] = r
	}
	return r
}

// ring counts events in time slots.
type ring struct {
	slotLength time.Duration
	counts     [windowSlots + 1]int
	start      time.Time // of slot 0; differences to it are monotonic, so setting the wall clock has no effect
	head       int64     // number of the newest slot
}

func (r *ring) advance(now time.Time) {
	if r.start.IsZero() {
		r.start = now
	}
	n := int64(now.Sub(r.start) / r.slotLength)
	if n-r.head > int64(len(r.counts)) {
		r.counts = [windowSlots + 1]int{}
		r.head = n
	}
	for r.head < n {
		r.head++
		r.counts[r.head%int64(len(r.counts))] = 0
	}
}

func (r *ring) add(now time.Time) {
	r.advance(now)
	r.counts[r.head%int64(len(r.counts))]++
}

func (r *ring) sum(now time.Time) int {
	r.advance(now)
	n := 0
	for _, c := range r.counts {
		n += c
	}
	return n
}
