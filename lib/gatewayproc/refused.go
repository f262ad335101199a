package gatewayproc

import "sync"

// refusedMax bounds the entries that are remembered; beyond it they are logged each time that they change.
const refusedMax = 1024

// refusedEntries remembers the entries of the list of targets that can't be read, so that each is logged once until it
// can: a writer that repeats a bad entry every second would fill the log.
type refusedEntries struct {
	mu  sync.Mutex
	ids map[string]bool
}

// first reports whether an entry was readable before.
func (r *refusedEntries) first(id string) bool {
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

func (r *refusedEntries) clear(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.ids, id)
}
