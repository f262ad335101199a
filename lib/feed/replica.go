package feed

import (
	"slices"
	"sync"
	"time"
)

// Replica holds a followed table as far as this instance knows it, from whichever source it came. It never goes back in an era:
// a page older than what is held changes nothing. In a new era it takes the table as the store has it, and goes on showing what a
// copy must have lost.
type Replica struct {
	apply func(Update)
	keep  Retention

	mu      sync.Mutex
	rows    map[string]Row // as the store has them; removed rows stay for keepRemoved, so that peers can be told
	at      Position
	whole   int64 // rows are complete from this version of the era on; removed ones before it are forgotten
	known   bool
	part    bool      // rows are those that this instance needs
	contact time.Time // when the store last confirmed the position, to anybody
	removed map[string]tombstone
	buried  []burial // of removed rows, the oldest first
	recent  changeLog
	kept    map[string]kept // shown in place of rows
	changed chan struct{}   // closed and replaced at each change

	confirmed   chan struct{} // closed and replaced when the store has confirmed the position again
	confirmedAt time.Time     // contact when it was last closed
}

// tombstone is what is remembered of a removed row.
type tombstone struct {
	at    time.Time
	value []byte // its last
}

const (
	// keepRemoved is how long a removed row can still be told as a change. A peer that asks from before is sent the
	// whole table.
	keepRemoved = time.Minute
	// outage is the age of the last contact from which the store is taken to have been away: longer than a poll takes,
	// shorter than entries take to lapse.
	outage = 1500 * time.Millisecond
	// confirmStep is by how much newer a contact is that is told as such.
	confirmStep = 200 * time.Millisecond
)

// NewReplica returns an empty Replica that shows each change to apply, one at a time and in order.
func NewReplica(apply func(Update)) *Replica {
	return &Replica{
		apply: apply, rows: make(map[string]Row), removed: make(map[string]tombstone), kept: make(map[string]kept),
		changed: make(chan struct{}), confirmed: make(chan struct{}),
	}
}

// WithRetention sets what is believed after the store has come back from a copy, and returns the Replica.
func (r *Replica) WithRetention(k Retention) *Replica {
	r.keep = k
	return r
}

