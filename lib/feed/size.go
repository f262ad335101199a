package feed

import "errors"

// ErrTooLarge reports a page that would make a replica larger than its limit. It changes nothing.
var ErrTooLarge = errors.New("feed: table too large")

// Memory that a row, and the record of a removal, takes besides its key and value, in bytes.
const (
	rowOverhead     = 256
	removalOverhead = 64
)

// WithLimit bounds the memory of the table in bytes, and returns the Replica: a store, or a peer, may change a table without end.
func (r *Replica) WithLimit(bytes int64) *Replica {
	r.limit = bytes
	return r
}

// heldBytes returns the memory that a key takes, in bytes; 0: the replica does not have it.
func (r *Replica) heldBytes(key string) int64 {
	row, ok := r.rows[key]
	if !ok {
		return 0
	}
	return rowBytes(row) + int64(len(r.tombstones[key].value))
}

func rowBytes(row Row) int64 { return rowOverhead + int64(len(row.Key)+len(row.Value)) }

// resize adds the difference that a change of a key has made to the size of the table.
func (r *Replica) resize(key string, change func()) {
	before := r.heldBytes(key)
	change()
	r.size += r.heldBytes(key) - before
}

// measure sets the size of the table.
func (r *Replica) measure() {
	r.size = 0
	for key := range r.rows {
		r.size += r.heldBytes(key)
	}
}

// fits reports whether the table stays within its limit with a page. A whole table may replace another of the same size: the rows that it lacks are held
// for tombstoneTTL.
func (r *Replica) fits(page Page, whole bool) bool {
	if r.limit <= 0 {
		return true
	}
	own, growth := int64(0), int64(0)
	for _, row := range newest(page.Rows) {
		n := rowBytes(row)
		own += n
		growth += n - r.heldBytes(row.Key)
		if row.Removed {
			growth += removalOverhead + int64(len(r.rows[row.Key].Value))
		}
	}
	for _, k := range page.Retained {
		growth += rowBytes(k.Row)
	}
	size := r.size + removalOverhead*int64(len(r.removals)) + growth
	if whole {
		return own <= r.limit && size <= 2*r.limit
	}
	return size <= r.limit || growth <= 0
}
