package gateway

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/rendezvous"
)

// reservation is the room that a run which moves has at its destination. It counts there as one run until it is given up, or
// passes to the run when that goes on there.
type reservation struct {
	target string // id of the destination; empty: none
	tokens int
}

// reserveAt books room for a run at one engine; an empty id books none.
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

func (g *Gateway) recordReservation(r *run, b reservation) {
	r.setReservation(b)
	g.notifyOwners()
}

// reserve books room at the best engine.
func (g *Gateway) reserve(r *run, need fleet.Need) (fleet.Info, bool) {
	to, ok := g.acquireForMove(r, need)
	if ok {
		g.recordReservation(r, reservation{target: to.ID, tokens: need.Tokens})
	}
	return to, ok
}

// moveCapacityTimeout bounds the wait for an owner to find room for a run that moves: its engine is gone 1.5 s after the notice.
const moveCapacityTimeout = 400 * time.Millisecond

// acquireForMove finds an engine with room for a run that moves, and counts the run there.
func (g *Gateway) acquireForMove(r *run, need fleet.Need) (fleet.Info, bool) {
	if g.Owners == nil {
		return g.Fleet.Acquire(time.Now(), need)
	}
	ctx, cancel := context.WithTimeout(context.Background(), moveCapacityTimeout)
	defer cancel()
	ask := owner.Ask{
		Run: rendezvous.Hash(r.c.id), Mode: owner.Room, Stream: admit.Stream{Need: need, Arrived: time.Now()},
	}
	a, err := g.Owners.Place(ctx, ask)
	if err != nil {
		return g.Fleet.Acquire(time.Now(), need)
	}
	if a.Action != admit.Admit {
		return fleet.Info{}, false
	}
	need.RequireMemory = false // by what this instance alone knows
	need.Granted = true
	return g.Fleet.AcquireAt(time.Now(), a.Target, need)
}

// releaseReservation gives the room up.
func (g *Gateway) releaseReservation(r *run) {
	b := r.currentReservation()
	r.setReservation(reservation{})
	if b.target != "" {
		g.Fleet.Release(time.Now(), b.target, fleet.Load{Tokens: b.tokens}, fleet.Abandoned)
	}
}

func (r *run) setReservation(b reservation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reserved = b
}

func (r *run) currentReservation() reservation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reserved
}

// heldTokens returns the memory that copies of the run take on an engine: its backup's, and what is booked for a move.
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

// hasOutput reports whether the run has made output: before that there is nothing to copy.
func (r *run) hasOutput() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outputTokens > 0
}
