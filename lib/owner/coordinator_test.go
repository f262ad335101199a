package owner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fleet"
)

// twoCoordinators returns the owners of two shards of one engine each, in two failure domains.
func twoCoordinators() (a, b *Coordinator, ofA, ofB *Shard) {
	es := []fleet.Info{{ID: "ea", Service: "s", Domain: "za"}, {ID: "eb", Service: "s", Domain: "zb"}}
	ofA = &Shard{Key: "a", Service: "s", members: newMembers([]string{"ea"}), Ranked: []Instance{{Name: "a"}}}
	ofB = &Shard{Key: "b", Service: "s", members: newMembers([]string{"eb"}), Ranked: []Instance{{Name: "b"}}}
	ofA.nearest, ofB.nearest = []*Shard{ofB}, []*Shard{ofA}
	newCoordinator := func(name string) *Coordinator {
		f := fleet.New("z" + name)
		f.SetSpecs(map[string]fleet.Spec{"s": {KVTokens: kv}})
		f.Apply(t0, es, nil, 0)
		return NewCoordinator(name, f, new(admit.PrefillRates), t0)
	}
	return newCoordinator("a"), newCoordinator("b"), ofA, ofB
}

// exchangeHeartbeats sends each owner the fill level of the other's shard.
func exchangeHeartbeats(now time.Time, a, b *Coordinator, ofA, ofB *Shard) {
	b.ReceiveHeartbeat(now, Heartbeat{Instance: "a", Fills: map[string]Fill{"a": a.UpdateFill(now, ofA)}})
	a.ReceiveHeartbeat(now, Heartbeat{Instance: "b", Fills: map[string]Fill{"b": b.UpdateFill(now, ofB)}})
}

// A stream arrives at a full shard while another has free capacity: it is forwarded at once, and so are its retransmissions, to the
// same owner. One that waits because no shard has capacity is forwarded once another shard has some.
func TestWaitingStreamIsForwardedToFreeCapacity(t *testing.T) {
	a, b, ofA, ofB := twoCoordinators()
	a.Report(t0, Report{Shard: "a", Instance: "i", Incarnation: 1, Seq: 1, Runs: []Run{{ID: 1, Target: "ea", Tokens: 9000}}})
	exchangeHeartbeats(t0, a, b, ofA, ofB)
	r := a.Handle(t0, ofA, placeRequest("i", 1, 3000))
	must.True(t, r.Forward)
	must.Eq(t, "b", r.To.Name)
	must.True(t, a.Handle(t0, ofA, placeRequest("i", 1, 3000)).Forward)
	must.Eq(t, "eb", b.Handle(t0, r.Shard, r.Request).Answer.Target)

	b.Report(t0, Report{Shard: "b", Instance: "i", Incarnation: 1, Seq: 2, Runs: []Run{{ID: 2, Target: "eb", Tokens: 9000}}})
	now := t0.Add(HeartbeatInterval)
	exchangeHeartbeats(now, a, b, ofA, ofB)
	must.Eq(t, admit.Wait, a.Handle(now, ofA, placeRequest("i", 2, 3000)).Answer.Action)
	must.SliceEmpty(t, a.ForwardWaiting(now))
	now = now.Add(HeartbeatInterval)
	b.Report(now, Report{Shard: "b", Instance: "i", Incarnation: 1, Seq: 3})
	b.Tick(now.Add(grantTTL))
	exchangeHeartbeats(now, a, b, ofA, ofB)
	got := a.ForwardWaiting(now)
	must.Len(t, 1, got)
	must.Eq(t, "b", got[0].To.Name)
	must.False(t, a.HasWaiting())
}

