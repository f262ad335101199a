package fleet

import (
	"math"
	"time"
)

// Evacuate stops new requests to the targets of a failure domain. Running requests continue. It is not known for how long the domain has
// been evacuated.
func (f *Fleet) Evacuate(domain string) { f.EvacuateAt(time.Time{}, domain) }

// EvacuateAt is Evacuate for an evacuation that begins at a time. Of several times the first holds.
func (f *Fleet) EvacuateAt(now time.Time, domain string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.evacuated == nil {
		f.evacuated = make(map[string]time.Time)
	}
	if !f.isEvacuated(domain) {
		f.evacuated[domain] = now
	}
}

// EndEvacuation reverses Evacuate. The targets of the domain count as just started: they may have been restarted meanwhile, and entries
// that say so arrive up to a heartbeat later. Until then each would receive its full share of requests at once.
func (f *Fleet) EndEvacuation(now time.Time, domain string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.evacuated, domain)
	for _, t := range f.targets {
		if t.Domain == domain {
			f.startCold(now, t, f.specs[t.Service].ColdFor)
		}
	}
}

// Evacuated reports whether a failure domain is evacuated.
func (f *Fleet) Evacuated(domain string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isEvacuated(domain)
}

// EvacuatedFor returns for how long a failure domain has been evacuated, a very long time if that is not known; ok is false if it is not.
func (f *Fleet) EvacuatedFor(now time.Time, domain string) (d time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	began, ok := f.evacuated[domain]
	switch {
	case !ok:
		return 0, false
	case began.IsZero():
		return math.MaxInt64, true
	}
	return now.Sub(began), true
}

func (f *Fleet) isEvacuated(domain string) bool {
	_, ok := f.evacuated[domain]
	return ok
}
