package fleet

import (
	"math"
	"time"
)

// A brittle target falls over when it has to reject more than a number of requests within a second for want of room, from all instances
// together. While it rejects, it is given a limit, like one that it announces itself: the owner's permits hold for all instances, which
// no bound that each instance keeps by itself does. The limit grows with each response until it no longer matters.
const (
	// rejectedPace is the limit after a rejection, as a share of the rejections that the target may make in a second: each request sent
	// may be rejected, and those under way when the first was rejected count, too.
	rejectedPace = 0.25
	// rejectedAgain is the factor on a limit under which a request was rejected, and rejectedFloor the share of the rejections allowed to
	// which that reduces it at most. Near what a target can serve, few requests of a second are rejected.
	rejectedAgain = 0.85
	rejectedFloor = 1.0 / 16
	// The limit grows after a response that is no rejection, at most each roomGrowthInterval: by roomFastGrowth up to roomFast times the
	// rejections allowed, of which a wrong guess uses up few, and by roomGrowth beyond.
	roomGrowthInterval = 200 * time.Millisecond
	roomFastGrowth     = 2.0
	roomFast           = 4
	roomGrowth         = 1.15
	// roomEnd is the limit, as a multiple of the rejections allowed, from which there is none.
	roomEnd = 16
	// brittleConcurrency is the number of requests that a brittle plain target may hold, as a multiple of its slots: each instance holds
	// its share, or brittleMinConcurrency.
	brittleConcurrency    = 2
	brittleMinConcurrency = 2
	// maxBrittle bounds the number that a target may name; a larger one means that it is not brittle in effect.
	maxBrittle = 1e6
)

// Brittle is what a response says of its target's brittleness. The zero Brittle means that the target is not.
type Brittle struct {
	On          bool
	MaxRejected float64 // requests that it may reject within a second
}

// Valid reports whether the number can be used.
func (b Brittle) Valid() bool { return b.MaxRejected >= 0 && b.MaxRejected <= maxBrittle }

// MarkBrittle records whether a target is brittle, as its responses say. It reports whether that has changed.
func (f *Fleet) MarkBrittle(id string, b Brittle) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[id]
	if t == nil || t.brittle == b {
		return false
	}
	changed := t.brittle.On != b.On
	t.brittle = b
	return changed
}

// FirstInvalidBrittle reports whether a target has not named an invalid number before, and records that it has.
func (f *Fleet) FirstInvalidBrittle(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[id]
	if t == nil || t.brittleFault {
		return false
	}
	t.brittleFault = true
	return true
}

// RoomLimit returns the limit to apply to a brittle target after the response to a request that was sent at sentAt, given the limit that
// the response announces; ok is false if nothing changes.
func (b Brittle) RoomLimit(now, sentAt time.Time, current LimitNotice, announced Limit, rejected bool) (l Limit, ok bool) {
	switch {
	case rejected && !current.On:
		l = Limit{On: true, PerSecond: rejectedPace * b.MaxRejected}
	case rejected && sentAt.Before(current.ReceivedAt):
		return Limit{}, false // sent before the limit was reduced
	case rejected:
		l = Limit{On: true, PerSecond: max(rejectedAgain*current.PerSecond, rejectedFloor*b.MaxRejected)}
	case !current.On || announced.On && announced.PerSecond <= current.PerSecond:
		return announced, true
	case now.Sub(current.ReceivedAt) < roomGrowthInterval:
		return Limit{}, false
	default:
		l = Limit{On: true, PerSecond: max(current.PerSecond, probePace)}
		if l.PerSecond < roomFast*b.MaxRejected {
			l.PerSecond *= roomFastGrowth
		} else {
			l.PerSecond *= roomGrowth
		}
		if l.PerSecond >= roomEnd*max(1, b.MaxRejected) {
			return announced, true
		}
	}
	if announced.On {
		l.PerSecond = min(l.PerSecond, announced.PerSecond)
	}
	return l, true
}

// hasRoom reports whether this instance may send one more request to a plain target. While a target is brittle, each instance holds only its
// share of what the target can serve and let wait.
func (f *Fleet) hasRoom(t *Target, spec *Spec) bool {
	if !t.brittle.On || spec.KVTokens > 0 || t.Slots <= 0 {
		return true
	}
	share := math.Ceil(f.share * brittleConcurrency * float64(t.Slots))
	return t.local.Runs < max(brittleMinConcurrency, int(share))
}
