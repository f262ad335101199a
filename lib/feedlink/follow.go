package feedlink

import (
	"context"
	"math/rand/v2"
	"time"
)

// Intervals of an instance that takes the tables from an upstream.
const (
	// readerProbeInterval is the interval, per rank, at which reader candidates probe the store while the upstream has lost it.
	readerProbeInterval = 400 * time.Millisecond
	// relayProbeInterval is the interval at which a relay probes the store once the upstream's contact is older than MaxAge: all reader
	// candidates may be cut off, and changes must take effect within two seconds.
	relayProbeInterval = 800 * time.Millisecond
	// followerProbeDelay is how long after MaxAge all other instances start to probe the store, and how often they do: all their relays
	// may be cut off, too.
	followerProbeDelay = 2500 * time.Millisecond
	// maxProbingRelays is the number of relays in a failure domain that probe the store as soon as the contact is older than MaxAge.
	maxProbingRelays = 3
	// reconsiderInterval is how often an instance checks whether it should read the store or take the tables from another upstream.
	reconsiderInterval = 500 * time.Millisecond
)

// switchUpstream looks for an upstream that ranks higher, and subscribes to it before the current source is given up, so that an upstream
// that is dead or has lost the store causes no gap.
func (t *Syncer) switchUpstream(ctx context.Context, now time.Time) bool {
	upstream, readSelf, _ := t.pickUpstream(now)
	if readSelf || upstream.Addr == "" {
		return false
	}
	s, err := t.subscribe(ctx, upstream)
	if err == nil {
		err = t.rejectReason(s)
	}
	if err != nil {
		t.avoidUpstream(ctx, upstream, err)
		return false
	}
	t.next = s
	return true
}

// rejectReason returns the reason why a higher-ranked upstream must not be followed, and closes the subscription in that case.
//
// A cycle must be ruled out: three reader candidates, each of which had given up the reader ranked before it, took the tables from
// one another. Nobody read the store, and settings were five seconds old although most of the instances could reach it. Pages
// therefore carry the path they came by, and no instance follows one that follows it.
func (t *Syncer) rejectReason(s *subscription) error {
	var err error
	switch {
	case s.isStale() && (!t.StoreLost() || s.contactAge > t.contactAge(time.Now())):
		err = errUpstreamStale
	case s.isCycle():
		err = errCycle
	default:
		return nil
	}
	s.close()
	return err
}

// follow takes the tables from an upstream until it fails or should be replaced.
func (t *Syncer) follow(ctx context.Context, s *subscription) {
	defer t.sendUpstream(s)()
	defer s.close()
	t.OnSourceChange(s.upstream.Instance)
	reconsidered := time.Now()
	for {
		t.storeLost.Store(s.storeLost)
		t.setUpstreamPath(s.path)
		if err := s.receive(); err != nil {
			t.avoidUpstream(ctx, s.upstream, err)
			return
		}
		if s.isCycle() {
			t.avoidUpstream(ctx, s.upstream, errCycle)
			return
		}
		if s.oldEra {
			t.avoidUpstream(ctx, s.upstream, errOldEra)
			return
		}
		if s.partial != t.wantsSubset() {
			return // its role changed, so it needs more rows, or fewer
		}
		now := time.Now()
		if now.Sub(reconsidered) >= reconsiderInterval {
			reconsidered = now
			if t.shouldSwitch(ctx, now, s) || s.isStale() && t.search(ctx, s.upstream) {
				return
			}
		}
		if !t.shouldProbe(now, s) {
			continue
		}
		t.lastProbe = now.Add(rand.N(readerProbeInterval / 2))
		if t.followers[0].Poll(ctx, 0) == nil {
			t.cutOff = avoidance{}
			t.storeReachable = true
			t.avoidUpstream(ctx, s.upstream, errUpstreamStale)
			return
		}
	}
}

// shouldSwitch reports whether another upstream, or this instance itself, should replace the current upstream.
func (t *Syncer) shouldSwitch(ctx context.Context, now time.Time, s *subscription) bool {
	upstream, readSelf, _ := t.pickUpstream(now)
	if !readSelf {
		return upstream.Addr != s.upstream.Addr && t.switchUpstream(ctx, now)
	}
	if t.followers[0].Poll(ctx, 0) != nil {
		t.cutOff = t.cutOff.extend(now)
		return false
	}
	t.cutOff = avoidance{}
	return true
}

// wantsSubset reports whether this instance wants only a subset of some table.
func (t *Syncer) wantsSubset() bool {
	for i := range t.Tables {
		if t.Tables[i].wantsSubset() {
			return true
		}
	}
	return false
}

// shouldProbe reports whether to probe the store because the upstream has lost it. Reader candidates do so immediately, in order of
// rank; the others only when the reader candidates seem to be cut off, too.
func (t *Syncer) shouldProbe(now time.Time, s *subscription) bool {
	assignment, age := t.Assignment(), t.contactAge(now)
	switch assignment.Role {
	case RoleReader:
		return (s.storeLost || age > t.MaxAge) && now.Sub(t.lastProbe) > time.Duration(1+assignment.Rank)*readerProbeInterval
	case RoleRelay:
		if assignment.Rank >= maxProbingRelays {
			break
		}
		return age > t.MaxAge && now.Sub(t.lastProbe) > relayProbeInterval
	}
	return age > t.MaxAge+followerProbeDelay+t.probeJitter && now.Sub(t.lastProbe) > followerProbeDelay+t.probeJitter
}
