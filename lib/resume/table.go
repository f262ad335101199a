package resume

import (
	"container/heap"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/rendezvous"
)

// Entry is the record of one stream.
type Entry struct {
	Key      uint64    // of the attempt that brought the first event, as Key returns it
	Software uint64    // fleet.Software.ID of the version that began the stream; 0: two versions were recorded for the key
	Expires  time.Time // the caller's deadline, and a margin
	Stored   bool      // the record is in the store, or on its way there

	queued bool // this instance has it written to the store, as keeper
}

// Key identifies an attempt among those of all workspaces. A caller can't resume the stream of another workspace, whatever attempt it names.
func Key(workspace, attempt string) uint64 { return rendezvous.Hash(workspace + "\x00" + attempt) }

// maxEntries bounds the records of a table: those of some 300 streams a second that last up to 100 s.
const maxEntries = 32 << 10

// Table holds records in memory. It is safe for concurrent use. When it is full, those that expire first are dropped.
type Table struct {
	mu      sync.Mutex
	entries map[uint64]Entry
	order   expiryHeap
	limit   int
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{entries: make(map[uint64]Entry), limit: maxEntries} }

// Put adds a record. A second version for a key makes it useless: the caller has used one id for two streams.
func (t *Table) Put(now time.Time, e Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.entries[e.Key]
	if known && !now.After(old.Expires) {
		if old.Software != e.Software {
			old.Software = 0
		}
		old.Stored = old.Stored || e.Stored
		t.entries[e.Key] = old
		return
	}
	t.entries[e.Key] = e
	heap.Push(&t.order, expiry{at: e.Expires, key: e.Key})
	t.prune(now)
}

// prune drops what has expired or exceeds the limit.
func (t *Table) prune(now time.Time) {
	for len(t.order) > 0 && (len(t.entries) > t.limit || now.After(t.order[0].at)) {
		first := heap.Pop(&t.order).(expiry)
		if e, known := t.entries[first.key]; known && e.Expires.Equal(first.at) {
			delete(t.entries, first.key)
		}
	}
}

// Get returns the record of a key; ok is false if there is none.
func (t *Table) Get(now time.Time, key uint64) (e Entry, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok = t.entries[key]
	return e, ok && !now.After(e.Expires)
}

// TakeUnstored marks the records that are not stored, and that pick selects, as stored, and returns them.
func (t *Table) TakeUnstored(now time.Time, pick func(Entry) bool) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Entry
	for key, e := range t.entries {
		if e.Stored || now.After(e.Expires) || !pick(e) {
			continue
		}
		e.Stored = true
		t.entries[key] = e
		out = append(out, e)
	}
	return out
}

// Queue marks records as queued, and returns those that were not.
func (t *Table) Queue(entries []Entry) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Entry
	for _, e := range entries {
		old, known := t.entries[e.Key]
		if known && old.queued {
			continue
		}
		out = append(out, e)
		if known {
			old.queued = true
			t.entries[e.Key] = old
		}
	}
	return out
}

// MarkUnstored marks records as not stored.
func (t *Table) MarkUnstored(entries []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range entries {
		if old, known := t.entries[e.Key]; known {
			old.Stored, old.queued = false, false
			t.entries[e.Key] = old
		}
	}
}

// All returns the records that have not expired.
func (t *Table) All(now time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Entry, 0, len(t.entries))
	for _, e := range t.entries {
		if !now.After(e.Expires) {
			out = append(out, e)
		}
	}
	return out
}

type expiry struct {
	at  time.Time
	key uint64
}

// expiryHeap is a heap.Interface with the earliest expiry first.
type expiryHeap []expiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiry)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
