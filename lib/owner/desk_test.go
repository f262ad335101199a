package owner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fleet"
)

// desks are the owners of two shards of one engine each, in two failure domains.
func desks() (a, b *Coordinator, ofA, ofB *Shard) {
	es := []fleet.Info{{ID: "ea", Service: "s", Domain: "za"}, {ID: "eb", Service: "s", Domain: "zb"}}
	ofA = &Shard{Key: "a", Service: "s", members: newMembers([]string{"ea"}), Ranked: []Instance{{Name: "a"}}}
	ofB = &Shard{Key: "b", Service: "s", members: newMembers([]string{"eb"}), Ranked: []Instance{{Name: "b"}}}
	ofA.nearest, ofB.nearest = []*Shard{ofB}, []*Shard{ofA}
	desk := func(name string) *Coordinator {
		f := fleet.New("z" + name)
		f.SetSpecs(map[string]fleet.Spec{"s": {KVTokens: kv}})
		f.Apply(t0, es, nil, 0)
		return NewCoordinator(name, f, new(admit.PrefillRates), t0)
	}
	return desk("a"), desk("b"), ofA, ofB
}

// exchange tells each owner how full the other's shard is.
func exchange(now time.Time, a, b *Coordinator, ofA, ofB *Shard) {
	b.ReceiveHeartbeat(now, Heartbeat{Instance: "a", Fills: map[string]Fill{"a": a.UpdateFill(now, ofA)}})
	a.ReceiveHeartbeat(now, Heartbeat{Instance: "b", Fills: map[string]Fill{"b": b.UpdateFill(now, ofB)}})
}

// A stream comes to a full shard while another has room: it is passed on there at once, and its ask that comes again goes to
// the same place. One that waits because nobody has room is passed on when another shard has some.
func TestWaitingStreamIsPassedOnToRoom(t *testing.T) {
	a, b, ofA, ofB := desks()
	a.Report(t0, Report{Shard: "a", Instance: "i", Incarnation: 1, Seq: 1, Runs: []Run{{ID: 1, Target: "ea", Tokens: 9000}}})
	exchange(t0, a, b, ofA, ofB)
	r := a.Handle(t0, ofA, ask("i", 1, 3000))
	must.True(t, r.Forward)
	must.Eq(t, "b", r.To.Name)
	must.True(t, a.Handle(t0, ofA, ask("i", 1, 3000)).Forward)
	must.Eq(t, "eb", b.Handle(t0, r.Shard, r.Request).Answer.Target)

	b.Report(t0, Report{Shard: "b", Instance: "i", Incarnation: 1, Seq: 2, Runs: []Run{{ID: 2, Target: "eb", Tokens: 9000}}})
	now := t0.Add(HeartbeatInterval)
	exchange(now, a, b, ofA, ofB)
	must.Eq(t, admit.Wait, a.Handle(now, ofA, ask("i", 2, 3000)).Answer.Action)
	must.SliceEmpty(t, a.ForwardWaiting(now))
	now = now.Add(HeartbeatInterval)
	b.Report(now, Report{Shard: "b", Instance: "i", Incarnation: 1, Seq: 3})
	b.Tick(now.Add(grantLife))
	exchange(now, a, b, ofA, ofB)
	got := a.ForwardWaiting(now)
	must.Len(t, 1, got)
	must.Eq(t, "b", got[0].To.Name)
	must.False(t, a.HasWaiting())
}

// Each of two full shards believes that the other has room. An ask goes from one to the other and back and stays: passed
// to and fro it would be two datagrams each few milliseconds, for as long as it waits.
func TestAskIsNotPassedToAndFro(t *testing.T) {
	a, b, ofA, _ := desks()
	for _, d := range []*Coordinator{a, b} {
		for s, e := range map[string]string{"a": "ea", "b": "eb"} {
			d.Report(t0, Report{Shard: s, Instance: "i", Incarnation: 1, Seq: 1, Runs: []Run{{ID: 1, Target: e, Tokens: 9000}}})
		}
	}
	free := Fill{Used: 0.9, LargestFree: 9000}
	a.ReceiveHeartbeat(t0, Heartbeat{Instance: "b", Fills: map[string]Fill{"b": free}})
	b.ReceiveHeartbeat(t0, Heartbeat{Instance: "a", Fills: map[string]Fill{"a": free}})
	at := map[string]*Coordinator{"a": a, "b": b}
	r := a.Handle(t0, ofA, ask("i", 1, 3000))
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

// An ask was passed on to the owner, which dies. When it comes again, the next in rank decides it: sent to the same one for as long as it is
// remembered, it would go unanswered at every candidate, and its instance would decide alone.
func TestAskThatWentToADeadOwnerIsDecided(t *testing.T) {
	es := []fleet.Info{{ID: "e", Service: "s", Domain: "z"}}
	s := &Shard{Key: "s", Service: "s", members: newMembers([]string{"e"}), Ranked: []Instance{{Name: "first"}, {Name: "second"}}}
	f := fleet.New("z")
	f.SetSpecs(map[string]fleet.Spec{"s": {KVTokens: kv}})
	f.Apply(t0, es, nil, 0)
	second := NewCoordinator("second", f, new(admit.PrefillRates), t0)
	second.ReceiveHeartbeat(t0, Heartbeat{Instance: "first"})
	now := t0.Add(beatLife / 2)
	must.Eq(t, "first", second.Handle(now, s, ask("i", 1, 3000)).To.Name)
	now = t0.Add(beatLife)
	again := second.Handle(now, s, ask("i", 1, 3000))
	must.False(t, again.Forward)
	must.Eq(t, "e", again.Answer.Target)
}
