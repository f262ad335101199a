package feed

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// WriteSeq is a writer's own sequence number of a write. It keeps increasing when the store's versions go back after a restore.
type WriteSeq struct {
	Incarnation int64 // of the writer: its start time; 0: the writer does not give one
	Number      int64 // of the write within that incarnation
}

func (c WriteSeq) compare(d WriteSeq) int {
	return cmp.Or(cmp.Compare(c.Incarnation, d.Incarnation), cmp.Compare(c.Number, d.Number))
}

// Retention is the policy for rows after the store was restored from a backup: what a Replica goes on showing until the writers
// have written again what the backup lacks.
type Retention struct {
	// Period is how long a row missing from the backup stays visible.
	Period time.Duration
	// HiddenPeriod is how long a removed row that is back stays hidden; 0: Period.
	HiddenPeriod time.Duration
	// WriteSeq returns the writer's sequence number of a row: the replica's row is retained for as long as the store has an older
	// write of it. ok is false if the writer gives no sequence number; nil: no writer of the table does.
	WriteSeq func(Row) (c WriteSeq, ok bool)
}

// compare orders two rows by their writer's sequence number; ok is false if the writer gives none.
func (k Retention) compare(a, b Row) (order int, ok bool) {
	if k.WriteSeq == nil {
		return 0, false
	}
	ca, oka := k.WriteSeq(a)
	cb, okb := k.WriteSeq(b)
	return ca.compare(cb), oka && okb
}

// periodOf returns how long a row, or its removal, is retained.
func (k Retention) periodOf(row Row) time.Duration {
	if row.Removed && k.HiddenPeriod > 0 {
		return k.HiddenPeriod
	}
	return k.Period
}

// newer reports whether a was certainly written after b.
func (k Retention) newer(a, b Row) bool {
	order, ok := k.compare(a, b)
	return ok && order > 0
}

// resurrected reports whether the stored row is a write from before the removal, which the restore brought back. Without sequence numbers
// it must be the last write that was removed: a backup keeps the versions of its rows, whereas the same value written again, as when
// operators evacuate a failure domain twice, has another version.
func (k Retention) resurrected(stored, removed Row) bool {
	if order, ok := k.compare(stored, removed); ok {
		return order <= 0
	}
	if !bytes.Equal(stored.Value, removed.Value) {
		return false
	}
	return removed.PriorVersion == 0 || stored.Version == removed.PriorVersion
}

// RetainedRow is a row shown in place of the store's row. If it was removed it carries its last value.
type RetainedRow struct {
	Row
	Remaining time.Duration // until the store's row is shown; 0: until the store has a newer write
}

// retainedEntry is a RetainedRow as a Replica stores it.
type retainedEntry struct {
	Row
	lost  lossKind
	until time.Time // zero: until the store has a newer write
}

// lossKind says what the backup lacks of a row.
type lossKind uint8

const (
	lostWrite   lossKind = iota + 1 // the store has an older write of the row
	lostRow                         // the store lacks the row
	lostRemoval                     // the row had been removed, and the store has it again
)

// HiddenRow is a row of the store that is not shown, since it had been removed.
type HiddenRow struct {
	Removed   Row   // the removal
	Stored    int64 // version of the row in the store
	Remaining time.Duration
}

// RetainedCounts counts the retained rows by what the backup lacks of them.
type RetainedCounts struct{ Writes, Rows, Removals int }

// applyRestore replaces the table by the page of a new era and returns the rows whose visible state changed.
func (r *Replica) applyRestore(page Page, now time.Time) []Row {
	before := r.visibleRows()
	r.setRestore(&page, now)
	tombstones, retained := r.tombstones, r.retained
	r.rows, r.tombstones, r.retained = make(map[string]Row, len(page.Rows)), make(map[string]tombstone), make(map[string]retainedEntry)
	r.completeSince = page.Version
	r.removals = nil
	r.changes.reset(page.Version)
	for _, row := range newest(page.Rows) {
		r.rows[row.Key] = row
	}
	for _, old := range before {
		if _, listed := r.rows[old.Key]; !listed && old.Removed {
			// Keep the tombstone: the store may be restored again, from an older backup that has the row.
			r.rows[old.Key] = Row{Key: old.Key, Version: page.Version, Removed: true}
			r.tombstones[old.Key] = tombstones[old.Key]
			r.removals = append(r.removals, removal{key: old.Key, at: tombstones[old.Key].at})
			continue
		}
		if stored, listed := r.rows[old.Key]; old.Removed && listed && stored.Version > r.restore.Version {
			continue // written since the restore
		}
		left := r.retention.periodOf(old) - now.Sub(r.restoredAt)
		if k := retained[old.Key]; k.lost == lostRemoval {
			// The store was restored before, too. Hidden anew each time, a row that was written again would stay hidden for as long as
			// restores follow each other.
			left = min(left, k.until.Sub(now))
		}
		r.retainRow(old, left, now)
	}
	r.measure()
	slices.SortFunc(r.removals, func(a, b removal) int { return a.at.Compare(b.at) })
	for _, k := range page.Retained {
		r.retainRow(k.Row, k.Remaining, now)
	}
	return r.visibleChanges(before)
}

// setRestore records the restore with which the era of a page began. An instance that was frozen or cut off learns of it from a peer later, when
// rows have been written since: a row that was removed and is written again then looks like one that the restore has brought back.
func (r *Replica) setRestore(page *Page, now time.Time) {
	r.restore = page.Restore
	if r.restore.Version == 0 {
		r.restore = Restore{Version: page.Version}
	}
	r.restoredAt = now.Add(-r.restore.Age)
}

