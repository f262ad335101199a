package fleet

import "time"

// BackOff notes that a life of a target wants nothing from this instance until a time, which others may be free of. Of several times the
// latest holds. It reports whether the target did not rest before.
func (f *Fleet) BackOff(now time.Time, target Info, until time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[target.ID]
	if t == nil || t.Born != target.Born {
		return false
	}
	begins := !now.Before(t.restUntil)
	if until.After(t.restUntil) {
		t.restFrom, t.restUntil = now, until
		f.index.worded[t.ID] = t
	}
	return begins
}

// InBackoff reports whether a target wants nothing from this instance now.
func (f *Fleet) InBackoff(now time.Time, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[id]
	return t != nil && now.Before(t.restUntil)
}
