package gateway

import (
	"context"
	"strings"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
)

const (
	// defaultHandleTTL is how long a copy is kept for its run where the settings don't say.
	defaultHandleTTL = 5 * time.Second
	// handleMargin is the part of that time left for the request itself.
	handleMargin = 500 * time.Millisecond
	// destinationPoll is the pause before a destination that has rejected a moved run is tried again.
	destinationPoll = 50 * time.Millisecond
)

// afterRejectedCopy decides where a run continues whose copy was not taken at its destination: at its source, which keeps the run's memory, too.
// If the source's domain is evacuated, nothing may be sent there, and the run waits for the destination.
func (r *run) afterRejectedCopy(ctx context.Context, prev placement) (to placement, done bool) {
	if !r.g.Fleet.Evacuated(prev.source.Domain) {
		return placement{target: prev.source, copyFrom: prev.copyFrom, returns: true}, false
	}
	if to, ok := r.awaitDestination(ctx, prev); ok {
		return to, false
	}
	r.giveUp(ctx, "copy_lost")
	return placement{}, true
}

// awaitDestination waits until the destination of a move accepts requests again, for as long as it keeps the copy.
func (r *run) awaitDestination(ctx context.Context, prev placement) (placement, bool) {
	ttl := r.c.engine.HandleTTL
	if ttl <= 0 {
		ttl = defaultHandleTTL
	}
	tokens := r.currentLoad().Tokens
	need := fleet.Need{
		Service: prev.target.Service, Tokens: tokens, Regions: r.g.regions(r.c), Software: prev.target.Software.ID, FoundByOwner: true,
	}
	for end := time.Now().Add(ttl - handleMargin); time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(destinationPoll)
		if target, ok := r.g.Fleet.AcquireAt(time.Now(), prev.target.ID, need); ok {
			return placement{target: target, load: fleet.Load{Tokens: tokens}, copyFrom: prev.copyFrom, source: prev.source}, true
		}
	}
	return placement{}, false
}

// beginHandoff marks the run's stream as about to be stopped by a move and returns the channel for the copy to continue from;
// nil when the run is no longer on the target or a handoff is in progress.
func (r *run) beginHandoff(target string) chan placement {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || r.target.ID != target || r.handoff != nil {
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
