package feed

import (
	"sync"
	"time"
)

// Replica holds a followed table as far as this instance knows it, from whichever source it came. It never goes back:
// a page older than what is held changes nothing.
type Replica struct {
	apply func(Update)

	mu      sync.Mutex
	rows    map[string]Row // removed rows stay for keepRemoved, so that peers can be told
	version int64
	era     int64 // in which version was given out
	whole   int64 // rows are complete from this version on; removed ones before it are forgotten
	known   bool
	contact time.Time // when the store last confirmed version, to anybody
	removed map[string]time.Time
	changed chan struct{} // closed and replaced at each change
}

const (
	// keepRemoved is how long a removed row can still be told as a change. A peer that asks from before is sent the
	// whole table.
	keepRemoved = time.Minute
	// outage is the age of the last contact from which the store is taken to have been away: longer than a poll takes,
	// shorter than entries take to lapse.
	outage = 1500 * time.Millisecond
)

// NewReplica returns an empty Replica that shows each change to apply, one at a time and in order.
func NewReplica(apply func(Update)) *Replica {
	return &Replica{
		apply: apply, rows: make(map[string]Row), removed: make(map[string]time.Time), changed: make(chan struct{}),
	}
}

// Take merges a page that the store confirmed at contact.
func (r *Replica) Take(page Page, whole bool, contact time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if page.Version < r.version || !r.known && !whole {
		return
	}
	silent := time.Duration(0)
	if r.known && contact.Sub(r.contact) > outage {
		silent = contact.Sub(r.contact)
	}
	if contact.After(r.contact) {
		r.contact = contact
	}
	now := time.Now()
	u := Update{
		Page:  Page{Version: page.Version, Era: page.Era, Rows: r.merge(page, whole, now)},
		Whole: !r.known, Silent: silent, Read: whole, Before: Position{Era: r.era, Version: r.version},
	}
	first := !r.known
	if first {
		r.whole = page.Version
	}
	r.known = true
	r.version, r.era = page.Version, page.Era
	r.forget(now)
	if first || len(u.Rows) > 0 || silent > 0 {
		r.apply(u)
	}
	if first || len(u.Rows) > 0 {
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// merge takes the rows in and returns those that changed something.
func (r *Replica) merge(page Page, whole bool, now time.Time) []Row {
	var out []Row
	listed := make(map[string]bool, len(page.Rows))
	for _, row := range newest(page.Rows) {
		listed[row.Key] = true
		if row.Removed && row.Version == 0 {
			row.Version = page.Version
		}
		old, held := r.rows[row.Key]
		if held && row.Version <= old.Version || !held && row.Removed {
			continue
		}
		r.put(row, now)
		out = append(out, row)
	}
	if !whole {
		return out
	}
	for key, old := range r.rows {
		if !listed[key] && !old.Removed {
			gone := Row{Key: key, Version: page.Version, Removed: true}
			r.put(gone, now)
			out = append(out, gone)
		}
	}
	return out
}

func (r *Replica) put(row Row, now time.Time) {
	r.rows[row.Key] = row
	if row.Removed {
		r.removed[row.Key] = now
	} else {
		delete(r.removed, row.Key)
	}
}

func (r *Replica) forget(now time.Time) {
	for key, at := range r.removed {
		if now.Sub(at) > keepRemoved {
			r.whole = max(r.whole, r.rows[key].Version)
			delete(r.rows, key)
			delete(r.removed, key)
		}
	}
}

// Since returns what has changed after a version, the whole table when that can't be told, and when the store last
// confirmed it. known is false when nothing has been read yet.
func (r *Replica) Since(after int64) (page Page, whole bool, contact time.Time, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	whole = after == 0 || after < r.whole
	page.Version, page.Era = r.version, r.era
	if !whole && after >= r.version {
		return page, whole, r.contact, r.known // most of what is passed on: nothing has changed since the last
	}
	for _, row := range r.rows {
		if whole && !row.Removed || !whole && row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, whole, r.contact, r.known
}

// Version returns the newest version held; known is false before the first.
func (r *Replica) Version() (version int64, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version, r.known
}

// At returns the newest position held.
func (r *Replica) At() Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Position{Era: r.era, Version: r.version}
}

// Contact returns when the store last confirmed what is held.
func (r *Replica) Contact() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.contact
}

// Changed returns a channel that is closed at the next change.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}
