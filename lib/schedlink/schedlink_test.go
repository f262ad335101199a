package schedlink

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/shard"
)

func TestOwnerGrantsOverTheMeshAndQueues(t *testing.T) {
	r := newRig(t, 3, siteOf(2, 3, 32))
	owner, other := r.owner()
	gens := submit(other, 8, 1)
	r.until("all slots taken", func() bool { return countStarted(gens) == 6 })
	q, run := owner.booked()
	must.EqOp(t, 2, q)
	must.EqOp(t, 6, run)
	for _, g := range gens {
		if g.started() {
			other.End(svc, g.id, 1, 10, sched.EndCompleted)
			break
		}
	}
	r.until("a freed slot granted", func() bool { return countStarted(gens) == 7 })
	for _, g := range gens {
		other.End(svc, g.id, 1, 10, sched.EndCompleted)
	}
	r.until("empty books", func() bool {
		q, run := owner.booked()
		return q == 0 && run == 0
	})
}

func TestUnknownServiceIsRefusedAtOnce(t *testing.T) {
	r := newRig(t, 1, siteOf(1, 1, 32))
	var got sched.Action
	r.procs[0].Submit("nobody", sched.Request{Gen: ids.From(1, 1), Attempt: 1}, func(a sched.Action) { got = a })
	must.EqOp(t, sched.ActRefuse, got.Kind)
	must.EqOp(t, result.NoTarget, got.Code)
	must.Positive(t, got.RetryAfter)
}

// The owner of all targets is killed while generations run and wait. Callers of running ones must see nothing: no
// second start, no refusal. Waiting ones must be granted by the new owner once a running one ends, and the new owner
// must know of all that runs, or it would place too much.
func TestOwnerKilledRunningGoOnAndWaitingAreGranted(t *testing.T) {
	r := newRig(t, 4, siteOf(2, 4, 32))
	owner, other := r.owner()
	gens := submit(other, 12, 1)
	r.until("all slots taken", func() bool { return countStarted(gens) == 8 })
	from := time.Now()
	owner.stop()
	r.procs = slices.DeleteFunc(r.procs, func(p *proc) bool { return p == owner })
	r.until("a new owner with all of it", func() bool {
		for _, p := range r.procs {
			if q, run := p.booked(); run >= 8 && q+run == 12 && len(p.host.Digests()) > 0 {
				return true
			}
		}
		return false
	})
	t.Logf("new owner knows all after %v, heartbeat interval %v", time.Since(from).Round(time.Millisecond), testInterval)
	for _, g := range gens {
		if g.started() {
			other.End(svc, g.id, 1, 5, sched.EndCompleted)
		}
	}
	r.until("the waiting ones", func() bool { return countStarted(gens) == 12 })
	t.Logf("last waiting generation granted after %v", time.Since(from).Round(time.Millisecond))
	for _, g := range gens {
		g.startedOnce(t)
	}
}

// The owner's links stall without breaking, or its process is frozen: nothing it sends arrives. Callers must not wait
// for it: after the bound on silence the entry places what it holds by itself, once. When the owner is heard again it
// must learn where everything runs, and its late grants must start nothing a second time.
func TestSilentOwnerIsDoneWithoutAndLearnsLater(t *testing.T) {
	r := newSlowRig(t, 2, siteOf(2, 8, 32))
	owner, other := r.owner()
	first := submit(other, 2, 1)
	r.until("first ones", func() bool { return countStarted(first) == 2 })
	owner.stalled.Store(true)
	from := time.Now()
	gens := submit(other, 4, 2)
	r.until("placed alone", func() bool { return countStarted(gens) == 4 })
	t.Logf("placed alone after %v, bound %v", time.Since(from).Round(time.Millisecond), testSilence)
	must.GreaterEq(t, testSilence/2, time.Since(from))
	must.NotEq(t, member.Dead, r.stateAt(other, owner))
	owner.stalled.Store(false)
	r.until("books level", func() bool {
		total := 0
		for _, p := range r.procs {
			if len(p.host.Digests()) > 0 {
				q, run := p.booked()
				total += q*100 + run
			}
		}
		return total == 6
	})
	for _, g := range append(first, gens...) {
		g.startedOnce(t)
	}
}

