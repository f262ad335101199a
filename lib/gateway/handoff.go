package gateway

import "strings"

// beginHandoff tells the run that its stream is about to be stopped, and returns where the copy is to be handed over; nil
// when the run is no longer there.
func (r *run) beginHandoff(target string) chan placement {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || r.target.ID != target || r.handoff != nil {
		return nil
	}
	r.handoff = make(chan placement, 1)
	return r.handoff
}

// cancelHandoff takes stopFor back: the engine says that it did not stop the run. A run whose stream has ended meanwhile is told
// that there is nothing to go on from.
func (r *run) cancelHandoff(ch chan<- placement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handoff = nil
	ch <- placement{}
}

// completeHandoff tells the run where it goes on. One that has ended by itself takes nothing: what the move had booked and
// copied would count at the destination for as long as the process lives.
func (r *run) completeHandoff(ch chan<- placement, n placement) {
	r.mu.Lock()
	ended := r.ended
	if !ended {
		ch <- n
	}
	r.mu.Unlock()
	if ended {
		r.g.discardMove(r, n)
	}
}

// discardMove gives up what a move has made ready for a run that has ended at its source.
func (g *Gateway) discardMove(r *run, n placement) {
	g.releaseReservation(r)
	if _, handle, ok := strings.Cut(n.copyFrom, "/"); ok {
		go g.releaseCopy(r.currentTarget(), handle)
	}
}
