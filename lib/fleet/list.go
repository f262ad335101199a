package fleet

import "time"

// Change is what an update of the list did.
type Change struct {
	Added, Leaving, Gone []Info
	Restarted            []Info // a new life under an id that was known: what ran on the one before is broken
	Dropped              []Info // targets that this instance no longer needs to know, whatever becomes of them
}

// Apply takes in entries of the list and the ids whose entries were removed. silent is how long the list could not be
// read before. It returns what changed.
func (f *Fleet) Apply(now time.Time, entries []Info, removed []string, silent time.Duration) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.born.IsZero() {
		f.born = now
	}
	var ch Change
	for _, e := range entries {
		f.upsert(now, e, &ch)
	}
	for _, id := range removed {
		f.remove(now, id, silent, &ch)
	}
	return ch
}

func (f *Fleet) upsert(now time.Time, e Info, ch *Change) {
	t := f.targets[e.ID]
	switch {
	case t == nil:
		t = &Target{state: Ready}
		f.targets[e.ID] = t
		ch.Added = append(ch.Added, e)
	case e.Born != 0 && e.Born < t.Born:
		return // a stale entry of an earlier life
	case t.Born != 0 && e.Born > t.Born:
		t.restart()
		ch.Restarted = append(ch.Restarted, e)
	case t.presumed && !e.Leaving:
		t.state, t.presumed = Ready, false // it lives, and was late to write
		ch.Added = append(ch.Added, e)
	}
	if t.isGranted() {
		t.grantedAt = time.Time{}
		ch.Added = append(ch.Added, e)
	}
	t.Info = e
	t.listed = true
	f.startCold(now, t, e.ColdFor)
	t.missing = time.Time{}
	t.unreadable = false
	if e.Leaving {
		f.leave(now, t, ch)
	}
	f.index.place(t)
}

// restart forgets what was learnt of the life before. What this instance had sent there is released as it breaks.
func (t *Target) restart() {
	*t = Target{Info: t.Info, state: Ready, own: t.own, grantedAt: t.grantedAt, seat: t.seat}
}

// leave is final for one life of a target: a stale entry that says ready doesn't bring it back.
func (f *Fleet) leave(now time.Time, t *Target, ch *Change) {
	t.presumed = false
	if t.state == Leaving {
		return
	}
	t.state = Leaving
	t.leavingAt = now
	ch.Leaving = append(ch.Leaving, t.Info)
	f.index.place(t)
}

func (f *Fleet) remove(now time.Time, id string, silent time.Duration, ch *Change) {
	t := f.targets[id]
	if t == nil {
		return
	}
	t.listed = false
	if silent > 0 && t.state == Ready {
		if t.missing.IsZero() {
			t.missing = now
			f.index.place(t)
		}
		return
	}
	f.leave(now, t, ch)
}

// PresumeGone takes targets as gone whose entries are missing, although nobody has said that they leave. One whose entry comes back is used
// again.
func (f *Fleet) PresumeGone(now time.Time, ids []string) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ch Change
	for _, id := range ids {
		if t := f.targets[id]; t != nil {
			t.listed = false
			f.lapse(now, t, &ch)
		}
	}
	return ch
}

func (f *Fleet) lapse(now time.Time, t *Target, ch *Change) {
	t.missing = time.Time{}
	if t.state == Ready {
		f.leave(now, t, ch)
		t.presumed = true
	}
	f.index.place(t)
}

// goneAfter is how long a target that left is remembered, for runs that still end there. One that the list still has is remembered for
// as long: forgotten, it would be taken for a new one as soon as the list is read again.
const goneAfter = 30 * time.Second

// Tick ends the grace of entries that have not come back and forgets targets that left long ago.
func (f *Fleet) Tick(now time.Time) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ch Change
	for _, t := range f.index.missing {
		if now.Sub(t.missing) > OutageGrace {
			f.lapse(now, t, &ch)
		}
	}
	f.forgetGranted(now)
	f.index.leftBefore(now.Add(-goneAfter), func(t *Target) bool {
		if t.listed || t.own.Runs > 0 {
			return false
		}
		f.forget(t)
		ch.Gone = append(ch.Gone, t.Info)
		return true
	})
	for id, t := range f.index.worded {
		if !t.limit.On && !now.Before(t.restUntil) {
			delete(f.index.worded, id)
		}
	}
	for name, p := range f.peers {
		if now.Sub(p.at) > peerLife {
			p.forgetTold(f.targets)
			delete(f.peers, name)
		}
	}
	return ch
}

// HasMissing reports whether entries of targets are missing that are believed for a grace: Tick is to be called often.
func (f *Fleet) HasMissing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.index.missing) > 0
}

func (f *Fleet) forget(t *Target) {
	delete(f.targets, t.ID)
	f.index.remove(t)
}

// MarkLeaving marks a life of a target that was seen to leave, although the list has not told. News of an earlier life than
// the one known is late and says nothing of it; news of a later one says that the one known has ended, too.
func (f *Fleet) MarkLeaving(now time.Time, id string, born int64) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ch Change
	if t := f.targets[id]; t != nil && (born == 0 || born >= t.Born) {
		f.leave(now, t, &ch)
	}
	return ch
}

// MarkRestarted takes in that a target answers as another life than the one listed. The list tells the rest of it later.
func (f *Fleet) MarkRestarted(now time.Time, id string, born int64) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ch Change
	if t := f.targets[id]; t != nil && t.Born != 0 && born > t.Born {
		e := t.Info
		e.Born, e.Leaving, e.ColdFor = born, false, f.specs[t.Service].ColdFor
		f.upsert(now, e, &ch)
	}
	return ch
}

// MarkUnreadable notes that the entries of targets name none. They get nothing new until they have written others.
func (f *Fleet) MarkUnreadable(ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		if t := f.targets[id]; t != nil {
			t.unreadable = true
			f.index.place(t)
		}
	}
}

// LeftTarget is a life of a target that has left.
type LeftTarget struct {
	ID   string
	Born int64 // as in Info
}

// LeftSince lists the targets that have left since a time.
func (f *Fleet) LeftSince(at time.Time) []LeftTarget {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []LeftTarget
	f.index.leftSince(at, func(t *Target) bool {
		if !t.presumed {
			out = append(out, LeftTarget{ID: t.ID, Born: t.Born})
		}
		return true
	})
	return out
}

// settleTime is how long a list that was just read for the first time may lack targets that live: entries that lapsed
// while the store was away come back within OutageGrace, by the targets' own writing.
const settleTime = OutageGrace + 500*time.Millisecond

// Settling reports whether targets that live may still be missing from the list.
func (f *Fleet) Settling(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.born.IsZero() || now.Sub(f.born) < settleTime
}
