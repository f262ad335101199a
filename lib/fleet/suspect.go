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
	news := t.suspect.until.IsZero()
	t.suspect = suspicion{share: share, until: until}
	return news
}

// failing is the part of a target's requests that is taken to fail.
func (t *Target) failing(now time.Time) float64 {
	if now.Before(t.suspect.until) {
		return max(t.fails, t.suspect.share)
	}
	t.suspect = suspicion{}
	return t.fails
}
