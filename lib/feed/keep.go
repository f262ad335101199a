package feed

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// WriteSeq is how a row's writer counts its own writes. It goes on when the store's versions go back.
type WriteSeq struct {
	Incarnation int64 // of the writer: when it started; 0: it does not tell
	Number      int64 // of the write, within that life
}

func (c WriteSeq) compare(d WriteSeq) int {
	return cmp.Or(cmp.Compare(c.Incarnation, d.Incarnation), cmp.Compare(c.Number, d.Number))
}

// Retention says what is believed of a table after the store has come back from a copy, until its writers have written again what the
// copy lacks.
type Retention struct {
	// Period is how long a row that the copy lacks stays, and one that had been removed stays away.
	Period time.Duration
	// WriteSeq reads the writer's own count of a row: what is held stays for as long as the store has an older write of it. ok is false
	// where the writer does not count; nil: none does.
	WriteSeq func(Row) (c WriteSeq, ok bool)
}

// compare orders two rows by their writer's count; ok is false where that does not tell.
func (k Retention) compare(a, b Row) (order int, ok bool) {
	if bytes.Equal(a.Value, b.Value) {
		return 0, true
	}
	if k.WriteSeq == nil {
		return 0, false
	}
	ca, oka := k.WriteSeq(a)
	cb, okb := k.WriteSeq(b)
	return ca.compare(cb), oka && okb
}

// newer reports whether a was written after b for certain.
func (k Retention) newer(a, b Row) bool {
	order, ok := k.compare(a, b)
	return ok && order > 0
}

// ghost reports whether what the store has is no more than what had been removed.
func (k Retention) ghost(stored, removed Row) bool {
	order, ok := k.compare(stored, removed)
	return ok && order <= 0
}

// RetainedRow is a row that is shown in place of what the store has, with its last value also where it was removed.
type RetainedRow struct {
	Row
	Remaining time.Duration // until what the store has is shown; 0: until it has a newer write
}

// kept is a Kept as a Replica holds it.
type kept struct {
	Row
	lost  loss
	until time.Time // zero: until the store has a newer write
}

// loss is what a copy lacks of a row.
type loss uint8

const (
	lostWrite   loss = iota + 1 // the store has an older write
	lostRow                     // the store has none
	lostRemoval                 // it had been removed, and the store has it again
)

// RetainedCounts counts the rows that are kept, by what the copy lacks of them.
type RetainedCounts struct{ Writes, Rows, Removals int }

// restore takes in the table of a new era and returns what is shown otherwise than before.
func (r *Replica) restore(page Page, now time.Time) []Row {
	before := r.all()
	tombstones := r.removed
	r.rows, r.removed, r.kept = make(map[string]Row, len(page.Rows)), make(map[string]tombstone), make(map[string]kept)
	r.whole = page.Version
	r.buried = nil
	r.recent.restart(page.Version)
	for _, row := range newest(page.Rows) {
		r.rows[row.Key] = row
	}
	for _, old := range before {
		if _, listed := r.rows[old.Key]; !listed && old.Removed {
			// An older copy that comes next may have the row again.
			r.rows[old.Key] = Row{Key: old.Key, Version: page.Version, Removed: true}
			r.removed[old.Key] = tombstones[old.Key]
			r.buried = append(r.buried, burial{key: old.Key, at: tombstones[old.Key].at})
			continue
		}
		r.keepRow(old, r.keep.Period, now)
	}
	slices.SortFunc(r.buried, func(a, b burial) int { return a.at.Compare(b.at) })
	for _, k := range page.Retained {
		r.keepRow(k.Row, k.Remaining, now)
	}
	return r.shownOtherwise(before)
}

// all returns the rows as they are shown, removed ones with their last value.
func (r *Replica) all() map[string]Row {
	out := make(map[string]Row, len(r.rows))
	for key, row := range r.rows {
		if row.Removed {
			row.Value = r.removed[key].value
		}
		out[key] = row
	}
	for key, k := range r.kept {
		out[key] = k.Row
	}
	return out
}

