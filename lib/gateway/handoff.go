package gateway

import "strings"

// stopFor tells the run that its stream is about to be stopped, and returns where the copy is to be handed over; nil
// when the run is no longer there.
func (r *run) stopFor(target string) chan next {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || r.target.ID != target || r.handoff != nil {
		return nil
	}
	r.handoff = make(chan next, 1)
	return r.handoff
}

// goOn takes stopFor back: the engine says that it did not stop the run. A run whose stream has ended meanwhile is told
// that there is nothing to go on from.
func (r *run) goOn(ch chan<- next) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handoff = nil
	ch <- next{}
}

// handOver tells the run where it goes on. One that has ended by itself takes nothing: what the move had booked and
// copied would count at the destination for as long as the process lives.
func (r *run) handOver(ch chan<- next, n next) {
	r.mu.Lock()
	ended := r.ended
	if !ended {
		ch <- n
	}
	r.mu.Unlock()
	if ended {
		r.g.abandon(r, n)
	}
}

// abandon gives up what a move has made ready for a run that has ended at its source.
func (g *Gateway) abandon(r *run, n next) {
	g.unbook(r)
	if _, handle, ok := strings.Cut(n.copyFrom, "/"); ok {
		go g.free(r.at(), handle)
	}
}
