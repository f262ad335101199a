package fleet

import "time"

// suspicion is what others' requests say of a target.
type suspicion struct {
	share float64 // of its requests that fail
	until time.Time
}

// Suspect takes in that a part of a target's requests fails, by what all instances saw, and reports whether that is news.
func (f *Fleet) Suspect(id string, share float64, until time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[id]
	if t == nil {
		return false
	}
	first := t.suspicion.until.IsZero()
	t.suspicion = suspicion{share: share, until: until}
	return first
}

// failureEstimate is the part of a target's requests that is taken to fail.
func (t *Target) failureEstimate(now time.Time) float64 {
	if now.Before(t.suspicion.until) {
		return max(t.failureShare, t.suspicion.share)
	}
	t.suspicion = suspicion{}
	return t.failureShare
}
