package gateway

import "strings"

// beginHandoff marks the run's stream as about to be stopped by a move and returns the channel for the copy to continue from;
// nil when the run is no longer on the target or a handoff is in progress.
func (r *run) beginHandoff(target string) chan placement {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || r.waiting || r.target.ID != target || r.handoff != nil {
		return nil
	}
	r.handoff = make(chan placement, 1)
	return r.handoff
}

// cancelHandoff undoes beginHandoff after the engine reported that it did not stop the run. A run whose stream has ended
// meanwhile receives an empty placement: there is nothing to continue from.
func (r *run) cancelHandoff(ch chan<- placement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handoff = nil
	ch <- placement{}
}

// completeHandoff passes the run the placement to continue at. If the run has ended by itself, the reservation and the copy
// are released; otherwise they would count at the destination until the process exits.
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

// discardMove releases what a move has prepared for a run that ended at its source.
func (g *Gateway) discardMove(r *run, n placement) {
	g.releaseReservation(r)
	if _, handle, ok := strings.Cut(n.copyFrom, "/"); ok {
		go g.releaseCopy(r.currentTarget(), handle)
	}
}
