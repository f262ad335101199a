package schedlink

import (
	"context"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/placer"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/shard"
)

// watts is a policy that notes what it may draw.
type watts struct {
	sched.Policy
	mu              sync.Mutex
	set             bool
	share, fallback float64
}

func (w *watts) SetPower(_ sched.Time, share float64, _ sched.Time, fallback float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.set, w.share, w.fallback = true, share, fallback
}

func (w *watts) told() (share, fallback float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.share, w.fallback
}

// powered is a site of one service whose shards may draw the given fallbacks.
func powered(targets, batch, limit int, seqWatts float64, fallbacks ...float64) Site {
	site := siteOf(targets, batch, limit)
	s := &site.Services[0]
	for i := range s.Targets {
		s.Targets[i].SeqWatts = seqWatts
	}
	s.Power = make(map[uint32]ShardPower)
	for i, f := range fallbacks {
		s.Power[uint32(i)] = ShardPower{FallbackWatts: f}
	}
	return site
}

// newWattsHost returns a Host that owns all shards of a site, and what the policy of each is told.
func newWattsHost(t *testing.T, site Site) (h *Host, policies []*watts, v *member.View) {
	t.Parallel()
	h = NewHost(t.Context(), HostOptions{Self: "a", Poll: noPoll, NewPolicy: func(service string) sched.Policy {
		w := &watts{Policy: newSlots(service)}
		policies = append(policies, w) // shards of one service are hosted in order
		return w
	}})
	self := member.Member{Instance: "a", Incarnation: 1}
	v = &member.View{Self: self, Members: []member.Member{self}}
	h.update(newPlan(site), v)
	return h, policies, v
}

func (w *watts) draws(t *testing.T, share, fallback float64) {
	t.Helper()
	s, f := w.told()
	must.Eq(t, share, s)
	must.Eq(t, fallback, f)
}

// An entry starts with settings from a peer, and its control process is dead. Told of no share, it would draw what it
// likes; it must hold to the fallback that the settings give, less what drained targets draw.
func TestHostStartsAtTheFallbackOfTheSettings(t *testing.T) {
	site := powered(2, 8, 32, 50, 400)
	site.Services[0].Power[0] = ShardPower{FallbackWatts: 400, DrainedWatts: 100}
	_, policies, _ := newWattsHost(t, site)
	must.Len(t, 1, policies)
	policies[0].draws(t, 300, 300)
}

// An instance owns two shards of a service and is given a share for one. Divided over both, as once, the other would draw
// a part that the holder of the budget has given to somebody else; and a share outlives no change of settings.
func TestHostGivesEachShardItsOwnShare(t *testing.T) {
	site := powered(4, 8, 2, 50, 200, 300)
	h, policies, v := newWattsHost(t, site)
	must.Len(t, 2, policies)
	h.SetPower(shard.ID{Service: svc, Index: 1}, 700, time.Hour)
	policies[0].draws(t, 200, 200)
	policies[1].draws(t, 700, 300)
	site.Services[0].Power = map[uint32]ShardPower{0: {FallbackWatts: 100}, 1: {FallbackWatts: 150}}
	h.update(newPlan(site), v)
	policies[0].draws(t, 100, 100)
	policies[1].draws(t, 700, 150)
	h.SetPower(shard.ID{Service: svc, Index: 1}, 150, 0)
	policies[1].draws(t, 150, 150)
	site.Services[0].Power = nil
	h.update(newPlan(site), v)
	policies[0].draws(t, math.Inf(1), math.Inf(1))
}

// newOwner is a Host with the real policy under a cap, whose reports the test gives.
func newOwner(t *testing.T, site Site) (h *Host, f placer.Feed) {
	t.Parallel()
	h = NewHost(t.Context(), HostOptions{
		Self:      "a",
		NewPolicy: func(service string) sched.Policy { return sched.NewOwner(service, sched.Options{}) },
		Poll: func(_ context.Context, _ string, feed placer.Feed) func([]string) {
			f = feed
			return func([]string) {}
		},
		Settle: 50 * time.Millisecond,
	})
	self := member.Member{Instance: "a", Incarnation: 1}
	h.update(newPlan(site), &member.View{Self: self, Members: []member.Member{self}})
	return h, f
}

// The owner before is frozen or cut off, and six generations run: the entries that the new owner hears tell it of two of
// them. The shard may run nine (980 W of 100 W each). The new owner must start nothing before the target itself has told
// what runs there, and then no more than there is room for, and than its own half beside another's work: two, not seven.
func TestNewOwnerCountsWhatTheOneBeforeItStarted(t *testing.T) {
	h, f := newOwner(t, powered(1, 30, 32, 100, 1000))
	c := newCaller(h)
	c.ask(ids.From(1, 1), "t00")
	c.ask(ids.From(2, 2), "t00")
	for i := range 12 {
		c.ask(ids.From(3, uint64(10+i)), "")
	}
	time.Sleep(300 * time.Millisecond)
	must.Len(t, 0, c.grants())
	f.Report(sched.Report{Target: "t00", Running: 6, KVTotal: 1 << 20, KVUsed: 100, MaxBatch: 30, Watts: 600})
	waitGrants(t, c, 2)
	time.Sleep(100 * time.Millisecond)
	must.Len(t, 2, c.grants())
}

// A target that can't be reached tells nothing. The new owner must not wait for it longer than its poller does.
func TestNewOwnerDoesNotWaitForADeadTarget(t *testing.T) {
	h, f := newOwner(t, powered(2, 30, 32, 100, 1000))
	c := newCaller(h)
	c.ask(ids.From(1, 1), "")
	f.Report(sched.Report{Target: "t00", KVTotal: 1 << 20, MaxBatch: 30})
	time.Sleep(200 * time.Millisecond)
	must.Len(t, 0, c.grants())
	f.TargetGone("t01")
	waitGrants(t, c, 1)
}

// The owner of a shard falls silent and two entries hold forty generations each. By the batches alone they would start
// forty sequences of 100 W, on a shard whose fallback is 1000 W. What must be seen: the two together start no more than
// the fallback allows, and what the owner runs counts.
func TestDecidingAloneKeepsToTheFallback(t *testing.T) {
	r := newSlowRig(t, 3, powered(2, 30, 32, 100, 1000))
	owner, _ := r.owner()
	for _, name := range []string{"t00", "t01"} {
		owner.host.all()[0].hears(name)
	}
	first := submit(owner, 4, 1)
	r.until("first ones", func() bool { return countStarted(first) == 4 })
	owner.members.SetLocal(1, owner.host.Digests())
	var others []*proc
	for _, p := range r.procs {
		if p == owner {
			continue
		}
		others = append(others, p)
		r.until("the digest", func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.digests[shard.ID{Service: svc}].GetRunning() == 4
		})
	}
	owner.stalled.Store(true)
	var gens []*gen
	for i, p := range others {
		gens = append(gens, submit(p, 40, uint64(2+i))...)
	}
	r.until("placed alone", func() bool { return countStarted(gens) > 0 })
	time.Sleep(3 * sweepEvery)
	must.NotEq(t, member.Dead, r.stateAt(others[0], owner))
	must.EqOp(t, 2, countStarted(gens)) // 980 W less 400 W, in three parts of 193 W: one each
}