// Deciding alone must not put more on an engine than it can hold, with as many entries deciding alone as there are.
func TestDecidingAloneIsBounded(t *testing.T) {
	r := newSlowRig(t, 2, siteOf(2, 8, 32))
	owner, other := r.owner()
	owner.stalled.Store(true)
	gens := submit(other, 40, 1)
	r.until("placed alone", func() bool { return countStarted(gens) > 0 })
	time.Sleep(3 * sweepEvery)
	must.NotEq(t, member.Dead, r.stateAt(other, owner))
	must.EqOp(t, 8, countStarted(gens)) // half of each batch, with two entries
}

// Two entries each take themselves for the owner, as after a cut between them. Each serves its own callers, no
// generation is started twice or refused, and when they see each other again one owner has all.
func TestTwoOwnersAtOnceCostSpeedOnly(t *testing.T) {
	r := newRig(t, 2, siteOf(2, 100, 32))
	owner, other := r.owner()
	owner.stalled.Store(true) // with two processes, every link is cut
	r.until("each alone", func() bool { return len(owner.host.Digests()) == 1 && len(other.host.Digests()) == 1 })
	a, b := submit(owner, 5, 1), submit(other, 5, 2)
	r.until("both served", func() bool { return countStarted(a) == 5 && countStarted(b) == 5 })
	owner.stalled.Store(false)
	r.until("one owner with all", func() bool {
		_, run := owner.booked()
		return run == 10 && len(other.host.Digests()) == 0
	})
	for _, g := range append(a, b...) {
		g.startedOnce(t)
	}
}

// The link to the owner breaks and comes back at once. Grants that were lost on the way must be given again, and the
// owner must not free the places meanwhile.
func TestBrokenLinkLosesNoGrant(t *testing.T) {
	r := newRig(t, 2, siteOf(2, 8, 32))
	owner, other := r.owner()
	var all []*gen
	for i := range uint64(10) {
		all = append(all, submit(other, 1, 10+i)...)
		other.node.Retire(owner.self.MeshAddr)
		other.mu.Lock()
		c := other.conns[owner.self.Instance]
		c.up = false // as after an overflow: the stream is given up
		c.wake()
		other.mu.Unlock()
	}
	r.until("all granted", func() bool { return countStarted(all) == 10 })
	time.Sleep(700 * time.Millisecond) // over the grace of the broken sessions
	_, run := owner.booked()
	must.EqOp(t, 10, run)
	for _, g := range all {
		g.startedOnce(t)
	}
}

// An owner that announces that it is leaving must get nothing new within three seconds; what runs goes on.
func TestLeavingOwnerGetsNothingNew(t *testing.T) {
	r := newRig(t, 3, siteOf(2, 8, 32))
	owner, other := r.owner()
	before := submit(other, 2, 1)
	r.until("granted", func() bool { return countStarted(before) == 2 })
	owner.members.Leave()
	took := r.until("another owner", func() bool {
		for _, p := range r.procs {
			if _, run := p.booked(); p != owner && run == 2 && len(p.host.Digests()) == 1 {
				return true
			}
		}
		return false
	})
	must.Less(t, 3*time.Second, took)
	after := submit(other, 2, 2)
	r.until("granted", func() bool { return countStarted(after) == 2 })
	q, run := owner.booked()
	must.EqOp(t, 0, q+run)
	t.Logf("moved after %v", took.Round(time.Millisecond))
	for _, g := range append(before, after...) {
		g.startedOnce(t)
	}
}

// A dead owner must not be dialed in a loop by every entry that has work for it.
func TestNoReconnectStorm(t *testing.T) {
	r := newRig(t, 2, siteOf(2, 1, 32))
	owner, other := r.owner()
	submit(other, 20, 1)
	owner.stop()
	before := other.dials.Load()
	time.Sleep(time.Second)
	t.Logf("dials in the second after the owner died: %d", other.dials.Load()-before)
	must.LessEq(t, 25, other.dials.Load()-before)
}

