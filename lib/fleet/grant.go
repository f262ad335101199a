package fleet

import "time"

// grantTTL is how long a target granted by an owner is kept without a request of this instance on it.
const grantTTL = 10 * time.Second

// isGranted reports whether a target is held only for requests that owners have placed there; it is not chosen for any others.
func (t *Target) isGranted() bool { return !t.grantedAt.IsZero() }

// Grant adds the target that an owner has chosen for this instance, whose own list may be partial.
func (f *Fleet) Grant(now time.Time, e Info) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ch Change
	t := f.targets[e.ID]
	switch {
	case t == nil:
		t = &Target{Info: e, state: Ready, firstSeen: now, grantedAt: now}
		f.targets[e.ID] = t
		f.index.update(t)
	case t.Born != 0 && e.Born > t.Born:
		t.restart()
		ch.Restarted = append(ch.Restarted, e)
		t.Info = e
		f.index.update(t)
	case t.isGranted() && t.departure.isPresumed():
		f.use(t) // its owner has read the entry that it has written since
		f.index.update(t)
	}
	if t.isGranted() {
		t.grantedAt = now
	}
	f.recordIncarnation(t.Info)
	return ch
}

// Drop forgets targets that this instance no longer needs to know. Those with requests of this instance are kept until these end.
func (f *Fleet) Drop(now time.Time, ids []string) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ch Change
	for _, id := range ids {
		t := f.targets[id]
		if t == nil || t.isGranted() {
			continue
		}
		ch.Dropped = append(ch.Dropped, t.Info)
		if t.local == (Load{}) {
			f.forget(now, t)
			continue
		}
		f.index.unlist(t)
		t.listed, t.missingSince, t.grantedAt = false, time.Time{}, now
		f.index.update(t)
	}
	return ch
}

// forgetGranted forgets granted targets that have no load of this instance, but not before their backoff has ended.
func (f *Fleet) forgetGranted(now time.Time) {
	for _, t := range f.index.granted {
		if t.local == (Load{}) && t.state == Ready && now.Sub(t.grantedAt) > grantTTL && !now.Before(t.backoffUntil) {
			f.forget(now, t)
		}
	}
}

// SetPartial sets whether this instance holds only a part of the list, which then says nothing about other targets.
func (f *Fleet) SetPartial(part bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partial = part
}
