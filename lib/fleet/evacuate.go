package fleet

import "time"

// Evacuate says that the targets of a failure domain get nothing new. What runs there goes on.
func (f *Fleet) Evacuate(domain string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.evacuated == nil {
		f.evacuated = make(map[string]bool)
	}
	f.evacuated[domain] = true
}

// EndEvacuation takes an evacuation back. The targets of the domain count as just started: they may have been restarted meanwhile, and
// their entries that say so come up to a heartbeat later. For that long their whole share of callers would come at once.
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

// Evacuated reports whether the targets of a failure domain get nothing new.
func (f *Fleet) Evacuated(domain string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuated[domain]
}
