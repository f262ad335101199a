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
	g           *Gateway
	c           *call
	w           http.ResponseWriter
	rc          *http.ResponseController
	headSent    bool   // the caller has the head of the answer
	lastID      string // of the last event that the caller has
	events      int
	firstAt     time.Time        // when the answer began
	lastEventAt time.Time        // when the last event went to the caller
	lastKnown   fleet.KnownState // what the choice of its target rested on
	sentAt      time.Time        // when it was last sent
	waited      time.Duration    // for an engine, before the first send
	pause       time.Duration    // longest time between two events

	repeatLogged bool // a target has sent events that the caller had

	mu           sync.Mutex
	target       fleet.Info     // where it runs now
	load         fleet.Load     // what it counts for there
	outputTokens int            // tokens of output so far
	lastContact  time.Time      // when its target was last heard on it
	handoff      chan placement // the copy to go on from, once a move has stopped the run; nil when no move is in its last part
	partial      partialCopy    // what a move under way has copied already
	reserved     reservation    // room at the destination of a move
	backup       backup         // the copy that its engine keeps up to date, if any
	ended        bool
}

// need is what the run asks of a target now.
func (r *run) need() fleet.Need {
	return fleet.Need{
		Service: r.c.service, Tokens: r.c.prompt + r.c.output/2, Unread: r.c.prompt, Exclude: r.c.tried, Regions: r.g.regions(r.c),
	}
}

// start counts the run at a target and lets moves find it. The first target was counted when it was chosen.
func (r *run) start(to placement) {
	target := to.target
	r.mu.Lock()
	r.target = target
	r.load = to.load
	r.handoff = nil
	if r.reserved.target == target.ID {
		r.reserved = reservation{} // it has passed to the run
	}
	r.mu.Unlock()
	r.g.runs.add(target.ID, r)
	r.g.notifyOwners()
	if r.c.engine != nil && r.c.engine.Moves && !r.staysOnLeaving() && r.g.Fleet.IsLeaving(target.ID) {
		go r.g.move(r, target, time.Now(), moveplan.Step{})
	}
}

// leave takes the run off its target.
func (r *run) leave(e end, x *exchange) {
	r.g.runs.remove(x.target.ID, r)
	r.mu.Lock()
	counted := r.load
	r.mu.Unlock()
	r.g.Fleet.Release(time.Now(), x.target.ID, counted, e.outcome())
	if r.g.Owners != nil {
		r.g.Owners.Outcome(x.target.ID, e.outcome())
	}
	r.g.notifyOwners()
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
		r.g.discardMove(r, n)
	default:
	}
}

func (r *run) currentTarget() fleet.Info {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target
}

// addOutput counts tokens beyond what was expected of the run.
func (r *run) addOutput(events int) {
	if r.c.engine == nil {
		return
	}
	tokens := events * max(1, r.c.engine.Stride)
	r.mu.Lock()
	r.outputTokens += tokens
	by := fleet.Load{Tokens: min(tokens, max(0, r.outputTokens-r.c.output/2)), Unread: -r.load.Unread}
	r.load.Tokens += by.Tokens
	r.load.Unread = 0
	id := r.target.ID
	r.mu.Unlock()
	if by != (fleet.Load{}) {
		r.g.Fleet.AddLoad(id, by)
	}
	if by.Unread != 0 {
		r.g.notifyOwners()
	}
}

// awaitHandoff waits for the copy that a move has made.
func (r *run) awaitHandoff() placement {
	r.mu.Lock()
	ch := r.handoff
	r.mu.Unlock()
	select {
	case n := <-ch:
		return n
	case <-time.After(handoffWait):
		return placement{}
	}
}
