package feed

import (
	"slices"
	"sync"
	"time"
)

// Replica holds this instance's copy of a followed table, whichever source it comes from. It never moves backwards within an
// era: a page older than its position changes nothing. When a new era begins it takes the table as the store has it, and retains
// rows that the backup must have lost.
type Replica struct {
	onUpdate  func(Update)
	retention Retention

	mu            sync.Mutex
	rows          map[string]Row // as the store has them; removed rows stay for tombstoneTTL, so that peers get the removal
	position      Position
	completeSince int64 // changes are complete from this version of the era on; removals before it are forgotten
	initialized   bool
	partial       bool      // rows are only those that this instance needs
	lastContact   time.Time // when the store last confirmed the position, to any instance
	tombstones    map[string]tombstone
	removals      []removal // oldest first
	changes       changeLog
	retained      map[string]retainedEntry // shown in place of rows
	restore       Restore                  // with which the era began
	restoredAt    time.Time                // since when restore.Age counts
	changed       chan struct{}            // closed and replaced at each change

	limit int64 // of the table's memory in bytes; 0: there is none
	size  int64 // of rows and tombstones, in bytes

	confirmed        chan struct{} // closed and replaced when the store has confirmed the position again
	signalledContact time.Time     // value of lastContact when confirmed was last closed
}

// tombstone records a removed row.
type tombstone struct {
	at      time.Time
	value   []byte // last value before the removal
	version int64  // of the write of that value
}

const (
	// tombstoneTTL is how long a removal can still be sent as a change. A peer that asks for changes from before it is sent the
	// whole table.
	tombstoneTTL = time.Minute
	// outageThreshold is the age of the last contact from which the store counts as unreachable: longer than a poll takes, shorter
	// than entries take to expire.
	outageThreshold = 1500 * time.Millisecond
	// minConfirmAdvance is the least advance of the last contact that is signalled as a confirmation.
	minConfirmAdvance = 200 * time.Millisecond
)

// NewReplica returns an empty Replica that passes each update to onUpdate, one at a time and in order.
func NewReplica(onUpdate func(Update)) *Replica {
	return &Replica{
		onUpdate: onUpdate, rows: make(map[string]Row), tombstones: make(map[string]tombstone), retained: make(map[string]retainedEntry),
		changed: make(chan struct{}), confirmed: make(chan struct{}),
	}
}

// WithRetention sets which rows are retained after the store was restored from a backup, and returns the Replica.
func (r *Replica) WithRetention(k Retention) *Replica {
	r.retention = k
	return r
}

// Merge merges a page whose state the store confirmed at contact. It fails with ErrTooLarge if there is no room for it.
func (r *Replica) Merge(page Page, whole bool, contact time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	position := page.Position()
	// Changes are meaningful only relative to a state of the same era.
	if position.Before(r.position) && !r.acceptsOlder(page) || !whole && (!r.initialized || position.Era != r.position.Era) {
		return nil
	}
	now := time.Now()
	r.expireTombstones(now)
	if !r.fits(page, whole) {
		return ErrTooLarge
	}
	outage := r.recordContact(contact)
	if outage == 0 && !whole && len(page.Rows)+len(page.Retained)+len(r.retained) == 0 {
		r.position = position // the common case
		return nil
	}
	u := r.applyPage(page, whole, now)
	u.Outage, u.ConfirmedAgo = outage, now.Sub(contact)
	r.initialized = true
	changed := u.Initial || u.Restored || len(u.Rows)+len(u.Dropped) > 0
	if changed || u.Outage > 0 {
		r.onUpdate(u)
	}
	if changed {
		close(r.changed)
		r.changed = make(chan struct{})
	}
	return nil
}

// acceptsOlder reports whether a page is accepted although it is older than the replica's position. Partial pages may come
// from another peer than before, which may lag a little, and the rows needed differ between peers; each row has its own version.
func (r *Replica) acceptsOlder(page Page) bool {
	return (page.Partial || r.partial) && page.Position().Era == r.position.Era
}

// applyPage applies a page and returns the resulting update.
func (r *Replica) applyPage(page Page, whole bool, now time.Time) Update {
	position := page.Position()
	u := Update{Initial: !r.initialized, Snapshot: whole, Previous: r.position, Restored: r.initialized && position.Era != r.position.Era}
	u.Version, u.Era, u.Peer = position.Version, position.Era, page.Peer
	r.position = position
	if u.Restored {
		u.Rows = r.applyRestore(page, now)
		u.RetainedCounts, u.Hidden = r.countRetained(), r.hidden(now)
		u.Restore = Restore{Version: r.restore.Version, Age: now.Sub(r.restoredAt)}
		r.partial = page.Partial
		return u
	}
	u.Rows = r.mergeRows(page, whole && !page.Partial, now)
	if whole && page.Partial {
		u.Dropped = r.dropUnlisted(page)
	}
	if whole {
		r.partial = page.Partial
	}
	if u.Initial {
		r.changes.reset(position.Version)
	}
	if retained := r.reviewRetained(page.Retained, now); len(retained) > 0 {
		u.Rows = newest(append(u.Rows, retained...))
	}
	if u.Initial {
		r.completeSince = position.Version
	}
	return u
}

