package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/moveplan"
)

// run is one stream to a caller, across all targets that execute it.
type run struct {
	g           *Gateway
	c           *call
	w           http.ResponseWriter
	rc          *http.ResponseController
	headSent    bool   // the response's head has been sent to the caller
	written     func() // to be called when nothing more is written to the caller
	lastID      string // id of the last event that the caller has
	events      int
	refused     refusal          // why it was not sent; zero: it was
	firstAt     time.Time        // when the head was sent
	lastEventAt time.Time        // when the last event was forwarded
	lastKnown   fleet.KnownState // state of the target assumed when it was chosen
	sentAt      time.Time        // when the request was last sent
	answered    func()           // ends the time in which that request has no event yet
	waited      time.Duration    // for an engine, before the first send
	pause       time.Duration    // longest time between two events

	listAwaited  bool        // it has waited for a target of its version to be listed
	doubted      bool        // its target may run another software version than the listed one
	unproven     atomic.Bool // it began at an engine that was not queried for its incarnation
	repeatLogged bool        // a target has sent events that the caller had, and this was logged

	mu           sync.Mutex
	target       fleet.Info     // where it runs now
	load         fleet.Load     // counted for the run on its target
	outputTokens int            // produced so far
	lastContact  time.Time      // last contact with the target for this run
	handoff      chan placement // where to continue once a move has stopped the run; nil unless a move makes its final copy
	partial      partialCopy    // made by a move in progress
	reserved     reservation    // at the destination of a move
	waiting      bool           // it executes nowhere, and waits for an engine that keeps its memory
	backup       backup         // kept up to date by the run's engine
	ended        bool
}

// need returns the run's current requirements on a target.
func (r *run) need() fleet.Need {
	return fleet.Need{
		Service: r.c.service, Tokens: r.c.prompt + r.c.output/2, Unread: r.c.prompt, Exclude: r.c.tried, Regions: r.g.regions(r.c),
		Software: r.g.Fleet.ResolveSoftware(r.c.service, r.c.software.ID),
	}
}

// start registers the run on a target, so that moves find it. Its load was counted when the target was chosen.
func (r *run) start(to placement) {
	target := to.target
	r.mu.Lock()
	r.target = target
	if to.recounted {
		to.load = fleet.Load{Tokens: r.load.Tokens}
		r.g.Fleet.AddLoad(target.ID, fleet.Load{Runs: 1, Tokens: r.load.Tokens})
	}
	r.load = to.load
	r.handoff = nil
	r.waiting = false
	if r.reserved.target == target.ID {
		r.reserved = reservation{} // the run's own load replaces it
	}
	r.mu.Unlock()
	r.g.runs.add(target.ID, r)
	r.g.notifyOwners()
	if r.c.engine != nil && r.c.engine.SupportsMoves && !r.staysOnLeaving() && r.g.Fleet.IsLeaving(target.ID) {
		go r.g.move(r, target, time.Now(), moveplan.Step{})
	}
}

// leave deregisters the run from its target and reports the outcome.
func (r *run) leave(e end, x *exchange) {
	r.g.runs.remove(x.target.ID, r)
	r.mu.Lock()
	counted := r.load
	r.mu.Unlock()
	outcome := r.g.judge(x.target, e.outcome(), x.direct)
	r.g.Fleet.Release(time.Now(), x.target.ID, counted, outcome)
	if r.g.Owners != nil {
		r.g.Owners.RecordOutcome(x.target.ID, outcome)
	}
	r.g.notifyOwners()
}

// outcome classifies a run's end for its target's health.
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

// finish ends the run for good and releases what a move may have prepared for it.
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

// addOutput counts the output of events, and adds load beyond what was expected of the run.
func (r *run) addOutput(events int) {
	if r.c.engine == nil {
		return
	}
	tokens := events * max(1, r.c.engine.TokensPerEvent)
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

// awaitHandoff waits for the copy made by a move.
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
