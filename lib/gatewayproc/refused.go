package gatewayproc

import "sync"

// refusedMax bounds the entries that are remembered; beyond it an entry is logged each time it changes.
const refusedMax = 1024

// refusedEntries remembers the unreadable entries of the list of targets, so that each is logged once until it is readable
// again: a writer that repeats a bad entry every second would fill the log.
type refusedEntries struct {
	mu  sync.Mutex
	ids map[string]bool
}

// markUnreadable records an unreadable entry and reports whether it was readable before.
func (r *refusedEntries) markUnreadable(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ids[id] {
		return false
	}
	if r.ids == nil {
		r.ids = make(map[string]bool)
	}
	if len(r.ids) < refusedMax {
		r.ids[id] = true
	}
	return true
}

func (r *refusedEntries) markReadable(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.ids, id)
}
