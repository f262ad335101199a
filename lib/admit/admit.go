// Package admit decides what a stream does that comes to crowded engines: go to one now, wait, or come back later.
//
// Load pattern: engines leave in groups at short notice and others start empty some seconds later, so for seconds at a
// time there is less engine memory, and less time for reading prompts, than streams ask for. Whoever is sent to a full
// engine waits there although another has room first, or pushes a run out, whose prompt is read again; then all are late.
// Streams wait with their instance instead, where they take up no memory, and those that would be late anywhere are told
// so at once.
//
// Nothing here does I/O or reads a clock: the caller asks again after Poll for as long as the answer is Wait.
package admit

import (
	"math/rand/v2"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
)

const (
	// PollInterval is the pause between two steps of a stream that waits: about the age of peers' news.
	PollInterval = 20 * time.Millisecond
	// waitShare is the part of a stream's aim that it waits for an engine with room.
	waitShare = 0.6
	// backShare is how many aims a stream waits that has come back: refused once more its caller has nothing. Callers give up
	// after 4.
	backShare = 3
	// readShare is the part of a stream's aim within which the prompts that wait on an engine must be read, with its own.
	// Engines that started empty were sent six or seven prompts at once, read one after another, and nine in ten of the
	// last were late.
	readShare = 0.6
	// leftShare is the part of the aim by which the prompts must be read, the wait included. The rest is for what is not
	// foreseen.
	leftShare = 0.9
	// awayMin is the least time after which a stream that found no room is asked to come back. What frees up sooner goes
	// to streams that wait already.
	awayMin = time.Second
)

// Stream is what is known of a stream when it comes.
type Stream struct {
	Arrived       time.Time
	Objective     time.Duration // to its first event, from its arrival; 0: none, it is never late
	MaxRetryAfter time.Duration // longest time to stay away that its caller keeps to
	IsRetry       bool          // its caller has come back as told
	Need          fleet.Need    // of an engine; Peak with the run's whole size
}

// WaitDeadline is until when the stream waits for room.
//
// Load pattern: memory is short for seconds, and streams that were told to come back do so while it still is. One that has come
// back is past its aim, and refused a second time its caller has nothing. Placed before all others it would be late all the same
// and make those late, too. So it waits for longer, behind those that can still be in time, and for no more than half of the time
// that its caller has left, of which Keeps is a third.
func (s *Stream) WaitDeadline() time.Time {
	if s.IsRetry {
		return s.Arrived.Add(min(time.Duration(backShare*float64(s.Objective)), 3*s.MaxRetryAfter/2))
	}
	return s.Arrived.Add(time.Duration(waitShare * float64(s.Objective)))
}

// Action is what a stream does now.
type Action uint8

// Values of Action.
const (
	Wait       Action = iota // ask again after Poll
	Admit                    // to Target, where it is counted
	RetryLater               // it would be late anywhere: come back after After
	Fallback                 // no engine is known to take requests, or none has room for a stream that can't be late: take any
)

// Decision is an Action with its object.
type Decision struct {
	Action     Action
	Target     fleet.Info
	RetryAfter time.Duration
}

// Placer decides for the streams of one instance.
type Placer struct {
	Fleet   *fleet.Fleet
	Prefill *PrefillRates
	Random  func(n int64) int64 // up to n, n left out; nil: math/rand
	// Acquire chooses a target and counts the stream there; nil: Fleet.Acquire.
	Acquire func(now time.Time, need fleet.Need) (fleet.Info, bool)
}

// Step decides what a stream does at now.
//
// Streams that wait at an instance that decides alone stand in no order: the first may find no room for long while the others would.
// An owner has an order in which they don't stand by meanwhile (lib/owner).
func (p *Placer) Step(now time.Time, s Stream) Decision {
	need := s.Need
	need.RequireMemory = true
	if s.Objective > 0 {
		need.MaxUnread = p.Prefill.TokensWithin(need.Service, s.readTime(now))
	}
	take := p.Acquire
	if take == nil {
		take = p.Fleet.Acquire
	}
	if target, ok := take(now, need); ok {
		return Decision{Action: Admit, Target: target}
	}
	if p.Fleet.AllExcluded(need) {
		return Decision{Action: Fallback}
	}
	if now.Before(s.WaitDeadline()) {
		return Decision{Action: Wait}
	}
	if p.Fleet.Availability(now, need).Accepting == 0 || s.Objective <= 0 {
		return Decision{Action: Fallback}
	}
	return p.Reject(s)
}

// Reject turns a stream away, with a time to come back.
func (p *Placer) Reject(s Stream) Decision {
	return Decision{Action: RetryLater, RetryAfter: p.away(s.MaxRetryAfter)}
}

// readTime is how long the prompts on an engine may take that is chosen now: a part of the aim, and no more than is left
// of it after the wait.
func (s *Stream) readTime(now time.Time) time.Duration {
	if s.IsRetry {
		return time.Duration(readShare * float64(s.Objective))
	}
	left := time.Duration(leftShare*float64(s.Objective)) - now.Sub(s.Arrived)
	return max(1, min(time.Duration(readShare*float64(s.Objective)), left))
}

// away is how long a stream that found no room should stay away. Engines stay full for seconds, and callers must not all
// come back at once: the time is drawn from all that they keep to.
func (p *Placer) away(keeps time.Duration) time.Duration {
	if keeps <= awayMin {
		return keeps
	}
	random := p.Random
	if random == nil {
		random = rand.Int64N
	}
	return awayMin + time.Duration(random(int64(keeps-awayMin)))
}
