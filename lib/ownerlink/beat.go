package ownerlink

import (
	"context"
	"math"
	"time"

	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/ownerpb"
)

// leftFor is how long owners are told of a target that was seen to leave: until a lost datagram has been made up for.
const leftFor = 2 * time.Second

// leftEvery is how often within that time: hundreds leave each second of a release.
const leftEvery = 500 * time.Millisecond

// beat tells other owners that this instance lives, while it ranks to own a shard or the targets of a plain service.
func (l *Link) beat(ctx context.Context) {
	t := time.NewTicker(owner.HeartbeatInterval)
	defer t.Stop()
	last, period := time.Now(), owner.HeartbeatInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-l.laid:
		}
		now := time.Now()
		// A clock that does not count the time of a suspended machine shows it by the time of day.
		if now.Sub(last) > period+stallTime || now.Round(0).Sub(last.Round(0)) > period+stallTime {
			l.Coordinator.MarkStalled(now)
		}
		last = now
		period = idleEvery
		if l.sendBeats(now) {
			period = owner.HeartbeatInterval
		}
		t.Reset(period)
	}
}

// idleEvery is the period at which an instance that ranks to own nothing looks whether it does now.
const idleEvery = time.Second

// beats are those that an instance sends at one time, by receiver.
type beats struct {
	addrs map[string]string // by instance
	fills map[string][]*ownerpb.Fill
}

// sendBeats tells those that rank with this instance that it lives, and the owners of neighbouring shards how full its own are. It
// reports whether there are any to tell.
func (l *Link) sendBeats(now time.Time) bool {
	out := beats{addrs: make(map[string]string), fills: make(map[string][]*ownerpb.Fill)}
	layout := l.layout.Load()
	for _, s := range layout.CandidateShards(l.Self.Name) {
		out.addAll(s.Ranked)
		if at, ok := l.Coordinator.ActingOwner(now, s); ok && at.Name == l.Self.Name {
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
	own := new(ownerpb.Beat)
	own.Cold, own.Leaving = l.Coordinator.State(now)
	own.Left = l.leftNow(now)
	for name, addr := range out.addrs {
		b := &ownerpb.Beat{Cold: own.Cold, Leaving: own.Leaving, Left: own.Left, Fills: out.fills[name]}
		d := l.own()
		d.Body = &ownerpb.Datagram_Beat{Beat: b}
		l.send(addr, d)
	}
	return true
}

// leftNow lists the targets that others are told of now because they have left lately.
func (l *Link) leftNow(now time.Time) []*ownerpb.Left {
	if now.Sub(l.leftAt) < leftEvery {
		return nil
	}
	l.leftAt = now
	left := l.Fleet.LeftSince(now.Add(-leftFor))
	out := make([]*ownerpb.Left, min(leftTold, len(left)))
	for i := range out {
		out[i] = &ownerpb.Left{Target: left[i].ID, Born: left[i].Born}
	}
	return out
}

// addFill adds how full a shard is that this instance owns, for the owners of its neighbours: when it changes, and now and then.
func (l *Link) addFill(now time.Time, out *beats, s *owner.Shard) {
	f := l.Coordinator.UpdateFill(now, s)
	near := l.tellsFill(now, s.Key, f, 1)
	far := l.tellsFill(now, s.Key+" far", f, owner.RemoteDomainFactor)
	told := &ownerpb.Fill{Shard: s.Key, Permille: uint32(permille * f.Used), Room: tokens(f.LargestFree)}
	for _, n := range s.Neighbours() {
		if isFar := n.Domain != s.Domain; isFar && !far || !isFar && !near {
			continue
		}
		to := n.Ranked
		if by, known := l.Coordinator.LastKnownOwner(now, n); known {
			to = []owner.Instance{by}
		}
		out.addAll(to)
		for _, in := range to {
			out.fills[in.Name] = append(out.fills[in.Name], told)
		}
	}
}

// tellsFill reports whether a fill is to be told now, where it is told so many times more seldom, and notes that it is.
func (l *Link) tellsFill(now time.Time, key string, f owner.Fill, seldom int) bool {
	if !l.fills[key].due(now, f, seldom) {
		return false
	}
	l.fills[key] = toldFill{Fill: f, at: now}
	return true
}

// toldFill is what was last told of a shard.
type toldFill struct {
	owner.Fill
	at time.Time
}

const (
	// fillEvery is how often a fill is told that does not change: it is believed for somewhat longer.
	fillEvery = 400 * time.Millisecond
	// fillStep is the change of a fill that is told at once, as a part of a shard's memory.
	fillStep = 0.02
	// roomStep is the change of the room on the roomiest engine that is told at once, as a part of it.
	roomStep = 0.1
)

// due reports whether a fill is to be told now.
func (t toldFill) due(now time.Time, f owner.Fill, seldom int) bool {
	times := float64(seldom)
	if now.Sub(t.at) >= time.Duration(seldom)*fillEvery || math.Abs(f.Used-t.Used) >= times*fillStep {
		return true
	}
	return math.Abs(float64(f.LargestFree-t.LargestFree)) >= min(0.5, times*roomStep)*float64(t.LargestFree)
}

func (b *beats) addAll(list []owner.Instance) {
	for _, in := range list {
		b.addrs[in.Name] = in.Addr
	}
}

// permille is the unit in which fills are told.
const permille = 1000

func (l *Link) handleBeat(d *ownerpb.Datagram, b *ownerpb.Beat) {
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
