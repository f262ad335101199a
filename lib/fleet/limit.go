package fleet

import (
	"math"
	"time"
)

// Limit is the rate of requests, from all instances together, that a target has announced to accept. The zero Limit means none.
type Limit struct {
	On        bool
	PerSecond float64
}

// Valid reports whether the limit is a usable rate.
func (l Limit) Valid() bool {
	return !l.On || l.PerSecond >= 0 && !math.IsInf(l.PerSecond, 1)
}

// LimitNotice is the limit that a target announced in a response.
type LimitNotice struct {
	Limit
	RequestedAt time.Time // when the request was sent, which is before the response was made
	ReceivedAt  time.Time // when the response arrived; zero: there was none
	Relayed     bool      // another instance received the response
	Brittle     bool      // the target is brittle, and the limit follows from its rejections (RoomLimit)
}

// supersedes reports whether a notice replaces an earlier one.
//
// Responses on different connections overtake each other. Of two notices that may have been made in either order, the stricter one
// holds until the response to a request that was sent after both.
func (n *LimitNotice) supersedes(old *LimitNotice) bool {
	if n.RequestedAt.After(old.ReceivedAt) {
		return true
	}
	return n.On && (!old.On || n.PerSecond < old.PerSecond)
}

// ApplyLimit applies a notice received by this or another instance. It reports whether the limit changed.
func (f *Fleet) ApplyLimit(id string, n LimitNotice) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[id]
	if t == nil || n.ReceivedAt.IsZero() || !n.Valid() || !n.supersedes(&t.limit) {
		return false
	}
	changed := n.Limit != t.limit.Limit
	if changed {
		t.pacer.holdOff = time.Time{}
	}
	t.limit = n
	if n.On {
		f.index.signalled[t.ID] = t
	}
	return changed
}

// LimitOf returns the current limit notice of a target.
func (f *Fleet) LimitOf(id string) LimitNotice {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[id]; t != nil {
		return t.limit
	}
	return LimitNotice{}
}

// TotalLimit adds up the limits of those of the given targets that accept requests; ok is false unless each of them has one.
func (f *Fleet) TotalLimit(ids []string) (perSecond float64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		t := f.targets[id]
		if t == nil || !f.accepts(t) {
			continue
		}
		if !t.limit.On {
			return 0, false
		}
		perSecond += t.limit.PerSecond
		ok = true
	}
	return perSecond, ok
}

// Permit is the result of asking to send one request to a target with a limit.
type Permit struct {
	Granted    bool
	RetryAfter time.Duration // when to ask again, if not granted
}

// Permit grants or denies an instance's request for a permit, on behalf of the target's owner. With force it is always granted and counted
// against later requests: such a request must be sent because a run would be lost. ok is false if the target is unknown.
//
// An overloaded target takes a few requests per second from all instances together, and every instance has requests for it. A fixed share
// per instance would be less than one request and would go unused where no request arrives, so each request asks for a permit.
func (f *Fleet) Permit(now time.Time, id, instance string, force bool) (p Permit, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[id]
	if t == nil {
		return Permit{}, false
	}
	pace, paced := f.pace(now, t)
	if !paced {
		return Permit{Granted: true}, true
	}
	limiter := f.ownerLimiter(now, t, pace)
	if force {
		limiter.ReserveN(now, 1)
		return Permit{Granted: true}, true
	}
	if limiter.AllowN(now, 1) {
		delete(t.pacer.denied, instance)
		return Permit{Granted: true}, true
	}
	untilToken := (1 - limiter.TokensAt(now)) / pace
	spread := contentionSpread * float64(t.pacer.recordDenied(now, instance)) / pace
	return Permit{RetryAfter: time.Duration((untilToken + f.random()*spread) * float64(time.Second))}, true
}

// recordDenied records that an instance is waiting for a permit, and returns how many are.
func (p *pacer) recordDenied(now time.Time, instance string) int {
	if p.denied == nil {
		p.denied = make(map[string]time.Time)
	}
	p.denied[instance] = now
	for name, at := range p.denied {
		if now.Sub(at) > deniedTTL {
			delete(p.denied, name)
		}
	}
	return len(p.denied)
}

// PermitWithoutOwner draws from this instance's own share of a limited target's rate while no owner can be reached.
func (f *Fleet) PermitWithoutOwner(now time.Time, id string) Permit {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[id]
	if t == nil {
		return Permit{}
	}
	pace, paced := f.pace(now, t)
	if !paced {
		return Permit{Granted: true}
	}
	limiter := f.localLimiter(now, t, noOwnerShare*pace, noOwnerShare*pace)
	switch {
	case limiter == nil:
		return Permit{RetryAfter: noShareRetryAfter}
	case limiter.AllowN(now, 1):
		return Permit{Granted: true}
	}
	return Permit{RetryAfter: time.Duration((1 - limiter.TokensAt(now)) / float64(limiter.Limit()) * float64(time.Second))}
}

// noShareRetryAfter is when an instance without a share of its own asks an owner again.
const noShareRetryAfter = 500 * time.Millisecond

// HoldOff records that this instance gets no permit for a target for the given time.
func (f *Fleet) HoldOff(now time.Time, id string, after time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[id]; t != nil && t.limit.On {
		t.pacer.holdOff = now.Add(max(after, time.Millisecond))
	}
}
