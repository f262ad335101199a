package fleet

import "time"

// Evacuate stops new requests to the targets of a failure domain. Running requests continue.
func (f *Fleet) Evacuate(domain string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.evacuated == nil {
		f.evacuated = make(map[string]bool)
	}
	f.evacuated[domain] = true
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
	return f.evacuated[domain]
}
