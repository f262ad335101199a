package fleet

import "time"

// Accepting appends to out the given targets that accept requests.
func (f *Fleet) Accepting(among, out []string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range among {
		if t := f.targets[id]; t != nil && f.accepts(t) {
			out = append(out, id)
		}
	}
	return out
}

// UsableMemory returns the memory, in tokens, that runs may fill on each of a service's engines; 0 for a plain service.
func (f *Fleet) UsableMemory(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int(maxFill * float64(f.specs[service].KVTokens))
}

// HasRoom reports whether a target may be chosen for a request, without counting it.
func (f *Fleet) HasRoom(now time.Time, n Need) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n.asOwner = true
	for _, t := range f.among(n.Service, n.Among) {
		if !n.Reserved[t.ID] && !now.Before(t.avoidUntil) && f.allowed(now, t, &n) {
			return true
		}
	}
	return false
}
