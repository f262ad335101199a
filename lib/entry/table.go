package entry

import (
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/result"
)

const (
	keepFinished = time.Minute // a keyed answer stays for callers that come back
	maxKept      = 1024        // finished keyed answers kept
)

type keyRef struct{ workspace, key string }

// table holds the generations in progress, and finished keyed ones for a while.
type table struct {
	max int // requests being answered

	mu     sync.Mutex
	byID   map[ids.Generation]*generation
	byKey  map[keyRef]*generation
	kept   []*generation // finished, oldest first
	active int           // callers' requests being answered
}

func newTable(limit int) *table {
	return &table{max: limit, byID: make(map[ids.Generation]*generation), byKey: make(map[keyRef]*generation)}
}

// enter counts one more request in progress, or refuses it.
func (t *table) enter() *result.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active >= t.max {
		err := result.New(result.TooManyStreams, "%d requests in progress", t.active)
		err.RetryAfter = time.Second
		return err
	}
	t.active++
	return nil
}

// leave undoes enter.
func (t *table) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
}

// add registers a generation. When its key is taken it returns the holder instead.
func (t *table) add(g *generation) *generation {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g.key != "" {
		ref := keyRef{g.subject.Workspace, g.key}
		if old := t.byKey[ref]; old != nil {
			return old
		}
		t.byKey[ref] = g
	}
	t.byID[g.id] = g
	return nil
}

// find returns the generation of a key, or nil.
func (t *table) find(workspace, key string) *generation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byKey[keyRef{workspace, key}]
}

// ended moves a generation out of those in progress. A keyed one that was run stays for callers that come back; one
// proved not run frees its key at once, so that the caller may ask again.
func (t *table) ended(g *generation, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, g.id)
	if g.key == "" {
		return
	}
	if g.err != nil && result.Lookup(g.err.Code).Outcome == result.NotRun {
		t.forget(g)
		return
	}
	t.kept = append(t.kept, g)
	t.expire(now)
}

func (t *table) forget(g *generation) {
	ref := keyRef{g.subject.Workspace, g.key}
	if t.byKey[ref] == g {
		delete(t.byKey, ref)
	}
}

// expire forgets finished generations beyond their time or count.
func (t *table) expire(now time.Time) {
	for len(t.kept) > 0 && (len(t.kept) > maxKept || now.Sub(t.kept[0].endedAt) > keepFinished) {
		t.forget(t.kept[0])
		t.kept[0] = nil
		t.kept = t.kept[1:]
	}
}

// lost frees the key of a generation that another entry goes on with, and returns it, or nil.
func (t *table) lost(id ids.Generation) *generation {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.byID[id]; g != nil {
		t.forget(g)
		return g
	}
	for _, g := range t.kept {
		if g.id == id && g.released() {
			t.forget(g)
		}
	}
	return nil
}

// running appends the generations in progress to out, for the systems that run over them.
func (t *table) running(out []*generation) []*generation {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.byID {
		out = append(out, g)
	}
	return out
}

// counts returns requests being answered, and generations in progress, a few of which may have no caller just now.
func (t *table) counts() (active, generations int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active, len(t.byID)
}

// drop removes a generation that never started.
func (t *table) drop(g *generation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, g.id)
	t.forget(g)
}

// release frees the key of a generation that was stopped for want of a caller, so that it can be gone on with.
func (t *table) release(g *generation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(g)
}
