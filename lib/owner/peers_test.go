package owner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func shardOf(names ...string) *Shard {
	s := &Shard{Key: "s@z0/0", Service: "s"}
	for _, n := range names {
		s.Ranked = append(s.Ranked, Instance{Name: n})
	}
	return s
}

func acting(t *testing.T, p *Peers, now time.Time, s *Shard) string {
	t.Helper()
	in, ok := p.ActingOwner(now, s)
	must.True(t, ok)
	return in.Name
}

// The owner dies. The second in rank, which was told the same, takes over when beats stay away; when the first is back it
// knows nothing, and decides only after it was told again.
func TestSecondInRankTakesOver(t *testing.T) {
	s := shardOf("a", "b", "c")
	b := NewPeers("b", t0)
	now := t0.Add(coldFor)
	b.ReceiveHeartbeat(now, Heartbeat{Instance: "a"})
	must.Eq(t, "a", acting(t, b, now, s))
	// It had heard nobody for as long as it lives, and is cold until it was told by all.
	now = now.Add(coldFor)
	must.Eq(t, "b", acting(t, b, now, s))
	b.ReceiveHeartbeat(now, Heartbeat{Instance: "a", Incarnation: 1, Cold: true})
	must.Eq(t, "b", acting(t, b, now, s))
	b.ReceiveHeartbeat(now, Heartbeat{Instance: "a", Incarnation: 1})
	must.Eq(t, "a", acting(t, b, now, s))
	b.ReceiveHeartbeat(now, Heartbeat{Instance: "a", Incarnation: 1, Leaving: true})
	must.Eq(t, "b", acting(t, b, now, s))
	b.Leave()
	_, ok := b.ActingOwner(now, s)
	must.False(t, ok)
}

// All instances have just started. Somebody has to decide, although nobody knows much.
func TestFirstOfColdOwnersDecides(t *testing.T) {
	s := shardOf("a", "b")
	a := NewPeers("a", t0)
	a.ReceiveHeartbeat(t0, Heartbeat{Instance: "b", Cold: true})
	must.Eq(t, "a", acting(t, a, t0, s))
	// One that is no candidate takes the first for the owner.
	must.Eq(t, "a", acting(t, NewPeers("x", t0), t0, s))
}

// An owner was cut off, or stood still, and comes back with what it was told before. It lets the second decide until it was
// told again.
func TestOwnerThatWasAwayIsCold(t *testing.T) {
	s := shardOf("a", "b")
	a := NewPeers("a", t0)
	now := t0.Add(time.Second)
	a.ReceiveHeartbeat(now, Heartbeat{Instance: "b"})
	now = now.Add(coldFor)
	a.ReceiveHeartbeat(now, Heartbeat{Instance: "b"})
	must.Eq(t, "a", acting(t, a, now, s))
	a.MarkStalled(now)
	must.Eq(t, "b", acting(t, a, now, s))
	now = now.Add(coldFor)
	a.ReceiveHeartbeat(now, Heartbeat{Instance: "b"})
	must.Eq(t, "a", acting(t, a, now, s))
	now = now.Add(aloneFor + time.Millisecond)
	a.ReceiveHeartbeat(now, Heartbeat{Instance: "b"})
	must.Eq(t, "b", acting(t, a, now, s))
}

// An owner that did not answer is asked after the others for a while, until it is heard.
func TestSilentOwnersAreAskedLast(t *testing.T) {
	s := shardOf("a", "b", "c")
	p := NewPeers("x", t0)
	names := func(now time.Time) (out string) {
		for _, in := range p.QueryOrder(now, s) {
			out += in.Name
		}
		return out
	}
	must.Eq(t, "abc", names(t0))
	p.Suspect(t0, "a")
	must.Eq(t, "bca", names(t0))
	must.Eq(t, "abc", names(t0.Add(suspectFor)))
	again := t0.Add(suspectFor)
	p.Suspect(again, "a") // twice as long: it may be gone for good
	must.Eq(t, "bca", names(again.Add(2*suspectFor-1)))
	must.Eq(t, "abc", names(again.Add(2*suspectFor)))
	p.Suspect(again, "a")
	p.ClearSuspect("a")
	must.Eq(t, "abc", names(again))
	p.Suspect(again, "a")
	must.Eq(t, "abc", names(again.Add(suspectFor)))
}

// A shard is fuller than others. Its streams go to the emptier ones, to each by how much emptier it is, and to none that is
// hardly emptier or not heard of.
func TestStreamsArePassedToEmptierShards(t *testing.T) {
	s := shardOf("a")
	near, far, full, silent := &Shard{Key: "near"}, &Shard{Key: "far"}, &Shard{Key: "full"}, &Shard{Key: "silent"}
	s.nearest = []*Shard{near, far, full, silent}
	p := NewPeers("a", t0)
	p.ReceiveHeartbeat(t0, Heartbeat{Instance: "b", Fills: map[string]Fill{"near": {Used: 0.5}, "far": {Used: 0.2}, "full": {Used: 0.78}}})
	got := make(map[string]int)
	for range 3000 {
		to, by, ok := p.PickLessLoaded(t0, s, 0.8)
		must.True(t, ok)
		must.Eq(t, "b", by)
		got[to.Key]++
	}
	must.MapLen(t, 2, got)
	must.Between(t, 1.8, float64(got["far"])/float64(got["near"]), 3.2) // 0.52 to 0.22
	_, _, ok := p.PickLessLoaded(t0, s, 0.25)
	must.False(t, ok)
	_, _, ok = p.PickLessLoaded(t0.Add(fillLife+time.Millisecond), s, 0.8)
	must.False(t, ok)
}