// Merge merges a page that the store confirmed at contact.
func (r *Replica) Merge(page Page, whole bool, contact time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := page.Position()
	// Changes say nothing beside the state that they are changes of.
	if at.Before(r.at) && !r.followsAnother(page) || !whole && (!r.known || at.Era != r.at.Era) {
		return
	}
	silent := r.confirm(contact)
	now := time.Now()
	if silent == 0 && !whole && len(page.Rows)+len(page.Retained)+len(r.kept) == 0 {
		r.at = at // most of what comes
		r.forget(now)
		return
	}
	u := r.update(page, whole, now)
	u.Outage = silent
	r.known = true
	r.forget(now)
	news := u.Initial || u.Restored || len(u.Rows)+len(u.Dropped) > 0
	if news || u.Outage > 0 {
		r.apply(u)
	}
	if news {
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// followsAnother reports whether a page of rows that this instance needs counts although it is older than what is held. Another peer than
// before may tell it, which is a little behind, and needs differ from one to the other; each row has its own version.
func (r *Replica) followsAnother(page Page) bool {
	return (page.Partial || r.part) && page.Position().Era == r.at.Era
}

// update takes a page in, and returns what that changes.
func (r *Replica) update(page Page, whole bool, now time.Time) Update {
	at := page.Position()
	u := Update{Initial: !r.known, Snapshot: whole, Previous: r.at, Restored: r.known && at.Era != r.at.Era}
	u.Version, u.Era = at.Version, at.Era
	r.at = at
	if u.Restored {
		u.Rows = r.restore(page, now)
		u.RetainedCounts = r.held()
		r.part = page.Partial
		return u
	}
	u.Rows = r.merge(page, whole && !page.Partial, now)
	if whole && page.Partial {
		u.Dropped = r.drop(page)
	}
	if whole {
		r.part = page.Partial
	}
	if u.Initial {
		r.recent.restart(at.Version)
	}
	if kept := r.review(page.Retained, now); len(kept) > 0 {
		u.Rows = newest(append(u.Rows, kept...))
	}
	if u.Initial {
		r.whole = at.Version
	}
	return u
}

// confirm notes that the store has confirmed a page, and returns for how long it was silent before, if that was an outage.
func (r *Replica) confirm(contact time.Time) (silent time.Duration) {
	if r.known && contact.Sub(r.contact) > outage {
		silent = contact.Sub(r.contact)
	}
	if contact.After(r.contact) {
		r.contact = contact
	}
	if r.contact.Sub(r.confirmedAt) >= confirmStep {
		r.confirmedAt = r.contact
		close(r.confirmed)
		r.confirmed = make(chan struct{})
	}
	return silent
}

// merge takes in rows of the era that is held and returns those that changed what is shown.
func (r *Replica) merge(page Page, whole bool, now time.Time) []Row {
	var out []Row
	listed := make(map[string]bool, len(page.Rows))
	for _, row := range newest(page.Rows) {
		listed[row.Key] = true
		if row.Removed && row.Version == 0 {
			row.Version = page.Version
		}
		_, kept := r.kept[row.Key]
		old, held := r.rows[row.Key]
		if held && row.Version <= old.Version || !held && !kept && row.Removed {
			continue
		}
		if r.change(row, now) {
			out = append(out, row)
		}
	}
	if !whole {
		return out
	}
	for key, old := range r.rows {
		if listed[key] || old.Removed {
			continue
		}
		gone := Row{Key: key, Version: page.Version, Removed: true}
		if r.change(gone, now) {
			out = append(out, gone)
		}
	}
	return out
}

// drop forgets the rows that a page does not list of those that this instance needs.
func (r *Replica) drop(page Page) []string {
	listed := make(map[string]bool, len(page.Rows))
	for _, row := range page.Rows {
		listed[row.Key] = true
	}
	var out []string
	for key, row := range r.rows {
		if listed[key] || row.Removed {
			continue
		}
		delete(r.rows, key)
		delete(r.kept, key)
		out = append(out, key)
	}
	return out
}

// change takes in a row as the store has it now, and reports whether that is to be shown.
func (r *Replica) change(row Row, now time.Time) bool {
	before, kept := r.kept[row.Key]
	r.put(row, now)
	r.release(row)
	if !kept {
		return true
	}
	after, _ := r.shown(row.Key)
	return differs(before.Row, after)
}

func (r *Replica) put(row Row, now time.Time) {
	if row.Removed {
		r.removed[row.Key] = tombstone{at: now, value: r.rows[row.Key].Value}
		r.buried = append(r.buried, burial{key: row.Key, at: now})
	} else {
		delete(r.removed, row.Key)
	}
	r.rows[row.Key] = row
	r.recent.add(row)
}

// burial is when a row was removed.
type burial struct {
	key string
	at  time.Time
}

func (r *Replica) forget(now time.Time) {
	n := 0
	for ; n < len(r.buried) && now.Sub(r.buried[n].at) > keepRemoved; n++ {
		b := r.buried[n]
		if t, removed := r.removed[b.key]; !removed || !t.at.Equal(b.at) {
			continue // it has come back, or was removed again
		}
		r.whole = max(r.whole, r.rows[b.key].Version)
		delete(r.rows, b.key)
		delete(r.removed, b.key)
	}
	r.buried = r.buried[n:]
}

// Since returns what has changed after a position, the whole table when that can't be told, and when the store last
// confirmed it. known is false when nothing has been read yet. To a position in a later era there is nothing to tell.
func (r *Replica) Since(after Position) (page Page, whole bool, contact time.Time, known bool) {
	return r.SinceMatching(after, func(Row) bool { return true })
}

// SinceMatching is Since for the rows that are needed; it is called for each of them while the Replica does not change.
func (r *Replica) SinceMatching(after Position, needed func(Row) bool) (page Page, whole bool, contact time.Time, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	whole = after.Era < r.at.Era || after.Era == r.at.Era && (after.Version == 0 || after.Version < r.whole)
	page.Version, page.Era = r.at.Version, r.at.Era
	if !whole && !after.Before(r.at) {
		return page, whole, r.contact, r.known // most of what is passed on: nothing has changed since the last
	}
	if rows, told := r.recent.since(after.Version, r.rows); told && !whole {
		page.Rows = slices.DeleteFunc(rows, func(row Row) bool { return !needed(row) })
		return page, whole, r.contact, r.known
	}
	for _, row := range r.rows {
		if (whole && !row.Removed || !whole && row.Version > after.Version) && needed(row) {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, whole, r.contact, r.known
}

// Version returns the newest version held; known is false before the first.
func (r *Replica) Version() (version int64, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at.Version, r.known
}

// Partial reports whether only those rows are held that this instance needs.
func (r *Replica) Partial() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.part
}

// Len returns how many rows are held.
func (r *Replica) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.rows) - len(r.removed)
}

// Position returns the newest position held.
func (r *Replica) Position() Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at
}

// Stored returns a row as the store has it, as far as is known; ok is false where it has none.
func (r *Replica) Stored(key string) (row Row, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row, ok = r.rows[key]
	return row, ok && !row.Removed
}

// LastContact returns when the store last confirmed what is held.
func (r *Replica) LastContact() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.contact
}

// Confirmed returns a channel that is closed when the store has confirmed the position again.
func (r *Replica) Confirmed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmed
}

// Changed returns a channel that is closed at the next change.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}
