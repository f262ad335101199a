package gateway

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/rendezvous"
)

// reservation is the memory reserved for a moving run at its destination. It counts there as one run until it is released or
// the run continues there and takes it over.
type reservation struct {
	target string // id of the destination; empty: none
	tokens int
}

// reserveAt reserves memory for a run on one engine; an empty id reserves none.
func (g *Gateway) reserveAt(r *run, id string, need fleet.Need) (fleet.Info, bool) {
	if id == "" {
		return fleet.Info{}, false
	}
	to, ok := g.Fleet.AcquireAt(time.Now(), id, need)
	if ok {
		g.recordReservation(r, reservation{target: to.ID, tokens: need.Tokens})
	}
	return to, ok
}

func (g *Gateway) recordReservation(r *run, res reservation) {
	r.setReservation(res)
	g.notifyOwners()
}

// reserve reserves memory for a run on the best engine.
func (g *Gateway) reserve(r *run, need fleet.Need) (fleet.Info, bool) {
	to, ok := g.acquireForMove(r, need)
	if ok {
		g.recordReservation(r, reservation{target: to.ID, tokens: need.Tokens})
	}
	return to, ok
}

// moveCapacityTimeout bounds the request to an owner for a move's destination: the engine may be gone 1.5 s after its notice.
const moveCapacityTimeout = 400 * time.Millisecond

// acquireForMove finds an engine with enough free memory for a moving run and counts the run there.
func (g *Gateway) acquireForMove(r *run, need fleet.Need) (fleet.Info, bool) {
	if g.Owners == nil {
		return g.Fleet.Acquire(time.Now(), need)
	}
	ctx, cancel := context.WithTimeout(context.Background(), moveCapacityTimeout)
	defer cancel()
	req := owner.PlaceRequest{
		Run: rendezvous.Hash(r.c.id), Mode: owner.MustFit, Stream: admit.Stream{Need: need, Arrived: time.Now()},
	}
	answer, err := g.Owners.Place(ctx, req)
	if err != nil {
		return g.Fleet.Acquire(time.Now(), need)
	}
	if answer.Action != admit.Admit {
		return fleet.Info{}, false
	}
	need.RequireMemory = false // the owner has checked; this instance's own state may be behind
	need.Granted = true
	return g.Fleet.AcquireAt(time.Now(), answer.Target, need)
}

// releaseReservation releases the run's reservation, if any.
func (g *Gateway) releaseReservation(r *run) {
	res := r.currentReservation()
	r.setReservation(reservation{})
	if res.target != "" {
		g.Fleet.Release(time.Now(), res.target, fleet.Load{Tokens: res.tokens}, fleet.Abandoned)
	}
}

func (r *run) setReservation(res reservation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reserved = res
}

func (r *run) currentReservation() reservation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reserved
}

// heldTokens returns the tokens that the run's backup and its move reservation take on an engine.
func (r *run) heldTokens(target string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	if r.backup.target.ID == target {
		n += r.backup.tokens
	}
	if r.reserved.target == target {
		n += r.reserved.tokens
	}
	return n
}

// hasOutput reports whether the run has produced output: before that there is nothing to copy.
func (r *run) hasOutput() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outputTokens > 0
}
