package fleet

import "time"

// suspicion is the failure share of a target as seen by other instances.
type suspicion struct {
	share float64 // of its requests that fail
	until time.Time
}

// Suspect records the failure share of a target over all instances, and reports whether the target was not suspected before.
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

// failureEstimate returns the larger of the target's own and its suspected failure share.
func (t *Target) failureEstimate(now time.Time) float64 {
	if now.Before(t.suspicion.until) {
		return max(t.failureShare, t.suspicion.share)
	}
	t.suspicion = suspicion{}
	return t.failureShare
}
