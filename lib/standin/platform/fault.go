package platform

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Kinds of Fault.
const (
	FaultOutage     = "outage"      // every request answers 503; nothing takes effect
	FaultSlow       = "slow"        // each request waits DelayMS before it takes effect, also when its sender has gone
	FaultLoseAnswer = "lose_answer" // the request takes effect, then its connection is closed without an answer
	FaultStaleReads = "stale_reads" // reads of the table see the state of DelayMS ago; transactions do not
	FaultListLag    = "list_lag"    // the instance list is DelayMS behind instead of Config.ListLag
	FaultRestore    = "restore"     // the table comes back, at once, from a copy of DelayMS ago; nothing of it lasts
	FaultClear      = "clear"       // ends every fault
)

// Fault is an order to misbehave, as POST FaultPath takes it. A later Fault of a kind replaces the earlier one.
type Fault struct {
	Kind        string  `json:"kind"`
	DelayMS     int64   `json:"delay_ms,omitempty"`
	Probability float64 `json:"probability,omitempty"` // share of requests that it meets; 0 means all
	Count       int     `json:"count,omitempty"`       // ends after so many requests; 0: no bound
	DurationMS  int64   `json:"duration_ms,omitempty"` // ends after this time; 0: until cleared
	WritesOnly  bool    `json:"writes_only,omitempty"` // meets transactions alone
}

type activeFault struct {
	Fault
	until time.Time
	left  int
}

// faults holds the faults in force. Draws come from a seeded source so that a run can be repeated.
type faults struct {
	mu  sync.Mutex
	rng *rand.Rand
	on  map[string]*activeFault
}

func newFaults(seed uint64) *faults {
	return &faults{rng: rand.New(rand.NewPCG(seed, seed)), on: map[string]*activeFault{}}
}

func (f *faults) set(in Fault, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch in.Kind {
	case FaultClear:
		clear(f.on)
		return true
	case FaultOutage, FaultSlow, FaultLoseAnswer, FaultStaleReads, FaultListLag:
	default:
		return false
	}
	a := &activeFault{Fault: in, left: in.Count}
	if in.DurationMS > 0 {
		a.until = now.Add(time.Duration(in.DurationMS) * time.Millisecond)
	}
	f.on[in.Kind] = a
	return true
}

// meets reports whether a request is hit by the fault of a kind, and the fault's delay.
func (f *faults) meets(kind string, write bool, now time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.on[kind]
	if !ok || (a.WritesOnly && !write) {
		return 0, false
	}
	if !a.until.IsZero() && !now.Before(a.until) {
		delete(f.on, kind)
		return 0, false
	}
	if a.Probability > 0 && f.rng.Float64() >= a.Probability {
		return 0, false
	}
	if a.Count > 0 {
		a.left--
		if a.left <= 0 {
			delete(f.on, kind)
		}
	}
	return time.Duration(a.DelayMS) * time.Millisecond, true
}
