package gateway

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/rendezvous"
)

// booking is the room that a run which moves has at its destination. It counts there as one run until it is given up, or
// passes to the run when that goes on there.
type booking struct {
	at     string // id of the destination; empty: none
	tokens int
}

// bookAt books room for a run at one engine; an empty id books none.
func (g *Gateway) bookAt(r *run, id string, need fleet.Need) (fleet.Info, bool) {
	if id == "" {
		return fleet.Info{}, false
	}
	to, ok := g.Fleet.AcquireAt(time.Now(), id, need)
	if ok {
		g.booked(r, booking{at: to.ID, tokens: need.Tokens})
	}
	return to, ok
}

func (g *Gateway) booked(r *run, b booking) {
	r.setBooking(b)
	g.changed()
}

// book books room at the best engine.
func (g *Gateway) book(r *run, need fleet.Need) (fleet.Info, bool) {
	to, ok := g.room(r, need)
	if ok {
		g.booked(r, booking{at: to.ID, tokens: need.Tokens})
	}
	return to, ok
}

// roomTimeout bounds the wait for an owner to find room for a run that moves: its engine is gone 1.5 s after the notice.
const roomTimeout = 400 * time.Millisecond

// room finds an engine with room for a run that moves, and counts the run there.
func (g *Gateway) room(r *run, need fleet.Need) (fleet.Info, bool) {
	if g.Owners == nil {
		return g.Fleet.Acquire(time.Now(), need)
	}
	ctx, cancel := context.WithTimeout(context.Background(), roomTimeout)
	defer cancel()
	ask := owner.PlaceRequest{
		Run: rendezvous.Hash(r.c.id), Mode: owner.MustFit, Stream: admit.Stream{Need: need, Arrived: time.Now()},
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

// unbook gives the room up.
func (g *Gateway) unbook(r *run) {
	b := r.bookedAt()
	r.setBooking(booking{})
	if b.at != "" {
		g.Fleet.Release(time.Now(), b.at, fleet.Load{Tokens: b.tokens}, fleet.Abandoned)
	}
}

func (r *run) setBooking(b booking) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.booked = b
}

func (r *run) bookedAt() booking {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.booked
}

// holds returns the memory that copies of the run take on an engine: its backup's, and what is booked for a move.
func (r *run) holds(target string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	if r.copy.at.ID == target {
		n += r.copy.tokens
	}
	if r.booked.at == target {
		n += r.booked.tokens
	}
	return n
}

// hasBegun reports whether the run has made output: before that there is nothing to copy.
func (r *run) hasBegun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.made > 0
}