// recordContact records that the store confirmed a page, and returns how long the store had been unreachable if that was an outage.
func (r *Replica) recordContact(contact time.Time) (outage time.Duration) {
	if r.initialized && contact.Sub(r.lastContact) > outageThreshold {
		outage = contact.Sub(r.lastContact)
	}
	if contact.After(r.lastContact) {
		r.lastContact = contact
	}
	if r.lastContact.Sub(r.signalledContact) >= minConfirmAdvance {
		r.signalledContact = r.lastContact
		close(r.confirmed)
		r.confirmed = make(chan struct{})
	}
	return outage
}

// mergeRows applies rows of the current era and returns those that changed the visible state.
func (r *Replica) mergeRows(page Page, whole bool, now time.Time) []Row {
	var out []Row
	listed := make(map[string]bool, len(page.Rows))
	for _, row := range newest(page.Rows) {
		listed[row.Key] = true
		if row.Removed && row.Version == 0 {
			row.Version = page.Version
		}
		_, retained := r.retained[row.Key]
		old, held := r.rows[row.Key]
		if held && row.Version <= old.Version || !held && !retained && row.Removed {
			continue
		}
		if r.applyRow(row, now) {
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
		removal := Row{Key: key, Version: page.Version, Removed: true}
		if r.applyRow(removal, now) {
			out = append(out, removal)
		}
	}
	return out
}

// dropUnlisted forgets the rows missing from a partial page: this instance no longer needs them.
func (r *Replica) dropUnlisted(page Page) []string {
	listed := make(map[string]bool, len(page.Rows))
	for _, row := range page.Rows {
		listed[row.Key] = true
	}
	var out []string
	for key, row := range r.rows {
		if listed[key] || row.Removed {
			continue
		}
		r.resize(key, func() { delete(r.rows, key) })
		delete(r.retained, key)
		out = append(out, key)
	}
	return out
}

// applyRow stores a row as the store has it now, and reports whether the visible state changed.
func (r *Replica) applyRow(row Row, now time.Time) bool {
	before, retained := r.retained[row.Key]
	r.storeRow(row, now)
	r.releaseRetained(row)
	if !retained {
		return true
	}
	after, _ := r.visibleRow(row.Key)
	return differs(before.Row, after)
}

func (r *Replica) storeRow(row Row, now time.Time) {
	r.resize(row.Key, func() { r.setRow(row, now) })
	r.changes.add(row)
}

func (r *Replica) setRow(row Row, now time.Time) {
	if row.Removed {
		r.tombstones[row.Key] = tombstone{at: now, value: r.rows[row.Key].Value, version: r.rows[row.Key].Version}
		r.removals = append(r.removals, removal{key: row.Key, at: now})
	} else {
		delete(r.tombstones, row.Key)
	}
	r.rows[row.Key] = row
}

// removal records when a row was removed.
type removal struct {
	key string
	at  time.Time
}

func (r *Replica) expireTombstones(now time.Time) {
	n := 0
	for ; n < len(r.removals) && now.Sub(r.removals[n].at) > tombstoneTTL; n++ {
		b := r.removals[n]
		if t, removed := r.tombstones[b.key]; !removed || !t.at.Equal(b.at) {
			continue // written or removed again since
		}
		r.completeSince = max(r.completeSince, r.rows[b.key].Version)
		r.resize(b.key, func() { delete(r.rows, b.key) })
		delete(r.tombstones, b.key)
	}
	r.removals = r.removals[n:]
}

// Since returns the changes after a position, or the whole table if the changes are not known, and when the store last confirmed
// the state. known is false before anything has been read. After a position of a later era there are no changes.
func (r *Replica) Since(after Position) (page Page, whole bool, contact time.Time, known bool) {
	return r.SinceMatching(after, func(Row) bool { return true })
}

// SinceMatching is like Since for the rows that needed accepts. It calls needed with the Replica locked.
func (r *Replica) SinceMatching(after Position, needed func(Row) bool) (page Page, whole bool, contact time.Time, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	whole = after.Era < r.position.Era || after.Era == r.position.Era && (after.Version == 0 || after.Version < r.completeSince)
	page.Version, page.Era = r.position.Version, r.position.Era
	if !whole && !after.Before(r.position) {
		return page, whole, r.lastContact, r.initialized // the common case: nothing has changed since the last call
	}
	if rows, ok := r.changes.since(after.Version, r.rows); ok && !whole {
		page.Rows = slices.DeleteFunc(rows, func(row Row) bool { return !needed(row) })
		return page, whole, r.lastContact, r.initialized
	}
	for _, row := range r.rows {
		if (whole && !row.Removed || !whole && row.Version > after.Version) && needed(row) {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, whole, r.lastContact, r.initialized
}

// Version returns the newest version held; known is false before anything has been read.
func (r *Replica) Version() (version int64, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.position.Version, r.initialized
}

// Partial reports whether the replica holds only the rows that this instance needs.
func (r *Replica) Partial() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.partial
}

// Len returns the number of rows held.
func (r *Replica) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.rows) - len(r.tombstones)
}

// Position returns the newest position held.
func (r *Replica) Position() Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.position
}

// Stored returns the last known state of a row in the store; ok is false if the store lacks the row.
func (r *Replica) Stored(key string) (row Row, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row, ok = r.rows[key]
	return row, ok && !row.Removed
}

// LastContact returns when the store last confirmed the state held.
func (r *Replica) LastContact() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastContact
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
