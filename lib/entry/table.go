package entry

import (
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/result"
)

const (
	finishedTTL = time.Minute // how long a finished keyed answer stays available to returning callers
	maxFinished = 1024        // bound on finished keyed answers
)

type keyRef struct{ workspace, key string }

// table holds the generations in progress and, for a limited time, finished keyed ones.
type table struct {
	max int // bound on active

	mu       sync.Mutex
	byID     map[ids.Generation]*generation
	byKey    map[keyRef]*generation
	finished []*generation // finished, oldest first
	active   int           // requests being answered
}

func newTable(limit int) *table {
	return &table{max: limit, byID: make(map[ids.Generation]*generation), byKey: make(map[keyRef]*generation)}
}

// enter counts one more request in progress, or refuses it at the bound.
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

// leave reverts enter.
func (t *table) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
}

// add registers a generation. If its key is taken, it returns the generation that holds the key.
func (t *table) add(g *generation) *generation {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g.key != "" {
		ref := keyRef{g.subject.Workspace, g.key}
		if holder := t.byKey[ref]; holder != nil {
			return holder
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

// moveToFinished moves a generation out of those in progress. A keyed one that was run stays available to returning
// callers; one proved not run frees its key at once, so that the caller may retry.
func (t *table) moveToFinished(g *generation, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, g.id)
	if g.key == "" {
		return
	}
	if g.err != nil && result.Lookup(g.err.Code).Outcome == result.NotRun {
		t.freeKey(g)
		return
	}
	t.finished = append(t.finished, g)
	t.expire(now)
}

func (t *table) freeKey(g *generation) {
	ref := keyRef{g.subject.Workspace, g.key}
	if t.byKey[ref] == g {
		delete(t.byKey, ref)
	}
}

// expire removes finished generations beyond the time or count limit. The caller must hold mu.
func (t *table) expire(now time.Time) {
	for len(t.finished) > 0 && (len(t.finished) > maxFinished || now.Sub(t.finished[0].endedAt) > finishedTTL) {
		t.freeKey(t.finished[0])
		t.finished[0] = nil
		t.finished = t.finished[1:]
	}
}

// removeSuperseded frees the key of a generation that another entry has resumed. It returns the generation if it is in
// progress, else nil.
func (t *table) removeSuperseded(id ids.Generation) *generation {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.byID[id]; g != nil {
		t.freeKey(g)
		return g
	}
	for _, g := range t.finished {
		if g.id == id && g.resumableLocked() {
			t.freeKey(g)
		}
	}
	return nil
}

// appendRunning appends the generations in progress to out.
func (t *table) appendRunning(out []*generation) []*generation {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.byID {
		out = append(out, g)
	}
	return out
}

// counts returns the requests being answered and the generations in progress, some of which may have no caller attached.
func (t *table) counts() (active, generations int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active, len(t.byID)
}

// remove deletes a generation that never started.
func (t *table) remove(g *generation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, g.id)
	t.freeKey(g)
}

// releaseKey frees the key of a generation that was stopped for lack of a caller, so that it can be resumed.
func (t *table) releaseKey(g *generation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.freeKey(g)
}