// shownOtherwise returns the rows that are shown otherwise than before.
func (r *Replica) shownOtherwise(before map[string]Row) []Row {
	var out []Row
	now := r.all()
	for key, row := range now {
		if old, ok := before[key]; !ok && !row.Removed || ok && differs(old, row) {
			out = append(out, r.told(row))
		}
	}
	for key, old := range before {
		if _, ok := now[key]; !ok && !old.Removed {
			out = append(out, r.told(Row{Key: key, Removed: true}))
		}
	}
	return out
}

// told is a row as it is told on: a removed one without its last value.
func (r *Replica) told(row Row) Row {
	if row.Removed {
		return Row{Key: row.Key, Version: r.at.Version, Removed: true, LostInRestore: row.LostInRestore}
	}
	return row
}

// keepRow goes on showing a row for a time where the store has less of it.
func (r *Replica) keepRow(old Row, left time.Duration, now time.Time) {
	if k, ok := r.kept[old.Key]; ok && !r.keep.newer(old, k.Row) {
		return
	}
	stored, listed := r.rows[old.Key]
	k := kept{Row: old, until: now.Add(left)}
	switch {
	case !listed && !old.Removed:
		k.lost = lostRow
	case !listed || stored.Removed:
		return
	case old.Removed && r.keep.ghost(stored, old):
		k.lost = lostRemoval
	case !old.Removed && r.keep.newer(old, stored):
		k.lost, k.until = lostWrite, time.Time{}
	default:
		return
	}
	r.kept[old.Key] = k
}

// release drops what is kept of a row that the store has changed, unless its writer counts the change as the older one.
func (r *Replica) release(stored Row) {
	k, ok := r.kept[stored.Key]
	if ok && (stored.Removed || !r.keep.newer(k.Row, stored)) {
		delete(r.kept, stored.Key)
	}
}

// review takes in what a peer keeps, lets go of what was kept for long enough, and returns what is shown otherwise by that.
func (r *Replica) review(peers []RetainedRow, now time.Time) []Row {
	var out []Row
	for _, k := range peers {
		before, known := r.shown(k.Key)
		r.keepRow(k.Row, k.Remaining, now)
		if after, _ := r.shown(k.Key); known && differs(before, after) || !known && !after.Removed {
			out = append(out, r.told(after))
		}
	}
	for key, k := range r.kept {
		if k.until.IsZero() || now.Before(k.until) || now.Sub(r.contact) > outage {
			continue
		}
		delete(r.kept, key)
		after, known := r.shown(key)
		if !known {
			after = Row{Key: key, Removed: true, LostInRestore: true}
		}
		if differs(k.Row, after) {
			out = append(out, r.told(after))
		}
	}
	return out
}

// shown is a row as it is shown.
func (r *Replica) shown(key string) (row Row, ok bool) {
	if k, ok := r.kept[key]; ok {
		return k.Row, true
	}
	row, ok = r.rows[key]
	return row, ok
}

// differs reports whether a row shows something else than before.
func differs(a, b Row) bool {
	return a.Removed != b.Removed || !a.Removed && !bytes.Equal(a.Value, b.Value)
}

func (r *Replica) held() RetainedCounts {
	var h RetainedCounts
	for _, k := range r.kept {
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

// Retained returns what is shown in place of what the store has.
func (r *Replica) Retained(now time.Time) []RetainedRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []RetainedRow
	for _, k := range r.kept {
		left := time.Duration(0)
		if !k.until.IsZero() {
			left = max(time.Millisecond, k.until.Sub(now))
		}
		out = append(out, RetainedRow{Row: k.Row, Remaining: left})
	}
	return out
}

// Resurrected returns the rows that had been removed and that the store has again, as it has them.
func (r *Replica) Resurrected() []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Row
	for key, k := range r.kept {
		if k.lost == lostRemoval {
			out = append(out, r.rows[key])
		}
	}
	return out
}
