package fleet

import "time"

// BackOff records that an incarnation of a target accepts nothing from this instance until a time; other instances may not be affected. Of
// several times the latest holds. It reports whether the target was not already in backoff.
func (f *Fleet) BackOff(now time.Time, target Info, until time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[target.ID]
	if t == nil || t.Born != target.Born {
		return false
	}
	begins := !now.Before(t.backoffUntil)
	if until.After(t.backoffUntil) {
		t.backoffSince, t.backoffUntil = now, until
		f.index.signalled[t.ID] = t
	}
	return begins
}

// InBackoff reports whether a target accepts nothing from this instance now.
func (f *Fleet) InBackoff(now time.Time, id string) bool { return now.Before(f.BackoffUntil(id)) }

// BackoffUntil returns until when a target accepts nothing from this instance; a time in the past if it is in no back-off.
func (f *Fleet) BackoffUntil(id string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[id]
	if t == nil {
		return time.Time{}
	}
	return t.backoffUntil
}
