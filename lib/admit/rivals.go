package admit

import (
	"sync"
	"time"
)

// rivalLife is how long a peer's word of what waits there is believed: a little over the period of news.
const rivalLife = 400 * time.Millisecond

// Rivals counts the streams that wait for room, here and at peers. It is safe for concurrent use.
type Rivals struct {
	mu    sync.Mutex
	own   int
	peers map[string]rival
}

type rival struct {
	n  int
	at time.Time
}

// Enter counts a stream of this instance until the returned function is called.
func (r *Rivals) Enter() (leave func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.own--
	}
}

// Own returns how many streams wait here.
func (r *Rivals) Own() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.own
}

// Tell takes in how many streams wait at a peer.
func (r *Rivals) Tell(now time.Time, name string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.peers == nil {
		r.peers = make(map[string]rival)
	}
	if n == 0 {
		delete(r.peers, name)
		return
	}
	r.peers[name] = rival{n: n, at: now}
}

// Others returns how many streams wait beside one of this instance.
func (r *Rivals) Others(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := max(0, r.own-1)
	for name, p := range r.peers {
		if now.Sub(p.at) > rivalLife {
			delete(r.peers, name)
			continue
		}
		n += p.n
	}
	return n
}