func TestShardIsChosenByDigestsAndSilence(t *testing.T) {
	r := newRig(t, 1, siteOf(8, 4, 4))
	l := r.procs[0].Link
	l.mu.Lock()
	defer l.mu.Unlock()
	id := func(i uint32) shard.ID { return shard.ID{Service: svc, Index: i} }
	l.digests = newDigests(nil, []member.Digest{
		{ShardDigest: &meshpb.ShardDigest{Service: svc, Shard: 0, ExpectedWaitMs: 10}},
		{ShardDigest: &meshpb.ShardDigest{Service: svc, Shard: 1, Epoch: 1, ExpectedWaitMs: 50}},
		{ShardDigest: &meshpb.ShardDigest{Service: svc, Shard: 1, Epoch: 2, ExpectedWaitMs: 5}},
	}, l.plan)
	// An owner that is gone spoke of shard 1 with a clock far ahead; the new one's word must count all the same.
	ahead := digests{id(1): {Epoch: 1 << 60, ExpectedWaitMs: 1000}, id(9): {}}
	kept := newDigests(ahead, []member.Digest{{ShardDigest: l.digests[id(1)]}}, l.plan)
	must.MapLen(t, 1, kept)
	must.EqOp(t, 5, kept[id(1)].GetExpectedWaitMs())
	must.True(t, l.better(id(1), id(0)))
	must.False(t, l.better(id(0), id(1)))
	must.Len(t, 2, l.plan[svc].shards)
}

// At the letter's size an entry must not keep a stream to every owner of the site, and each shard must still be used.
func TestEntryUsesAFewShardsAndAllAreUsed(t *testing.T) {
	sp := newPlan(siteOf(12000/4, 8, 32))[svc]
	used := make(map[shard.ID]int)
	for i := range 430 {
		l := &Link{opts: LinkOptions{Self: fmt.Sprint("entry", i)}}
		ids := l.choices(sp)
		must.Len(t, maxChoices, ids)
		for _, id := range ids {
			used[id]++
		}
	}
	least, most := 430, 0
	for _, n := range used {
		least, most = min(least, n), max(most, n)
	}
	t.Logf("entries=430 shards=%d entries at a shard: least %d, most %d", len(sp.shards), least, most)
	must.MapLen(t, len(sp.shards), used)
	must.GreaterEq(t, 25, least)
}

// A target is leaving, and then its owner falls silent. Entries that decide alone don't poll targets; they must not send
// it anything new all the same, for the owner's last digest told them.
func TestLeavingTargetGetsNothingFromThoseWhoDecideAlone(t *testing.T) {
	r := newSlowRig(t, 2, siteOf(2, 40, 32))
	owner, other := r.owner()
	h := owner.host.all()[0]
	feed{Runner: h.runner, h: h}.Report(sched.Report{Target: "t00", Leaving: true})
	owner.members.SetLocal(1, owner.host.Digests())
	r.until("the digest", func() bool {
		other.mu.Lock()
		defer other.mu.Unlock()
		return len(other.digests[shard.ID{Service: svc}].GetLeaving()) == 1
	})
	owner.stop()
	gens := submit(other, 10, 1)
	r.until("placed", func() bool { return countStarted(gens) > 0 })
	other.mu.Lock()
	defer other.mu.Unlock()
	must.Eq(t, []string{"t01"}, other.targetsOf(shard.ID{Service: svc}))
	must.Eq(t, "t01", gens[0].target)
}

func TestAlonePicksFewerOfTwoAndAvoidsWhatFailed(t *testing.T) {
	r := newRig(t, 1, siteOf(4, 4, 32))
	l := r.procs[0].Link
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	anyRoom := func(string, int) bool { return true }
	l.alone.ended("t00", sched.EndTargetDied, now)
	for range 50 {
		got := l.alone.pick([]string{"t00", "t01", "t02"}, []string{"t01"}, anyRoom, now)
		must.Eq(t, "t02", got)
	}
	must.Eq(t, "t00", l.alone.pick([]string{"t00"}, nil, anyRoom, now))
	must.Eq(t, "", l.alone.pick(nil, nil, anyRoom, now))
}
