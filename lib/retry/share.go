package retry

import (
	"sync"
	"time"
)

// InstanceBudget bounds the repeats that one instance sends, so that all instances together stay under
// ratio x requests + floor in each sliding window, without a message between them: the floor is divided by the number
// of instances, and each adds the ratio of its own requests.
type InstanceBudget struct {
	ratio  float64
	floor  float64
	window time.Duration

	mu        sync.Mutex
	instances int
	requests  map[string]*ring
	repeats   map[string]*ring
}

// shareSafety is the part of the bound that is used. The rest covers instances that come and go: one that has just
// started divides by too few, and one that was replaced in the window has spent its part already.
const shareSafety = 0.7

// shareSlots is how many slots a window is counted in. One more slot than the window is kept, so that a count never
// leaves out an event that is within the window.
const shareSlots = 20

// NewInstanceBudget returns a Share of a bound of ratio x requests + floor in each window.
func NewInstanceBudget(ratio, floor float64, window time.Duration) *InstanceBudget {
	return &InstanceBudget{
		ratio: ratio, floor: floor, window: window, instances: 1,
		requests: make(map[string]*ring), repeats: make(map[string]*ring),
	}
}

// SetInstances sets how many instances divide the floor.
func (s *InstanceBudget) SetInstances(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = max(1, n)
}

// SetBound changes the bound.
func (s *InstanceBudget) SetBound(ratio, floor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ratio, s.floor = ratio, floor
}

// CountRequest counts a request of a caller for a service.
func (s *InstanceBudget) CountRequest(now time.Time, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ring(s.requests, service).add(now)
}

// Take counts a repeat at a service and reports whether it may be sent.
func (s *InstanceBudget) Take(now time.Time, service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left(now, service) < 1 {
		return false
	}
	s.ring(s.repeats, service).add(now)
	return true
}

// ForceTake counts a repeat that is sent whatever is left, so that later ones wait for it.
func (s *InstanceBudget) ForceTake(now time.Time, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ring(s.repeats, service).add(now)
}

// Remaining returns how many repeats may still be sent to a service now.
func (s *InstanceBudget) Remaining(now time.Time, service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left(now, service)
}

func (s *InstanceBudget) left(now time.Time, service string) float64 {
	requests := s.ring(s.requests, service).sum(now)
	repeats := s.ring(s.repeats, service).sum(now)
	return shareSafety*(s.floor/float64(s.instances)+s.ratio*float64(requests)) - float64(repeats)
}

func (s *InstanceBudget) ring(m map[string]*ring, service string) *ring {
	r := m[service]
	if r == nil {
		r = &ring{slot: s.window / shareSlots}
		m[service] = r
	}
	return r
}

// ring counts events in slots of time.
type ring struct {
	slot   time.Duration
	counts [shareSlots + 1]int
	start  time.Time // of slot 0; differences to it don't follow a time of day that is set
	head   int64     // number of the newest slot
}

func (r *ring) advance(now time.Time) {
	if r.start.IsZero() {
		r.start = now
	}
	n := int64(now.Sub(r.start) / r.slot)
	if n-r.head > int64(len(r.counts)) {
		r.counts = [shareSlots + 1]int{}
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
