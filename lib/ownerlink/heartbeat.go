package ownerlink

import (
	"context"
	"math"
	"time"

	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/ownerpb"
)

// leftAnnouncedFor is how long a target that left is announced to owners: long enough to make up for a lost datagram.
const leftAnnouncedFor = 2 * time.Second

// leftInterval is the period of these announcements: during a release hundreds of targets leave each second.
const leftInterval = 500 * time.Millisecond

// heartbeatLoop sends heartbeats while this instance is a candidate for a shard or for the targets of a plain service.
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
		// A monotonic clock that stops while the machine is suspended does not show the pause; the wall clock does.
		if now.Sub(last) > period+stallThreshold || now.Round(0).Sub(last.Round(0)) > period+stallThreshold {
			l.Coordinator.MarkStalled(now)
		}
		last = now
		l.Coordinator.SetListOld(l.HasOldList != nil && l.HasOldList())
		period = idleInterval
		if l.sendHeartbeats(now) {
			period = owner.HeartbeatInterval
		}
		t.Reset(period)
	}
}

// idleInterval is the period at which an instance that is no candidate checks whether it has become one.
const idleInterval = time.Second

// heartbeatBatch holds the heartbeats that an instance sends at one time, by receiver.
type heartbeatBatch struct {
	addrs map[string]string // by instance
	fills map[string][]*ownerpb.Fill
}

// sendHeartbeats sends heartbeats to the other candidates of this instance's shards, and its shards' fill levels to the owners of
// their neighbours. It reports whether there are any receivers.
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

// leftToAnnounce lists the targets that left recently, if an announcement is due.
func (l *Link) leftToAnnounce(now time.Time) []*ownerpb.Left {
	if now.Sub(l.leftAnnouncedAt) < leftInterval {
		return nil
	}
	l.leftAnnouncedAt = now
	left := l.Fleet.LeftSince(now.Add(-leftAnnouncedFor))
	out := make([]*ownerpb.Left, min(maxLeftPerHeartbeat, len(left)))
	for i := range out {
		out[i] = encodeLeft(left[i])
	}
	return out
}

// addFill adds the fill level of a shard that this instance owns, for the owners of its neighbours: when it changes, and periodically.
func (l *Link) addFill(now time.Time, out *heartbeatBatch, s *owner.Shard) {
	f := l.Coordinator.UpdateFill(now, s)
	sendNear := l.fillDue(now, s.Key, f, 1)
	sendFar := l.fillDue(now, s.Key+" far", f, owner.RemoteDomainFactor)
	sent := &ownerpb.Fill{Shard: s.Key, Permille: uint32(permille * f.Used), Room: tokens(f.LargestFree), Software: f.Software}
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

// fillDue reports whether a fill level is to be sent now, with intervals and thresholds multiplied by factor, and records that it is.
func (l *Link) fillDue(now time.Time, key string, f owner.Fill, factor int) bool {
	if !l.sentFills[key].due(now, f, factor) {
		return false
	}
	l.sentFills[key] = sentFill{Fill: f, at: now}
	return true
}

// sentFill is the last sent fill level of a shard.
type sentFill struct {
	owner.Fill
	at time.Time
}

const (
	// fillInterval is the period at which an unchanged fill level is sent; its time to live is somewhat longer.
	fillInterval = 400 * time.Millisecond
	// fillStep is the change in the used share of a shard's memory that is sent at once.
	fillStep = 0.02
	// freeStep is the change in the free capacity of the engine with the most, as a share of it, that is sent at once.
	freeStep = 0.1
)

// due reports whether a fill level is to be sent now.
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

// permille is the unit of fill levels on the wire.
const permille = 1000

func (l *Link) handleHeartbeat(d *ownerpb.Datagram, b *ownerpb.Beat) {
	fills := make(map[string]owner.Fill, len(b.Fills))
	for _, f := range b.Fills {
		fills[f.Shard] = owner.Fill{Used: float64(f.Permille) / permille, LargestFree: int(f.Room), Software: f.Software}
	}
	l.Coordinator.ReceiveHeartbeat(time.Now(), owner.Heartbeat{
		Instance: d.Instance, Incarnation: d.Incarnation, Cold: b.Cold, Leaving: b.Leaving, Fills: fills,
	})
	for _, e := range b.Left {
		l.OnLeft(decodeLeft(e))
	}
}
