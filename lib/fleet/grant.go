package fleet

import "time"

// grantedFor is how long a target that an owner has named is held without a request of this instance there.
const grantedFor = 10 * time.Second

// isGranted reports whether a target is held only for what owners have sent there. It is chosen by nobody else.
func (t *Target) isGranted() bool { return !t.grantedAt.IsZero() }

// Grant takes in what an owner says of a target that it has chosen for this instance, which may hold no more than a part of the list.
func (f *Fleet) Grant(now time.Time, e Info) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ch Change
	t := f.targets[e.ID]
	switch {
	case t == nil:
		t = &Target{Info: e, state: Ready, grantedAt: now}
		f.targets[e.ID] = t
		f.index.place(t)
	case t.Born != 0 && e.Born > t.Born:
		t.restart()
		ch.Restarted = append(ch.Restarted, e)
		t.Info = e
		f.index.place(t)
	}
	if t.isGranted() {
		t.grantedAt = now
	}
	return ch
}

// Drop forgets targets that this instance no longer needs to know. Those that it has requests on are held until these end.
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
		if t.own == (Load{}) {
			f.forget(t)
			continue
		}
		f.index.unlist(t)
		t.listed, t.missing, t.grantedAt = false, time.Time{}, now
		f.index.place(t)
	}
	return ch
}

// forgetGranted forgets targets that owners have named and that this instance has nothing on. One that wants to rest is remembered for
// as long as it does.
func (f *Fleet) forgetGranted(now time.Time) {
	for _, t := range f.index.granted {
		if t.own == (Load{}) && t.state == Ready && now.Sub(t.grantedAt) > grantedFor && !now.Before(t.restUntil) {
			f.forget(t)
		}
	}
}

// SetPartial says whether this instance holds only a part of the list. What it holds then says nothing of the other targets.
func (f *Fleet) SetPartial(part bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.part = part
}
