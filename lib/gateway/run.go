package gateway

import (
	"net/http"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/moveplan"
)

// run is one stream to a caller, across the targets that it runs on.
type run struct {
	g        *Gateway
	c        *call
	w        http.ResponseWriter
	out      *http.ResponseController
	begun    bool   // the caller has the head of the answer
	lastID   string // of the last event that the caller has
	events   int
	firstAt  time.Time        // when the answer began
	passed   time.Time        // when the last event went to the caller
	believed fleet.KnownState // what the choice of its target rested on
	sentAt   time.Time        // when it was last sent
	waited   time.Duration    // for an engine, before the first send
	pause    time.Duration    // longest time between two events

	heardTwice bool // a target has sent events that the caller had

	mu      sync.Mutex
	target  fleet.Info // where it runs now
	counted fleet.Load // what it counts for there
	made    int        // tokens of output so far
	last    time.Time  // when its target was last heard on it
	handoff chan next  // the copy to go on from, once a move has stopped the run; nil when no move is in its last part
	early   earlyCopy  // what a move under way has copied already
	booked  booking    // room at the destination of a move
	copy    backup     // the copy that its engine keeps up to date, if any
	ended   bool
}

// need is what the run asks of a target now.
func (r *run) need() fleet.Need {
	return fleet.Need{
		Service: r.c.service, Tokens: r.c.prompt + r.c.output/2, Unread: r.c.prompt, Exclude: r.c.tried, Regions: r.g.regions(r.c),
	}
}

// enter counts the run at a target and lets moves find it. The first target was counted when it was chosen.
func (r *run) enter(to next) {
	target := to.target
	r.mu.Lock()
	r.target = target
	r.counted = to.counted
	r.handoff = nil
	if r.booked.at == target.ID {
		r.booked = booking{} // it has passed to the run
	}
	r.mu.Unlock()
	r.g.runs.add(target.ID, r)
	r.g.changed()
	if r.c.engine != nil && r.c.engine.Moves && !r.stays() && r.g.Fleet.IsLeaving(target.ID) {
		go r.g.move(r, target, time.Now(), moveplan.Step{})
	}
}

// leave takes the run off its target.
func (r *run) leave(e end, x *exchange) {
	r.g.runs.remove(x.target.ID, r)
	r.mu.Lock()
	counted := r.counted
	r.mu.Unlock()
	r.g.Fleet.Release(time.Now(), x.target.ID, counted, e.outcome())
	if r.g.Owners != nil {
		r.g.Owners.RecordOutcome(x.target.ID, e.outcome())
	}
	r.g.changed()
}

// outcome is what a run's end says of its target.
func (e end) outcome() fleet.Outcome {
	switch e {
	case endComplete:
		return fleet.Served
	case endUnsent:
		return fleet.Unreachable
	case endNotRun:
		return fleet.Refused
	case endFailure, endBroken:
		return fleet.Failed
	default:
		return fleet.Abandoned
	}
}

// finish ends the run for good, with what a move may have made ready for it.
func (r *run) finish() {
	r.mu.Lock()
	r.ended = true
	ch := r.handoff
	r.mu.Unlock()
	select {
	case n := <-ch:
		r.g.abandon(r, n)
	default:
	}
}

func (r *run) at() fleet.Info {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target
}

// grow counts tokens beyond what was expected of the run.
func (r *run) grow(events int) {
	if r.c.engine == nil {
		return
	}
	tokens := events * max(1, r.c.engine.Stride)
	r.mu.Lock()
	r.made += tokens
	by := fleet.Load{Tokens: min(tokens, max(0, r.made-r.c.output/2)), Unread: -r.counted.Unread}
	r.counted.Tokens += by.Tokens
	r.counted.Unread = 0
	id := r.target.ID
	r.mu.Unlock()
	if by != (fleet.Load{}) {
		r.g.Fleet.AddLoad(id, by)
	}
	if by.Unread != 0 {
		r.g.changed()
	}
}

// taken waits for the copy that a move has made.
func (r *run) taken() next {
	r.mu.Lock()
	ch := r.handoff
	r.mu.Unlock()
	select {
	case n := <-ch:
		return n
	case <-time.After(handoffWait):
		return next{}
	}
}
