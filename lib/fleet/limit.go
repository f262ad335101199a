package fleet

import (
	"math"
	"time"
)

// Limit is how many requests a second a target takes from all instances together, by its own word. The zero Limit is none.
type Limit struct {
	On        bool
	PerSecond float64
}

// Valid reports whether a limit can be kept to.
func (l Limit) Valid() bool {
	return !l.On || l.PerSecond >= 0 && !math.IsInf(l.PerSecond, 1)
}

// LimitNotice is an answer's word of its target's limit.
type LimitNotice struct {
	Limit
	RequestedAt time.Time // when the request was sent, so that the answer was made later
	ReceivedAt  time.Time // when the answer came; the zero time: no answer has
	Relayed     bool      // another instance got the answer
}

// after reports whether a word holds in place of another.
//
// Answers on different connections overtake each other: of two that may have been made in any order the stricter one holds, until
// the answer to a request that was sent after both.
func (w *LimitNotice) after(old *LimitNotice) bool {
	if w.RequestedAt.After(old.ReceivedAt) {
		return true
	}
	return w.On && (!old.On || w.PerSecond < old.PerSecond)
}

// ApplyLimit takes in the word of an answer that this or another instance got. It reports whether that changes the limit.
func (f *Fleet) ApplyLimit(id string, w LimitNotice) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[id]
	if t == nil || w.ReceivedAt.IsZero() || !w.Valid() || !w.after(&t.limit) {
		return false
	}
	changed := w.Limit != t.limit.Limit
	if changed {
		t.pacer.holdOff = time.Time{}
	}
	t.limit = w
	if w.On {
		f.index.worded[t.ID] = t
	}
	return changed
}

// LimitOf returns the newest word of a target's limit.
func (f *Fleet) LimitOf(id string) LimitNotice {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[id]; t != nil {
		return t.limit
	}
	return LimitNotice{}
}

// TotalLimit adds up the limits, in requests a second, of those of some targets that take requests; ok is false unless each has one.
func (f *Fleet) TotalLimit(ids []string) (perSecond float64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		t := f.targets[id]
		if t == nil || !f.takes(t) {
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

// Permit is the leave to send one request to a target that has named a limit.
type Permit struct {
	Granted    bool
	RetryAfter time.Duration // when to ask again, if it is not given
}

// Permit gives an instance leave to send a request, as the target's owner. What must be sent, because a run would be lost, is given
// always and counted against those that come after it. ok is false when the target is not known here.
//
// Load pattern: a target in need takes a few requests a second from all instances together, and each of them has requests for it. Shares
// of so little are under one request for each and go unused where no request comes, so each request asks.
func (f *Fleet) Permit(now time.Time, id, instance string, must bool) (p Permit, ok bool) {
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
	l := f.ownerLimiter(now, t, pace)
	if must {
		l.ReserveN(now, 1)
		return Permit{Granted: true}, true
	}
	if l.AllowN(now, 1) {
		delete(t.pacer.denied, instance)
		return Permit{Granted: true}, true
	}
	next := (1 - l.TokensAt(now)) / pace
	crowd := crowdPart * float64(t.pacer.deny(now, instance)) / pace
	return Permit{RetryAfter: time.Duration((next + f.random()*crowd) * float64(time.Second))}, true
}

// deny notes that an instance wants a permit, and returns how many do.
func (p *pacer) deny(now time.Time, instance string) int {
	if p.denied == nil {
		p.denied = make(map[string]time.Time)
	}
	p.denied[instance] = now
	for name, at := range p.denied {
		if now.Sub(at) > deniedFor {
			delete(p.denied, name)
		}
	}
	return len(p.denied)
}

// PermitWithoutOwner gives this instance's own part of what a target with a limit takes, while no owner answers.
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
	l := f.aloneLimiter(now, t, alonePart*pace, alonePart*pace)
	switch {
	case l == nil:
		return Permit{RetryAfter: aloneAgain}
	case l.AllowN(now, 1):
		return Permit{Granted: true}
	}
	return Permit{RetryAfter: time.Duration((1 - l.TokensAt(now)) / float64(l.Limit()) * float64(time.Second))}
}

// aloneAgain is when an instance without a part of its own asks an owner again.
const aloneAgain = 500 * time.Millisecond

// HoldOff notes that this instance gets no permit for a target for some time.
func (f *Fleet) HoldOff(now time.Time, id string, after time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[id]; t != nil && t.limit.On {
		t.pacer.holdOff = now.Add(max(after, time.Millisecond))
	}
}
