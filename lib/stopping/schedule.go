// Package stopping decides during a planned stop which calls can still be answered. Work must not be taken by the moment of its arrival alone: what is
// sent and cut at the end may have run, which no caller can repeat, while any other instance can answer what is refused.
package stopping

import (
	"cmp"
	"time"
)

// Schedule is the course of a planned stop.
type Schedule struct {
	// InRotation is until when balancers may still send new connections to the instance.
	InRotation time.Time
	// By is when open responses are aborted.
	By time.Time
}

// Call is what is known in advance of how long a call takes.
type Call struct {
	Likely  time.Duration // by recent calls of the same kind; 0: unknown
	Longest time.Duration // for the longest response that the caller accepts; 0: unknown
	First   time.Duration // until a stream's first event; 0: unknown
	Limit   time.Time     // when the call ends in any case; zero: it has no limit
	// Resumable says that the caller can continue an aborted response elsewhere.
	Resumable bool
}

const (
	// margin is the factor by which a call may take longer than recent ones and still end in time.
	margin = 1.5
	// slack is left for reading the request, the response and the scheduling of the process.
	slack = 200 * time.Millisecond
	// unknownCall is assumed of a call, or of a stream's first event, while its time is unknown.
	unknownCall = 3 * time.Second
	// unknownLongest is assumed of the longest response that a caller accepts, while that is unknown.
	unknownLongest = 20 * time.Second
)

// Allows reports whether a call may be sent to a target now: whether it can be answered before the stop aborts it.
//
// As long as balancers send new connections, a call is also sent whose time is unknown, or whose caller can resume it once it has begun: refusing all
// of them would cost the capacity of the instance at once. Afterwards callers reach it over connections that they have kept open, and any other
// instance can answer them.
func (s *Schedule) Allows(now time.Time, c Call) bool {
	left := s.By.Sub(now)
	inRotation := now.Before(s.InRotation)
	switch {
	case left <= 0:
		return false
	case !c.Limit.IsZero() && c.Limit.Before(s.By):
		return true
	case inRotation && c.Resumable:
		return fits(cmp.Or(c.First, unknownCall), left)
	case inRotation && c.Likely == 0:
		return fits(unknownCall, left)
	case inRotation:
		return fits(c.Likely, left)
	}
	return fits(cmp.Or(c.Longest, unknownLongest), left)
}

func fits(expected, left time.Duration) bool {
	return time.Duration(margin*float64(expected))+slack <= left
}
