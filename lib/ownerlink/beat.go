package ownerlink

import (
	"context"
	"math"
	"time"

	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/ownerpb"
)

// leftAnnouncedFor is how long owners are told of a target that was seen to leave: until a lost datagram has been made up for.
const leftAnnouncedFor = 2 * time.Second

// leftInterval is how often within that time: hundreds leave each second of a release.
const leftInterval = 500 * time.Millisecond

// heartbeatLoop tells other owners that this instance lives, while it ranks to own a shard or the targets of a plain service.
func (l *Link) heartbeatLoop(ctx context.Context) {
	t := time.NewTicker(owner.HeartbeatInterval)
	defer t.Stop()
	last, period := time.Now(), owner.HeartbeatInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-l.layoutChanged:
		}
		now := time.Now()
		// A clock that does not count the time of a suspended machine shows it by the time of day.
		if now.Sub(last) > period+stallThreshold || now.Round(0).Sub(last.Round(0)) > period+stallThreshold {
			l.Coordinator.MarkStalled(now)
		}
		last = now
		period = idleInterval
		if l.sendHeartbeats(now) {
			period = owner.HeartbeatInterval
		}
		t.Reset(period)
	}
}

// idleInterval is the period at which an instance that ranks to own nothing looks whether it does now.
const idleInterval = time.Second

// heartbeatBatch are those that an instance sends at one time, by receiver.
type heartbeatBatch struct {
	addrs map[string]string // by instance
	fills map[string][]*ownerpb.Fill
}

// sendHeartbeats tells those that rank with this instance that it lives, and the owners of neighbouring shards how full its own are. It
// reports whether there are any to tell.
func (l *Link) sendHeartbeats(now time.Time) bool {
	out := heartbeatBatch{addrs: make(map[string]string), fills: make(map[string][]*ownerpb.Fill)}
	layout := l.layout.Load()
	for _, s := range layout.CandidateShards(l.Self.Name) {
		out.addAll(s.Ranked)
		if acting, ok := l.Coordinator.ActingOwner(now, s); ok && acting.Name == l.Self.Name {
			l.addFill(now, &out, s)
		}
	}
	for _, s := range layout.Plain() {
		if s.IsCandidate(l.Self.Name) {
			out.addAll(s.Ranked)
		}
	}
	delete(out.addrs, l.Self.Name)
	if len(out.addrs) == 0 {
		return false
	}
	common := new(ownerpb.Beat)
	common.Cold, common.Leaving = l.Coordinator.State(now)
	common.Left = l.leftToAnnounce(now)
	for name, addr := range out.addrs {
		b := &ownerpb.Beat{Cold: common.Cold, Leaving: common.Leaving, Left: common.Left, Fills: out.fills[name]}
		d := l.newDatagram()
		d.Body = &ownerpb.Datagram_Beat{Beat: b}
		l.send(addr, d)
	}
	return true
}

// leftToAnnounce lists the targets that others are told of now because they have left lately.
func (l *Link) leftToAnnounce(now time.Time) []*ownerpb.Left {
	if now.Sub(l.leftAnnouncedAt) < leftInterval {
		return nil
	}
	l.leftAnnouncedAt = now
	left := l.Fleet.LeftSince(now.Add(-leftAnnouncedFor))
	out := make([]*ownerpb.Left, min(maxLeftPerHeartbeat, len(left)))
	for i := range out {
		out[i] = &ownerpb.Left{Target: left[i].ID, Born: left[i].Born}
	}
	return out
}

// addFill adds how full a shard is that this instance owns, for the owners of its neighbours: when it changes, and now and then.
func (l *Link) addFill(now time.Time, out *heartbeatBatch, s *owner.Shard) {
	f := l.Coordinator.UpdateFill(now, s)
	sendNear := l.fillDue(now, s.Key, f, 1)
	sendFar := l.fillDue(now, s.Key+" far", f, owner.RemoteDomainFactor)
	sent := &ownerpb.Fill{Shard: s.Key, Permille: uint32(permille * f.Used), Room: tokens(f.LargestFree)}
	for _, n := range s.Neighbours() {
		if isFar := n.Domain != s.Domain; isFar && !sendFar || !isFar && !sendNear {
			continue
		}
		to := n.Ranked
		if by, known := l.Coordinator.LastKnownOwner(now, n); known {
			to = []owner.Instance{by}
		}
		out.addAll(to)
		for _, in := range to {
			out.fills[in.Name] = append(out.fills[in.Name], sent)
		}
	}
}

// fillDue reports whether a fill is to be told now, where it is told so many times more seldom, and notes that it is.
func (l *Link) fillDue(now time.Time, key string, f owner.Fill, factor int) bool {
	if !l.sentFills[key].due(now, f, factor) {
		return false
	}
	l.sentFills[key] = sentFill{Fill: f, at: now}
	return true
}

// sentFill is what was last told of a shard.
type sentFill struct {
	owner.Fill
	at time.Time
}

const (
	// fillInterval is how often a fill is told that does not change: it is believed for somewhat longer.
	fillInterval = 400 * time.Millisecond
	// fillStep is the change of a fill that is told at once, as a part of a shard's memory.
	fillStep = 0.02
	// freeStep is the change of the room on the roomiest engine that is told at once, as a part of it.
	freeStep = 0.1
)

// due reports whether a fill is to be told now.
func (t sentFill) due(now time.Time, f owner.Fill, factor int) bool {
	scale := float64(factor)
	if now.Sub(t.at) >= time.Duration(factor)*fillInterval || math.Abs(f.Used-t.Used) >= scale*fillStep {
		return true
	}
	return math.Abs(float64(f.LargestFree-t.LargestFree)) >= min(0.5, scale*freeStep)*float64(t.LargestFree)
}

func (b *heartbeatBatch) addAll(list []owner.Instance) {
	for _, in := range list {
		b.addrs[in.Name] = in.Addr
	}
}

// permille is the unit in which fills are told.
const permille = 1000

func (l *Link) handleHeartbeat(d *ownerpb.Datagram, b *ownerpb.Beat) {
	fills := make(map[string]owner.Fill, len(b.Fills))
	for _, f := range b.Fills {
		fills[f.Shard] = owner.Fill{Used: float64(f.Permille) / permille, LargestFree: int(f.Room)}
	}
	l.Coordinator.ReceiveHeartbeat(time.Now(), owner.Heartbeat{
		Instance: d.Instance, Incarnation: d.Incarnation, Cold: b.Cold, Leaving: b.Leaving, Fills: fills,
	})
	for _, e := range b.Left {
		l.OnLeft(e.Target, e.Born)
	}
}
