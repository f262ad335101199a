// Package admit decides whether a stream goes to an engine now, waits for capacity, or is rejected with a time to retry.
//
// Engines leave in groups at short notice, and replacements start empty some seconds later, so for seconds at a time there is less engine
// memory and prefill capacity than streams need. A stream sent to a full engine waits there although another engine may have capacity
// first, or preempts a run, whose prompt must then be prefilled again; all of them end up late. Streams therefore wait at their instance,
// where they use no engine memory, and those that would be late on any engine are rejected early.
//
// The package does no I/O and reads no clock: the caller calls Step again after PollInterval while the answer is Wait.
package admit

import (
	"math/rand/v2"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
)

const (
	// PollInterval is the pause between two steps of a waiting stream: about the age of the peers' load updates.
	PollInterval = 20 * time.Millisecond
	// maxWaitShare is the share of a stream's latency objective that it may wait for an engine with capacity.
	maxWaitShare = 0.6
	// retryWaitObjectives is how many latency objectives a retried stream waits: if rejected again, its caller is left with nothing.
	// Callers give up after 4.
	retryWaitObjectives = 3
	// prefillShare is the share of a stream's objective within which the prompts waiting on an engine, its own included, must be
	// prefilled. Without it, engines that started empty were sent six or seven prompts at once; prefilled one after another, nine in ten
	// of the last ones were late.
	prefillShare = 0.6
	// prefillDeadlineShare is the share of the objective by which prefill must be done, counted from arrival. The rest is a reserve for
	// unforeseen delays.
	prefillDeadlineShare = 0.9
	// MinRetryAfter is the shortest retry time given to rejected streams. Capacity that frees up sooner goes to streams that already
	// wait.
	MinRetryAfter = time.Second
)

// Stream describes an arriving stream.
type Stream struct {
	Arrived       time.Time
	Objective     time.Duration // from arrival to the first event; 0: none, the stream is never late
	MaxRetryAfter time.Duration // longest retry time that the caller respects
	IsRetry       bool          // the caller has retried after a rejection
	Workspace     uint64        // hash of the workspace's name; 0: unknown
	Priority      int           // 0 is the most urgent
	GapObjective  time.Duration // longest pause between events that counts as fully useful; 0: none
	Need          fleet.Need    // requirements on the engine; Peak with the run's whole size
}

// WaitDeadline returns until when the stream waits for capacity.
//
// Memory shortages last for seconds, and rejected streams retry while they still last. A retried stream is already past its objective; if
// rejected again, its caller is left with nothing. Placed before all others it would still be late and delay them, too. So it waits longer,
// behind streams that can still be on time, but for no more than half of the time its caller has left, of which MaxRetryAfter is a third.
func (s *Stream) WaitDeadline() time.Time {
	if s.IsRetry {
		return s.Arrived.Add(min(time.Duration(retryWaitObjectives*float64(s.Objective)), 3*s.MaxRetryAfter/2))
	}
	return s.Arrived.Add(time.Duration(maxWaitShare * float64(s.Objective)))
}

// Action is the decision on a stream.
type Action uint8

// Values of Action.
const (
	Wait       Action = iota // call Step again after PollInterval
	Admit                    // send to Target, where the stream has been counted
	RetryLater               // would be late on any engine: reject with RetryAfter
	Fallback                 // no engine is known to accept requests, or none has capacity for a stream without objective: take any
)

// Decision is an Action with its target or retry time.
type Decision struct {
	Action     Action
	Target     fleet.Info
	RetryAfter time.Duration
}

// Placer decides on the streams of one instance.
type Placer struct {
	Fleet   *fleet.Fleet
	Prefill *PrefillRates
	Random  func(n int64) int64 // in [0, n); nil: math/rand
	// Acquire chooses a target and counts the stream there; nil: Fleet.Acquire.
	Acquire func(now time.Time, need fleet.Need) (fleet.Info, bool)
	// PrefillTime returns the time that a target takes to prefill a prompt token at this moment; 0: as Prefill estimates for the service. It
	// must not call the Fleet. nil: that applies to all targets.
	PrefillTime func(target string) time.Duration
}

// Step decides on a stream at the given time.
//
// Without an owner, waiting streams of an instance have no order: the first may find no capacity for long while others would. An
// owner keeps an order that avoids idle capacity (lib/owner).
func (p *Placer) Step(now time.Time, s Stream) Decision {
	need := p.needNow(now, s)
	acquire := p.Acquire
	if acquire == nil {
		acquire = p.Fleet.Acquire
	}
	if target, ok := acquire(now, need); ok {
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

// needNow returns what a stream requires of an engine that is chosen now.
func (p *Placer) needNow(now time.Time, s Stream) fleet.Need {
	need := s.Need
	need.RequireMemory = true
	if s.Objective > 0 {
		budget := s.PrefillBudget(now)
		need.MaxUnread = p.Prefill.TokensWithin(need.Service, budget)
		need.MaxUnreadOf = p.maxUnreadOf(budget)
	}
	return need
}

// HasRoom reports whether Step would admit a stream, without choosing a target.
func (p *Placer) HasRoom(now time.Time, s Stream) bool {
	return p.Fleet.HasRoom(now, p.needNow(now, s))
}

// maxUnreadOf returns a function that limits the prompt tokens waiting on a target to what it prefills within a time.
func (p *Placer) maxUnreadOf(budget time.Duration) func(target string) int {
	if p.PrefillTime == nil {
		return nil
	}
	return func(target string) int {
		perToken := p.PrefillTime(target)
		if perToken <= 0 {
			return 0
		}
		return max(1, int(budget/perToken))
	}
}

// Reject returns a decision that rejects a stream, with a time to retry.
func (p *Placer) Reject(s Stream) Decision {
	return Decision{Action: RetryLater, RetryAfter: p.retryAfter(s.MaxRetryAfter)}
}

// PrefillBudget returns how long the pending prompts on an engine chosen now may take: a share of the objective, and no more than is
// left of it after the wait.
func (s *Stream) PrefillBudget(now time.Time) time.Duration {
	if s.IsRetry {
		return time.Duration(prefillShare * float64(s.Objective))
	}
	left := time.Duration(prefillDeadlineShare*float64(s.Objective)) - now.Sub(s.Arrived)
	return max(1, min(time.Duration(prefillShare*float64(s.Objective)), left))
}

// retryAfter returns when a rejected stream should retry. Engines stay full for seconds and callers must not all return at once, so the
// time is random over the range that callers respect.
func (p *Placer) retryAfter(maxRetryAfter time.Duration) time.Duration {
	if maxRetryAfter <= MinRetryAfter {
		return maxRetryAfter
	}
	random := p.Random
	if random == nil {
		random = rand.Int64N
	}
	return MinRetryAfter + time.Duration(random(int64(maxRetryAfter-MinRetryAfter)))
}
