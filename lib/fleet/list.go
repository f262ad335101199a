package fleet

import (
	"time"

	"anvilwick.example/anvilwick/lib/feed"
)

// Change is the result of an update of the list.
type Change struct {
	Added, Leaving, Gone []Info
	Restarted            []Info // a new incarnation under a known id: runs on the previous one are broken
	Confirmed            []Info // that were presumed to have left, and have announced it now
	Dropped              []Info // targets that this instance no longer needs to know, whatever happens to them
	StaysOut             []Info // whose entries are back as ready, and which get no requests all the same
}

// Apply applies entries of the list and the ids of removed entries. outage is how long the list could not be read before. It returns what
// changed.
func (f *Fleet) Apply(now time.Time, entries []Info, removed []string, outage time.Duration) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.firstApplied.IsZero() {
		f.firstApplied = now
	}
	var ch Change
	for _, e := range entries {
		f.upsert(now, e, &ch)
	}
	for _, id := range removed {
		f.remove(now, id, outage, &ch)
	}
	return ch
}

func (f *Fleet) upsert(now time.Time, e Info, ch *Change) {
	t := f.targets[e.ID]
	switch {
	case t == nil:
		t = &Target{state: Ready, firstSeen: now}
		f.targets[e.ID] = t
		ch.Added = append(ch.Added, e)
	case e.Born != 0 && e.Born < t.Born:
		return // a stale entry of an earlier incarnation
	case t.Born != 0 && e.Born > t.Born:
		t.restart()
		ch.Restarted = append(ch.Restarted, e)
	case t.departure.isPresumed() && !e.Leaving:
		f.use(t)
		ch.Added = append(ch.Added, e)
	case t.state == Leaving && !t.listed && !e.Leaving:
		ch.StaysOut = append(ch.StaysOut, e)
	}
	if t.isGranted() {
		t.grantedAt = time.Time{}
		ch.Added = append(ch.Added, e)
	}
	t.Info = e
	f.recordIncarnation(e)
	t.listed = true
	f.startCold(now, t, e.ColdFor)
	t.missingSince = time.Time{}
	t.unreadable = false
	if e.Leaving {
		f.announceLeaving(now, t, ch)
	}
	f.index.update(t)
}

// restart discards the state of the previous incarnation. This instance's load there is released as its requests fail.
func (t *Target) restart() {
	*t = Target{Info: t.Info, state: Ready, firstSeen: t.firstSeen, local: t.local, grantedAt: t.grantedAt, listing: t.listing}
}

// announceLeaving is final for an incarnation: a stale entry that says ready does not bring it back.
func (f *Fleet) announceLeaving(now time.Time, t *Target, ch *Change) {
	if t.departure.isPresumed() {
		ch.Confirmed = append(ch.Confirmed, t.Info)
	}
	t.departure = Announced
	f.stopUse(now, t, ch)
}

// presumeLeft takes a target that lacks an entry in the list at a position for one that has left. If only its heartbeats were lost it writes the entry
// again, and is used again.
func (f *Fleet) presumeLeft(now time.Time, t *Target, cause Departure, at feed.Position, ch *Change) {
	if t.state == Leaving {
		return
	}
	t.departure, t.listedOut = cause, at
	f.stopUse(now, t, ch)
}

// stopUse ends new requests to a target.
func (f *Fleet) stopUse(now time.Time, t *Target, ch *Change) {
	if t.state == Leaving {
		return
	}
	t.state = Leaving
	t.leftAt = now
	ch.Leaving = append(ch.Leaving, t.Info)
	f.index.update(t)
}

// use sends requests to a target again that was presumed to have left.
func (f *Fleet) use(t *Target) { t.state, t.departure = Ready, NotLeaving }

func (f *Fleet) remove(now time.Time, id string, outage time.Duration, ch *Change) {
	t := f.targets[id]
	if t == nil {
		return
	}
	t.listed = false
	if outage > 0 && t.state == Ready {
		if t.missingSince.IsZero() {
			t.missingSince = now
			f.index.update(t)
		}
		return
	}
	f.presumeLeft(now, t, Delisted, f.position, ch)
}

