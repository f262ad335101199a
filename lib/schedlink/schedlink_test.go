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
	q, run := owner.counts()
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
	r.until("no records left", func() bool {
		q, run := owner.counts()
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

// The owner of all targets is killed while generations run and wait. Running ones must not notice: no second start, no
// refusal. Waiting ones must be granted by the new owner once a running one ends, and the new owner must know all that
// runs, or it would exceed the batch.
func TestOwnerKilledKeepsRunningAndGrantsWaiting(t *testing.T) {
	r := newRig(t, 4, siteOf(2, 4, 32))
	owner, other := r.owner()
	gens := submit(other, 12, 1)
	r.until("all slots taken", func() bool { return countStarted(gens) == 8 })
	from := time.Now()
	owner.stop()
	r.procs = slices.DeleteFunc(r.procs, func(p *proc) bool { return p == owner })
	r.until("a new owner with complete state", func() bool {
		for _, p := range r.procs {
			if q, run := p.counts(); run >= 8 && q+run == 12 && len(p.host.Digests()) > 0 {
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
	r.until("waiting generations granted", func() bool { return countStarted(gens) == 12 })
	t.Logf("last waiting generation granted after %v", time.Since(from).Round(time.Millisecond))
	for _, g := range gens {
		g.startedOnce(t)
	}
}

// The owner's links stall without breaking, or its process is frozen, so nothing it sends arrives. After the timeout the
// entry must place each pending item by itself, once. When the owner is back it must learn where everything runs, and its
// late grants must start nothing a second time.
func TestSilentOwnerIsBypassedAndResynced(t *testing.T) {
	r := newSlowRig(t, 2, siteOf(2, 8, 32))
	owner, other := r.owner()
	first := submit(other, 2, 1)
	r.until("the first generations granted", func() bool { return countStarted(first) == 2 })
	owner.stalled.Store(true)
	from := time.Now()
	gens := submit(other, 4, 2)
	r.until("placed without the owner", func() bool { return countStarted(gens) == 4 })
	t.Logf("placed without the owner after %v, timeout %v", time.Since(from).Round(time.Millisecond), testOwnerTimeout)
	must.GreaterEq(t, testOwnerTimeout/2, time.Since(from))
	must.NotEq(t, member.Dead, r.stateAt(other, owner))
	owner.stalled.Store(false)
	r.until("consistent records", func() bool {
		total := 0
		for _, p := range r.procs {
			if len(p.host.Digests()) > 0 {
				q, run := p.counts()
				total += q*100 + run
			}
		}
		return total == 6
	})
	for _, g := range append(first, gens...) {
		g.startedOnce(t)
	}
}

// Placing without the owner must not exceed an engine's batch, even if all entries do so at once.
func TestSelfPlacementIsLimitedByBatch(t *testing.T) {
	r := newSlowRig(t, 2, siteOf(2, 8, 32))
	owner, other := r.owner()
	owner.stalled.Store(true)
	gens := submit(other, 40, 1)
	r.until("placed without the owner", func() bool { return countStarted(gens) > 0 })
	time.Sleep(3 * sweepInterval)
	must.NotEq(t, member.Dead, r.stateAt(other, owner))
	must.EqOp(t, 8, countStarted(gens)) // half of each batch, with two entries
}

// Two entries each consider themselves the owner, as after a partition. Each serves its own callers, no generation is
// started twice or refused, and when the partition heals one owner has all generations.
func TestTwoOwnersAtOnceLoseNoGeneration(t *testing.T) {
	r := newRig(t, 2, siteOf(2, 100, 32))
	owner, other := r.owner()
	owner.stalled.Store(true) // with two processes, every link is cut
	r.until("each an owner", func() bool { return len(owner.host.Digests()) == 1 && len(other.host.Digests()) == 1 })
	a, b := submit(owner, 5, 1), submit(other, 5, 2)
	r.until("both served", func() bool { return countStarted(a) == 5 && countStarted(b) == 5 })
	owner.stalled.Store(false)
	r.until("one owner with all", func() bool {
		_, run := owner.counts()
		return run == 10 && len(other.host.Digests()) == 0
	})
	for _, g := range append(a, b...) {
		g.startedOnce(t)
	}
}

// The link to the owner breaks and is restored at once. Lost grants must be repeated, and the owner must not release the
// capacity meanwhile.
func TestBrokenLinkLosesNoGrant(t *testing.T) {
	r := newRig(t, 2, siteOf(2, 8, 32))
	owner, other := r.owner()
	var all []*gen
	for i := range uint64(10) {
		all = append(all, submit(other, 1, 10+i)...)
		other.node.Retire(owner.self.MeshAddr)
		other.mu.Lock()
		c := other.conns[owner.self.Instance]
		c.up = false // as after an overflow, which closes the stream
		c.wake()
		other.mu.Unlock()
	}
	r.until("all granted", func() bool { return countStarted(all) == 10 })
	time.Sleep(700 * time.Millisecond) // longer than the grace period of the broken sessions
	_, run := owner.counts()
	must.EqOp(t, 10, run)
	for _, g := range all {
		g.startedOnce(t)
	}
}

// An owner that announces that it is leaving must get no new work within three seconds; what runs continues.
func TestLeavingOwnerGetsNothingNew(t *testing.T) {
	r := newRig(t, 3, siteOf(2, 8, 32))
	owner, other := r.owner()
	before := submit(other, 2, 1)
	r.until("granted", func() bool { return countStarted(before) == 2 })
	owner.members.Leave()
	took := r.until("another owner", func() bool {
		for _, p := range r.procs {
			if _, run := p.counts(); p != owner && run == 2 && len(p.host.Digests()) == 1 {
				return true
			}
		}
		return false
	})
	must.Less(t, 3*time.Second, took)
	after := submit(other, 2, 2)
	r.until("granted", func() bool { return countStarted(after) == 2 })
	q, run := owner.counts()
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

func TestShardChoiceUsesNewestDigests(t *testing.T) {
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
	// The previous owner published shard 1 with a clock far ahead; the new owner's digest must replace it all the same.
	ahead := digests{id(1): {Epoch: 1 << 60, ExpectedWaitMs: 1000}, id(9): {}}
	kept := newDigests(ahead, []member.Digest{{ShardDigest: l.digests[id(1)]}}, l.plan)
	must.MapLen(t, 1, kept)
	must.EqOp(t, 5, kept[id(1)].GetExpectedWaitMs())
	must.True(t, l.preferred(id(1), id(0)))
	must.False(t, l.preferred(id(0), id(1)))
	must.Len(t, 2, l.plan[svc].shards)
}

// At a site of 430 entries and 3,000 targets an entry must not keep a stream to every owner, and each shard must be used.
func TestEntriesUseFewShardsAndCoverAll(t *testing.T) {
	sp := newPlan(siteOf(12000/4, 8, 32))[svc]
	used := make(map[shard.ID]int)
	for i := range 430 {
		l := &Link{opts: LinkOptions{Self: fmt.Sprint("entry", i)}}
		ids := l.candidateShards(sp)
		must.Len(t, maxCandidates, ids)
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

// A target is leaving when its owner becomes silent. Entries that place without the owner don't poll targets; they must
// still send it no new work, because the owner's last digest lists it.
func TestSelfPlacementSkipsLeavingTarget(t *testing.T) {
	r := newSlowRig(t, 2, siteOf(2, 40, 32))
	owner, other := r.owner()
	h := owner.host.hostedShards()[0]
	feed{Runner: h.runner, shard: h}.Report(sched.Report{Target: "t00", Leaving: true})
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

func TestSelfPlacerAvoidsFailedTargets(t *testing.T) {
	r := newRig(t, 1, siteOf(4, 4, 32))
	l := r.procs[0].Link
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	anyRoom := func(string, int) bool { return true }
	l.selfPlacer.recordEnd("t00", sched.EndTargetDied, now)
	for range 50 {
		got := l.selfPlacer.pick([]string{"t00", "t01", "t02"}, []string{"t01"}, anyRoom, now)
		must.Eq(t, "t02", got)
	}
	must.Eq(t, "t00", l.selfPlacer.pick([]string{"t00"}, nil, anyRoom, now))
	must.Eq(t, "", l.selfPlacer.pick(nil, nil, anyRoom, now))
}

// The owner is silent, and engines of two software versions serve. A generation that has tokens must be placed without the owner only at the
// version that began it, in a shard that has one.
func TestSelfPlacementKeepsSoftware(t *testing.T) {
	site := siteOf(8, 4, 4)
	for i := range site.Services[0].Targets {
		site.Services[0].Targets[i].Software = map[bool]string{true: "v1", false: "v2"}[i < 4]
	}
	r := newRig(t, 1, site)
	l := r.procs[0].Link
	l.mu.Lock()
	defer l.mu.Unlock()
	for range 50 {
		it := &item{id: shard.ID{Service: svc}, req: sched.Request{Emitted: 3, Software: "v2"}}
		must.True(t, l.chooseShard(it))
		targets := l.targetsFor(&it.req, it.id)
		must.SliceNotEmpty(t, targets)
		for _, name := range targets {
			must.Eq(t, "v2", l.plan[svc].specs[name].Software)
		}
		it.req.Software = "v3"
		must.False(t, l.chooseShard(it))
		it.req.Emitted = 0
		must.True(t, l.chooseShard(it))
	}
}
