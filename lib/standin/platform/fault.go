package platform

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Values of Fault.Kind.
const (
	FaultOutage     = "outage"      // every request is answered with 503 and has no effect
	FaultSlow       = "slow"        // each request waits DelayMS before it takes effect, even if its sender has disconnected
	FaultLoseAnswer = "lose_answer" // the request takes effect, then its connection is closed without an answer
	FaultStaleReads = "stale_reads" // reads of the table see its state DelayMS ago; transactions do not
	FaultListLag    = "list_lag"    // the instance list is DelayMS behind instead of Config.ListLag
	FaultRestore    = "restore"     // the table is restored once, at once, to its state DelayMS ago; the fault does not stay active
	FaultClear      = "clear"       // ends every fault
)

// Fault is a fault to inject, as POST FaultPath takes it. It replaces an earlier fault of the same kind.
type Fault struct {
	Kind        string  `json:"kind"`
	DelayMS     int64   `json:"delay_ms,omitempty"`
	Probability float64 `json:"probability,omitempty"` // share of requests affected; 0 means all
	Count       int     `json:"count,omitempty"`       // ends after this many requests; 0: no bound
	DurationMS  int64   `json:"duration_ms,omitempty"` // ends after this time; 0: until cleared
	WritesOnly  bool    `json:"writes_only,omitempty"` // affects transactions only
}

type activeFault struct {
	Fault
	until     time.Time
	remaining int
}

// faults holds the active faults. Its random source is seeded so that a run can be repeated.
type faults struct {
	mu     sync.Mutex
	rng    *rand.Rand
	active map[string]*activeFault
}

func newFaults(seed uint64) *faults {
	return &faults{rng: rand.New(rand.NewPCG(seed, seed)), active: map[string]*activeFault{}}
}

func (f *faults) set(in Fault, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch in.Kind {
	case FaultClear:
		clear(f.active)
		return true
	case FaultOutage, FaultSlow, FaultLoseAnswer, FaultStaleReads, FaultListLag:
	default:
		return false
	}
	a := &activeFault{Fault: in, remaining: in.Count}
	if in.DurationMS > 0 {
		a.until = now.Add(time.Duration(in.DurationMS) * time.Millisecond)
	}
	f.active[in.Kind] = a
	return true
}

// hit reports whether the fault of a kind affects a request, and returns the fault's delay.
func (f *faults) hit(kind string, write bool, now time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.active[kind]
	if !ok || (a.WritesOnly && !write) {
		return 0, false
	}
	if !a.until.IsZero() && !now.Before(a.until) {
		delete(f.active, kind)
		return 0, false
	}
	if a.Probability > 0 && f.rng.Float64() >= a.Probability {
		return 0, false
	}
	if a.Count > 0 {
		a.remaining--
		if a.remaining <= 0 {
			delete(f.active, kind)
		}
	}
	return time.Duration(a.DelayMS) * time.Millisecond, true
}