// Restore returns what is known of the restore with which the current era began; ok is false if this replica has seen none.
func (r *Replica) Restore(now time.Time) (restore Restore, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.restoredAt.IsZero() {
		return Restore{}, false
	}
	return Restore{Version: r.restore.Version, Age: now.Sub(r.restoredAt)}, true
}

// visibleRows returns the rows as they are shown; removed rows carry their last value.
func (r *Replica) visibleRows() map[string]Row {
	out := make(map[string]Row, len(r.rows))
	for key, row := range r.rows {
		if row.Removed {
			row.Value, row.PriorVersion = r.tombstones[key].value, r.tombstones[key].version
		}
		out[key] = row
	}
	for key, k := range r.retained {
		out[key] = k.Row
	}
	return out
}

// visibleChanges returns the rows whose visible state differs from before.
func (r *Replica) visibleChanges(before map[string]Row) []Row {
	var out []Row
	now := r.visibleRows()
	for key, row := range now {
		if old, ok := before[key]; !ok && !row.Removed || ok && differs(old, row) {
			out = append(out, r.asUpdate(row))
		}
	}
	for key, old := range before {
		if _, ok := now[key]; !ok && !old.Removed {
			out = append(out, r.asUpdate(Row{Key: key, Removed: true}))
		}
	}
	return out
}

// asUpdate returns a row as it appears in an Update: a removed row without its last value.
func (r *Replica) asUpdate(row Row) Row {
	if row.Removed {
		return Row{Key: row.Key, Version: r.position.Version, Removed: true, LostInRestore: row.LostInRestore}
	}
	return row
}

// retainRow retains a row if the store lacks its last write or its removal.
func (r *Replica) retainRow(old Row, left time.Duration, now time.Time) {
	if k, ok := r.retained[old.Key]; ok && !r.retention.newer(old, k.Row) {
		return
	}
	stored, listed := r.rows[old.Key]
	k := retainedEntry{Row: old, until: now.Add(left)}
	switch {
	case !listed && !old.Removed:
		k.lost = lostRow
	case !listed || stored.Removed:
		return
	case old.Removed && r.retention.resurrected(stored, old):
		k.lost = lostRemoval
	case !old.Removed && r.retention.newer(old, stored):
		k.lost, k.until = lostWrite, time.Time{}
	default:
		return
	}
	r.retained[old.Key] = k
}

// releaseRetained drops a retained row once the store has a change of it, unless the retained row has the higher sequence number.
func (r *Replica) releaseRetained(stored Row) {
	k, ok := r.retained[stored.Key]
	if ok && (stored.Removed || !r.retention.newer(k.Row, stored)) {
		delete(r.retained, stored.Key)
	}
}

// reviewRetained adds the rows that a peer retains, drops those whose retention has expired, and returns the rows whose visible state
// changed by that. Nothing expires during an outage of the store.
func (r *Replica) reviewRetained(fromPeer []RetainedRow, now time.Time) []Row {
	var out []Row
	for _, k := range fromPeer {
		before, known := r.visibleRow(k.Key)
		r.retainRow(k.Row, k.Remaining, now)
		if after, _ := r.visibleRow(k.Key); known && differs(before, after) || !known && !after.Removed {
			out = append(out, r.asUpdate(after))
		}
	}
	for key, k := range r.retained {
		if k.until.IsZero() || now.Before(k.until) || now.Sub(r.lastContact) > outageThreshold {
			continue
		}
		delete(r.retained, key)
		after, known := r.visibleRow(key)
		if !known {
			after = Row{Key: key, Removed: true, LostInRestore: true}
		}
		if differs(k.Row, after) {
			out = append(out, r.asUpdate(after))
		}
	}
	return out
}

// visibleRow returns the visible state of a row.
func (r *Replica) visibleRow(key string) (row Row, ok bool) {
	if k, ok := r.retained[key]; ok {
		return k.Row, true
	}
	row, ok = r.rows[key]
	return row, ok
}

// differs reports whether the visible state of a row differs.
func differs(a, b Row) bool {
	return a.Removed != b.Removed || !a.Removed && !bytes.Equal(a.Value, b.Value)
}

func (r *Replica) countRetained() RetainedCounts {
	var h RetainedCounts
	for _, k := range r.retained {
		switch k.lost {
		case lostWrite:
			h.Writes++
		case lostRow:
			h.Rows++
		case lostRemoval:
			h.Removals++
		}
	}
	return h
}

// hidden lists the rows that are not shown because they had been removed.
func (r *Replica) hidden(now time.Time) []HiddenRow {
	var out []HiddenRow
	for key, k := range r.retained {
		if k.lost == lostRemoval {
			out = append(out, HiddenRow{Removed: k.Row, Stored: r.rows[key].Version, Remaining: k.until.Sub(now)})
		}
	}
	return out
}

// Retained returns the rows that are shown in place of the store's.
func (r *Replica) Retained(now time.Time) []RetainedRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []RetainedRow
	for _, k := range r.retained {
		remaining := time.Duration(0)
		if !k.until.IsZero() {
			remaining = max(time.Millisecond, k.until.Sub(now))
		}
		out = append(out, RetainedRow{Row: k.Row, Remaining: remaining})
	}
	return out
}

// Resurrected returns the rows that had been removed and that the store has again, as the store has them.
func (r *Replica) Resurrected() []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Row
	for key, k := range r.retained {
		if k.lost == lostRemoval {
			out = append(out, r.rows[key])
		}
	}
	return out
}