// Each of two full shards' owners has outdated state by which the other has free capacity. A request goes to the other and back, and
// stays: a forwarding loop would cost two datagrams every few milliseconds for as long as it waits.
func TestRequestIsNotForwardedInALoop(t *testing.T) {
	a, b, ofA, _ := twoCoordinators()
	for _, d := range []*Coordinator{a, b} {
		for s, e := range map[string]string{"a": "ea", "b": "eb"} {
			d.Report(t0, Report{Shard: s, Instance: "i", Incarnation: 1, Seq: 1, Runs: []Run{{ID: 1, Target: e, Tokens: 9000}}})
		}
	}
	free := Fill{Used: 0.9, LargestFree: 9000}
	a.ReceiveHeartbeat(t0, Heartbeat{Instance: "b", Fills: map[string]Fill{"b": free}})
	b.ReceiveHeartbeat(t0, Heartbeat{Instance: "a", Fills: map[string]Fill{"a": free}})
	at := map[string]*Coordinator{"a": a, "b": b}
	r := a.Handle(t0, ofA, placeRequest("i", 1, 3000))
	hops := 0
	for ; r.Forward; hops++ {
		must.Less(t, 10, hops)
		r = at[r.To.Name].Handle(t0, r.Shard, r.Request)
	}
	must.LessEq(t, maxHops, hops)
	must.Eq(t, admit.Wait, r.Answer.Action)
	must.SliceEmpty(t, a.ForwardWaiting(t0))
	must.SliceEmpty(t, b.ForwardWaiting(t0))
}

// A request was forwarded to the owner, which then dies. The next candidate decides the retransmission: while it went on forwarding to
// the dead owner, no candidate would answer and the requesting instance would decide alone.
func TestRequestForwardedToDeadOwnerIsDecided(t *testing.T) {
	es := []fleet.Info{{ID: "e", Service: "s", Domain: "z"}}
	s := &Shard{Key: "s", Service: "s", members: newMembers([]string{"e"}), Ranked: []Instance{{Name: "first"}, {Name: "second"}}}
	f := fleet.New("z")
	f.SetSpecs(map[string]fleet.Spec{"s": {KVTokens: kv}})
	f.Apply(t0, es, nil, 0)
	second := NewCoordinator("second", f, new(admit.PrefillRates), t0)
	second.ReceiveHeartbeat(t0, Heartbeat{Instance: "first"})
	now := t0.Add(heartbeatTTL / 2)
	must.Eq(t, "first", second.Handle(now, s, placeRequest("i", 1, 3000)).To.Name)
	now = t0.Add(heartbeatTTL)
	again := second.Handle(now, s, placeRequest("i", 1, 3000))
	must.False(t, again.Forward)
	must.Eq(t, "e", again.Answer.Target)
}

// A stream may continue at one version of the engines' software, of which the shard it arrives at has no engine, and another has a full one. It is
// forwarded there, and never granted an engine of another version.
func TestStreamIsForwardedToItsSoftware(t *testing.T) {
	a, b, ofA, ofB := twoCoordinators()
	v1, v2 := fleet.NewSoftware("s", "v1"), fleet.NewSoftware("s", "v2")
	for _, c := range []*Coordinator{a, b} {
		c.fleet.Apply(t0, []fleet.Info{
			{ID: "ea", Service: "s", Domain: "za", Software: v1}, {ID: "eb", Service: "s", Domain: "zb", Software: v2},
		}, nil, 0)
	}
	b.Report(t0, Report{Shard: "b", Instance: "i", Incarnation: 1, Seq: 1, Runs: []Run{{ID: 2, Target: "eb", Tokens: 9900}}})
	exchangeHeartbeats(t0, a, b, ofA, ofB)
	req := placeRequest("i", 1, 3000)
	req.Mode, req.Stream.Need.Software = Any, v2.ID
	r := a.Handle(t0, ofA, req)
	must.True(t, r.Forward)
	must.Eq(t, "eb", b.Handle(t0, r.Shard, r.Request).Answer.Target)
	req = placeRequest("i", 2, 3000)
	req.Mode, req.Stream.Need.Software = Any, fleet.NewSoftware("s", "v3").ID
	must.Eq(t, admit.Fallback, a.Handle(t0, ofA, req).Answer.Action)
}

// A run is granted with a backup copy: it must be at an engine of the run's version.
func TestBackupIsGrantedAtTheSameSoftware(t *testing.T) {
	a, _, ofA, _ := twoCoordinators()
	v1, v2 := fleet.NewSoftware("s", "v1"), fleet.NewSoftware("s", "v2")
	ofA.members = newMembers([]string{"ea", "eb"})
	a.fleet.Apply(t0, []fleet.Info{{ID: "ea", Service: "s", Software: v1}, {ID: "eb", Service: "s", Software: v2}}, nil, 0)
	req := placeRequest("i", 1, 100)
	req.Backup = 100
	got := a.Handle(t0, ofA, req).Answer
	must.NotEq(t, "", got.Target)
	must.Eq(t, "", got.Backup)
}