// PresumeGone treats targets as leaving because their entries are missing, without a notice that they leave. A target whose entry
// returns is used again.
func (f *Fleet) PresumeGone(now time.Time, ids []string) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ch Change
	for _, id := range ids {
		if t := f.targets[id]; t != nil {
			t.listed = false
			f.presumeGone(now, t, &ch)
		}
	}
	return ch
}

func (f *Fleet) presumeGone(now time.Time, t *Target, ch *Change) {
	t.missingSince = time.Time{}
	f.presumeLeft(now, t, Missing, f.position, ch)
	f.index.update(t)
}

// forgetAfter is how long a target that left is remembered, for runs that still end there. A target that is still listed is kept longer:
// once forgotten, it would be taken for a new one the next time the list is read.
const forgetAfter = 30 * time.Second

// Tick ends the grace period of entries that have not returned and forgets targets that left long ago.
func (f *Fleet) Tick(now time.Time) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ch Change
	for _, t := range f.index.missing {
		if now.Sub(t.missingSince) > OutageGrace {
			f.presumeGone(now, t, &ch)
		}
	}
	f.forgetGranted(now)
	f.index.leftBefore(now.Add(-forgetAfter), func(t *Target) bool {
		if t.listed || t.local.Runs > 0 {
			return false
		}
		f.forget(now, t)
		ch.Gone = append(ch.Gone, t.Info)
		return true
	})
	for id, t := range f.index.signalled {
		if !t.limit.On && !now.Before(t.backoffUntil) {
			delete(f.index.signalled, id)
		}
	}
	for name, p := range f.peers {
		if now.Sub(p.receivedAt) > peerTTL {
			p.invalidateTotals(f.targets)
			delete(f.peers, name)
		}
	}
	return ch
}

// HasMissing reports whether targets are in the grace period of missing entries, so that Tick must be called often.
func (f *Fleet) HasMissing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.index.missing) > 0
}

func (f *Fleet) forget(now time.Time, t *Target) {
	f.endHistory(now, t.ID)
	delete(f.targets, t.ID)
	f.index.remove(t)
}

// MarkLeaving marks an incarnation of a target as leaving before the list says so. A notice about an earlier incarnation than the known
// one is stale and ignored; one about a later incarnation implies that the known one has ended.
func (f *Fleet) MarkLeaving(now time.Time, id string, born int64) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ch Change
	if t := f.targets[id]; t != nil && (born == 0 || born >= t.Born) {
		f.announceLeaving(now, t, &ch)
	}
	return ch
}

// MarkRestarted records that a target responds as a later incarnation than the listed one. The list supplies the rest later; until then its software
// version is unknown, since a target may start again with another one.
func (f *Fleet) MarkRestarted(now time.Time, id string, born int64) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ch Change
	if t := f.targets[id]; t != nil && t.Born != 0 && born > t.Born {
		e := t.Info
		e.Born, e.Leaving, e.ColdFor = born, false, f.specs[t.Service].ColdFor
		e.Software = UnnamedSoftware(e.Service, e.ID, born)
		f.upsert(now, e, &ch)
	}
	return ch
}

// MarkUnreadable records that the entries of targets could not be decoded. The targets get no new requests until their next valid entry.
func (f *Fleet) MarkUnreadable(ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		if t := f.targets[id]; t != nil {
			t.unreadable = true
			f.index.update(t)
		}
	}
}

// settleTime is how long a list read for the first time may lack live targets: targets whose entries expired during a store outage write
// them again within OutageGrace.
const settleTime = OutageGrace + 500*time.Millisecond

// Settling reports whether live targets may still be missing from the list.
func (f *Fleet) Settling(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.firstApplied.IsZero() || now.Sub(f.firstApplied) < settleTime
}
