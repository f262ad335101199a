package fleet

import (
	"time"

	"golang.org/x/time/rate"
)

// A target is paced while it is cold or has announced a limit. It then receives at most its pace and half as much again from all instances
// together: its owner hands out the pace, with a burst of ownerBurst, and instances that can't reach the owner share noOwnerShare of it.
// Cold targets without owners (those of plain services) are paced by the instances themselves, which share the pace. No burst is below one
// request. Capacity that a limited target leaves unused for a moment may be used a little later (limitBurst, at least limitMinBurst
// requests); otherwise much of it would go unused.
const (
	ownerBurst    = 0.2  // seconds of the pace
	limitBurst    = 0.4  // seconds of the limit
	limitMinBurst = 2    // requests
	noOwnerShare  = 0.15 // of the pace
	plainBurst    = 0.5  // seconds of the pace
	// probePace is the lowest pace in requests per second: only a response can show that a limit of zero has ended.
	probePace = 0.2
	// deniedTTL is how long an instance that was denied a permit counts as waiting for one.
	deniedTTL = 2 * time.Second
	// contentionSpread spreads the retry times of instances that wait for permits. With half of one permit's interval per instance, about
	// two instances ask for each permit that becomes available.
	contentionSpread = 0.5
)

// pacer limits what this instance grants for, and sends to, a paced target.
type pacer struct {
	owner   *rate.Limiter        // grants of this instance as the target's owner, to others and to itself
	local   *rate.Limiter        // requests sent by this instance's own choice
	denied  map[string]time.Time // instances that this instance, as the owner, denied a permit
	holdOff time.Time            // this instance gets no permit until then
}

// SetSenders sets the function that reports whether this instance is one of the n that may send to a paced target without an owner.
func (f *Fleet) SetSenders(among func(target string, n int) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.senders = among
}

// startCold marks a target as cold for some time from now on.
func (f *Fleet) startCold(now time.Time, t *Target, duration time.Duration) {
	if until := now.Add(duration); until.After(t.coldUntil) {
		t.coldUntil = until
	}
}

// isCold reports whether a target takes requests at a reduced rate because it has just started.
func (f *Fleet) isCold(now time.Time, t *Target) bool {
	return now.Before(t.coldUntil) && f.specs[t.Service].ColdRate > 0
}

// pace returns the rate of requests that a target takes from all instances together; ok is false if it is not paced.
func (f *Fleet) pace(now time.Time, t *Target) (perSecond float64, ok bool) {
	if t.limit.On {
		perSecond, ok = max(t.limit.PerSecond, probePace), true
	}
	if f.isCold(now, t) {
		if cold := f.specs[t.Service].ColdRate; !ok || cold < perSecond {
			perSecond = cold
		}
		ok = true
	}
	return perSecond, ok
}

func (f *Fleet) isPaced(now time.Time, t *Target) bool {
	_, paced := f.pace(now, t)
	return paced
}

// paceAllows reports whether the pace of a target admits one more request now. A target with a limit may be chosen by any instance that may
// still get a permit.
//
// It prevents this failure: a group of engines returns empty, so they look least loaded to every instance and all of them send there; a
// cold engine that gets more than it can take crashes with all its runs.
func (f *Fleet) paceAllows(now time.Time, t *Target, n *Need) bool {
	pace, paced := f.pace(now, t)
	switch {
	case n.Granted || !paced:
		return true
	case n.asOwner:
		return f.ownerLimiter(now, t, pace).TokensAt(now) >= 1
	case t.limit.On:
		return !now.Before(t.pacer.holdOff)
	}
	l := f.coldLimiter(now, t, pace)
	return l != nil && l.TokensAt(now) >= 1
}

// countPaced counts one request against the pace of a target. Requests that an instance sends to a limited target by its own choice are
// counted with their permit instead.
func (f *Fleet) countPaced(now time.Time, t *Target, n *Need) {
	pace, paced := f.pace(now, t)
	switch {
	case n.Granted || !paced:
	case n.asOwner:
		f.ownerLimiter(now, t, pace).AllowN(now, 1)
	case !t.limit.On:
		if l := f.coldLimiter(now, t, pace); l != nil {
			l.AllowN(now, 1)
		}
	}
}

func (f *Fleet) ownerLimiter(now time.Time, t *Target, pace float64) *rate.Limiter {
	burst := ownerBurst * pace
	switch {
	case f.isCold(now, t) || !t.limit.On:
	case t.limit.Brittle:
		burst = limitMinBurst // requests that arrive together are rejected together
	default:
		burst = max(limitMinBurst, limitBurst*pace)
	}
	return adjust(&t.pacer.owner, now, pace, burst)
}

// coldLimiter returns the limiter of this instance's own choices of a cold target; nil if it may not choose the target.
func (f *Fleet) coldLimiter(now time.Time, t *Target, pace float64) *rate.Limiter {
	share, burst := pace, plainBurst*pace
	if f.specs[t.Service].KVTokens > 0 {
		share, burst = noOwnerShare*pace, noOwnerShare*pace
	}
	return f.localLimiter(now, t, share, burst)
}

// localLimiter returns the limiter of this instance's part of a share of a target's pace; nil if it has none.
func (f *Fleet) localLimiter(now time.Time, t *Target, share, burst float64) *rate.Limiter {
	senders := max(1, int(burst)) // each has a burst of one
	if f.senders != nil && !f.senders(t.ID, senders) {
		return nil
	}
	return adjust(&t.pacer.local, now, share/float64(senders), 1)
}

// adjust sets the rate and burst of a limiter, creating it if needed.
func adjust(l **rate.Limiter, now time.Time, perSecond, burst float64) *rate.Limiter {
	limit, n := rate.Limit(perSecond), max(1, int(burst))
	if *l == nil {
		*l = rate.NewLimiter(limit, n)
		return *l
	}
	if (*l).Limit() != limit || (*l).Burst() != n {
		(*l).SetLimitAt(now, limit)
		(*l).SetBurstAt(now, n)
	}
	return *l
}
