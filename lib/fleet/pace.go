package fleet

import (
	"time"

	"golang.org/x/time/rate"
)

// A target is paced while it takes few requests a second: it has just started, or it has named a limit. What it then gets is at most
// its pace and half as much again, from all instances together: its owner gives out the pace, with a burst of ownerBurst of it, and
// instances that reach no owner share alonePart of it. Where nobody owns targets that have just started, the instances share the pace.
// No burst is under one request. What a target with a limit has left for a moment may be sent a little later, two requests at least, or
// much of it would go unused.
const (
	ownerBurst    = 0.2  // seconds of the pace
	limitBurst    = 0.4  // seconds of the limit
	limitMinBurst = 2    // requests
	noOwnerShare  = 0.15 // of the pace
	plainBurst    = 0.5  // seconds of the pace
	// probePace is the least pace, in requests a second: only an answer shows that a limit of none has ended.
	probePace = 0.2
	// deniedTTL is how long an instance that was denied a permit is taken to want one.
	deniedTTL = 2 * time.Second
	// contentionSpread spreads the times told to instances that want permits: with half of one permit's time for each, about two ask for each
	// permit that comes up.
	contentionSpread = 0.5
)

// pacer bounds what a paced target gets by way of this instance.
type pacer struct {
	owner   *rate.Limiter        // what it grants to others and to itself as the target's owner
	local   *rate.Limiter        // what it sends by its own choice
	denied  map[string]time.Time // instances that it denied a permit, as the target's owner
	holdOff time.Time            // no permit is to be had for this instance until then
}

// SetSenders sets what says whether this instance is one of the n that may send to a paced target by their own choice.
func (f *Fleet) SetSenders(among func(target string, n int) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.senders = among
}

// startCold notes that a target is slow for some time from now on.
func (f *Fleet) startCold(now time.Time, t *Target, duration time.Duration) {
	if until := now.Add(duration); until.After(t.coldUntil) {
		t.coldUntil = until
	}
}

// isCold reports whether a target takes few requests because it has just started.
func (f *Fleet) isCold(now time.Time, t *Target) bool {
	return now.Before(t.coldUntil) && f.specs[t.Service].ColdRate > 0
}

// pace is how many requests a second a target takes from all instances together; ok is false when it takes as many as ever.
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

// paceAllows reports whether a target may be chosen for one more request now: always, unless it is paced. One that has named a limit
// may be chosen by any instance that hopes for a permit.
//
// Failure: a group of engines comes back empty, so they look the roomiest of all, every instance sends there, and a cold engine that
// gets more than it bears crashes with all that it runs.
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

// countPaced takes one request off what a paced target may get. What goes to one with a limit by an instance's own choice is counted
// with its permit.
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
	if t.limit.On && !f.isCold(now, t) {
		burst = max(limitMinBurst, limitBurst*pace)
	}
	return adjust(&t.pacer.owner, now, pace, burst)
}

// coldLimiter returns what bounds this instance's choices of a cold target; nil when it may not choose it.
func (f *Fleet) coldLimiter(now time.Time, t *Target, pace float64) *rate.Limiter {
	share, burst := pace, plainBurst*pace
	if f.specs[t.Service].KVTokens > 0 {
		share, burst = noOwnerShare*pace, noOwnerShare*pace
	}
	return f.localLimiter(now, t, share, burst)
}

// localLimiter returns this instance's part of a share of a target's pace; nil when it has none.
func (f *Fleet) localLimiter(now time.Time, t *Target, share, burst float64) *rate.Limiter {
	senders := max(1, int(burst)) // each has a burst of one
	if f.senders != nil && !f.senders(t.ID, senders) {
		return nil
	}
	return adjust(&t.pacer.local, now, share/float64(senders), 1)
}

// adjust brings a limiter to a rate and a burst, and makes it if it is not there.
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
