// Package turn orders the streams that wait for room on engines, over all instances.
//
// Load pattern: engines leave in groups, those left are full, and streams wait at every instance. Room that frees up at
// one engine is seen by all instances at once. If each took it, the engine would be sent several times what it can hold,
// and all but one of these streams would wait in its queue although others have room first. So instances tell each
// other what waits, and the k-th stream in order takes the k-th best engine. News is some tens of milliseconds old; two
// instances that disagree for that long send two streams to one engine, which costs time but breaks nothing.
//
// Nothing here does I/O or reads a clock.
package turn

import (
	"cmp"
	"sync"
	"time"
)

// life is how long a peer's news is believed. A stream that waits longer is told again; one that was placed is not.
const life = 400 * time.Millisecond

// Entry is a stream that waits.
type Entry struct {
	ID       uint64
	Priority int // 0 goes first
	Since    time.Time
}

// before is the order: more urgent ones first, then those that came first.
func (e Entry) before(o Entry) bool {
	return cmp.Or(cmp.Compare(e.Priority, o.Priority), e.Since.Compare(o.Since), cmp.Compare(e.ID, o.ID)) < 0
}

type peer struct {
	entries []Entry
	at      time.Time
}

// Queue holds what waits here and at peers. It is safe for concurrent use.
type Queue struct {
	mu    sync.Mutex
	own   map[uint64]Entry
	peers map[string]peer
}

// New returns an empty Queue.
func New() *Queue { return &Queue{own: make(map[uint64]Entry), peers: make(map[string]peer)} }

// Enter adds a stream of this instance until the returned function is called.
func (q *Queue) Enter(e Entry) (leave func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.own[e.ID] = e
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		delete(q.own, e.ID)
	}
}

// Own lists the streams that wait here.
func (q *Queue) Own() []Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make([]Entry, 0, len(q.own))
	for _, e := range q.own {
		out = append(out, e)
	}
	return out
}

// Tell takes in what waits at a peer, in place of what it told before.
func (q *Queue) Tell(now time.Time, name string, entries []Entry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(entries) == 0 {
		delete(q.peers, name)
		return
	}
	q.peers[name] = peer{entries: entries, at: now}
}

// Ahead counts the streams that go before e.
func (q *Queue) Ahead(now time.Time, e Entry) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, o := range q.own {
		if o.before(e) {
			n++
		}
	}
	for name, p := range q.peers {
		if now.Sub(p.at) > life {
			delete(q.peers, name)
			continue
		}
		for _, o := range p.entries {
			if o.before(e) {
				n++
			}
		}
	}
	return n
}
