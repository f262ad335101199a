package fleet

import (
	"time"

	"golang.org/x/time/rate"
)

// What a target that has just started gets in any second is at most its rate and half as much again, from all instances together:
// an owner gives out the rate, with a burst of ownerBurst of it, and instances that decide alone share alonePart of it, with a
// burst of as much. Where nobody owns targets, those that decide alone share the rate, with a burst of plainBurst of it. No burst is
// under one request, so a rate under ten a second is passed by one or two.
const (
	ownerBurst = 0.2
	alonePart  = 0.15
	plainBurst = 0.5
)

// coldLimits bound what this instance gives to a target that has just started.
type coldLimits struct {
	owner *rate.Limiter // what it grants to others and to itself as the target's owner
	alone *rate.Limiter // what it sends by its own choice
}

// SetSenders sets what says whether this instance is one of the n that may send to a cold target by their own choice.
func (f *Fleet) SetSenders(among func(target string, n int) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.senders = among
}

// startCold notes that a target is slow for some time from now on.
func (f *Fleet) startCold(now time.Time, t *Target, last time.Duration) {
	if until := now.Add(last); until.After(t.coldUntil) {
		t.coldUntil = until
	}
}

// isCold reports whether a target takes few requests because it has just started.
func (f *Fleet) isCold(now time.Time, t *Target) bool {
	return now.Before(t.coldUntil) && f.specs[t.Service].ColdRate > 0
}

// coldAllows reports whether a target may get one more request now: always, unless it has just started.
//
// Failure: a group of engines comes back empty, so they look the roomiest of all, every instance sends there, and a cold engine that
// gets more than it bears crashes with all that it runs.
func (f *Fleet) coldAllows(now time.Time, t *Target, n *Need) bool {
	if n.Granted || !f.isCold(now, t) {
		return true
	}
	l := f.limiter(t, n)
	return l != nil && l.TokensAt(now) >= 1
}

// countCold takes one request off what a cold target may get.
func (f *Fleet) countCold(now time.Time, t *Target, n *Need) {
	if n.Granted || !f.isCold(now, t) {
		return
	}
	if l := f.limiter(t, n); l != nil {
		l.AllowN(now, 1)
	}
}

// limiter returns what bounds a choice of a cold target; nil when this instance may not choose it.
func (f *Fleet) limiter(t *Target, n *Need) *rate.Limiter {
	spec := f.specs[t.Service]
	if t.cold == nil {
		t.cold = new(coldLimits)
	}
	if n.asOwner {
		if t.cold.owner == nil {
			t.cold.owner = newLimiter(spec.ColdRate, ownerBurst*spec.ColdRate)
		}
		return t.cold.owner
	}
	share, burst := spec.ColdRate, plainBurst*spec.ColdRate
	if spec.KVTokens > 0 {
		share, burst = alonePart*spec.ColdRate, alonePart*spec.ColdRate
	}
	senders := max(1, int(burst)) // each has a burst of one
	if f.senders != nil && !f.senders(t.ID, senders) {
		return nil
	}
	if t.cold.alone == nil {
		t.cold.alone = newLimiter(share/float64(senders), 1)
	}
	return t.cold.alone
}

func newLimiter(perSecond, burst float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(burst)))
}
