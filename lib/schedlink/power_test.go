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

// powerRecorder is a policy that records its power limits.
type powerRecorder struct {
	sched.Policy
	mu              sync.Mutex
	set             bool
	share, fallback float64
}

func (w *powerRecorder) SetPower(_ sched.Time, share float64, _ sched.Time, fallback float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.set, w.share, w.fallback = true, share, fallback
}

func (w *powerRecorder) limits() (share, fallback float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.share, w.fallback
}

// poweredSite returns a site of one service whose shards have the given fallbacks.
func poweredSite(targets, batch, limit int, seqWatts float64, fallbacks ...float64) Site {
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

// newPowerHost returns a Host that owns all shards of a site, and the policy of each.
func newPowerHost(t *testing.T, site Site) (h *Host, policies []*powerRecorder, v *member.View) {
	t.Parallel()
	h = NewHost(t.Context(), HostOptions{Self: "a", Poll: noPoll, NewPolicy: func(service string) sched.Policy {
		w := &powerRecorder{Policy: newSlots(service)}
		policies = append(policies, w) // shards of one service are hosted in order
		return w
	}})
	self := member.Member{Instance: "a", Incarnation: 1}
	v = &member.View{Self: self, Members: []member.Member{self}}
	h.update(newPlan(site), v)
	return h, policies, v
}

func (w *powerRecorder) mustLimit(t *testing.T, share, fallback float64) {
	t.Helper()
	s, f := w.limits()
	must.Eq(t, share, s)
	must.Eq(t, fallback, f)
}

// An entry starts with settings from a peer while its control process is dead. Without a share it must apply the fallback of
// the settings, less the draw of drained targets, instead of drawing without limit.
func TestHostStartsAtFallbackFromSettings(t *testing.T) {
	site := poweredSite(2, 8, 32, 50, 400)
	site.Services[0].Power[0] = ShardPower{FallbackWatts: 400, DrainedWatts: 100}
	_, policies, _ := newPowerHost(t, site)
	must.Len(t, 1, policies)
	policies[0].mustLimit(t, 300, 300)
}

// An instance owns two shards of a service and receives a share for one of them. When it once divided the share over both,
// the other shard drew power that the allocator had given to another part. Changed fallbacks and the removal of the cap must
// take effect when the settings change.
func TestHostAppliesPowerSharePerShard(t *testing.T) {
	site := poweredSite(4, 8, 2, 50, 200, 300)
	h, policies, v := newPowerHost(t, site)
	must.Len(t, 2, policies)
	h.SetPower(shard.ID{Service: svc, Index: 1}, 700, time.Hour)
	policies[0].mustLimit(t, 200, 200)
	policies[1].mustLimit(t, 700, 300)
	site.Services[0].Power = map[uint32]ShardPower{0: {FallbackWatts: 100}, 1: {FallbackWatts: 150}}
	h.update(newPlan(site), v)
	policies[0].mustLimit(t, 100, 100)
	policies[1].mustLimit(t, 700, 150)
	h.SetPower(shard.ID{Service: svc, Index: 1}, 150, 0)
	policies[1].mustLimit(t, 150, 150)
	site.Services[0].Power = nil
	h.update(newPlan(site), v)
	policies[0].mustLimit(t, math.Inf(1), math.Inf(1))
}

// newCappedHost returns a Host with the real policy under a cap; the test provides the reports.
func newCappedHost(t *testing.T, site Site) (h *Host, f placer.Feed) {
	t.Parallel()
	h = NewHost(t.Context(), HostOptions{
		Self:      "a",
		NewPolicy: func(service string) sched.Policy { return sched.NewOwner(service, sched.Options{}) },
		Poll: func(_ context.Context, _ string, feed placer.Feed) func([]string) {
			f = feed
			return func([]string) {}
		},
		SettleDelay: 50 * time.Millisecond,
	})
	self := member.Member{Instance: "a", Incarnation: 1}
	h.update(newPlan(site), &member.View{Self: self, Members: []member.Member{self}})
	return h, f
}

// The previous owner is frozen or partitioned while six generations run, and the entries that reach the new owner report two
// of them. The shard may run nine (980 W of 100 W each). The new owner must start nothing before the target itself has
// reported, and then no more than the capacity left and its own half beside the other owner's work allow: two, not seven.
func TestNewOwnerCountsWorkOfPreviousOwner(t *testing.T) {
	h, f := newCappedHost(t, poweredSite(1, 30, 32, 100, 1000))
	c := newTestEntry(h)
	c.request(ids.From(1, 1), "t00")
	c.request(ids.From(2, 2), "t00")
	for i := range 12 {
		c.request(ids.From(3, uint64(10+i)), "")
	}
	time.Sleep(300 * time.Millisecond)
	must.Len(t, 0, c.grants())
	f.Report(sched.Report{Target: "t00", Running: 6, KVTotal: 1 << 20, KVUsed: 100, MaxBatch: 30, Watts: 600})
	waitGrants(t, c, 2)
	time.Sleep(100 * time.Millisecond)
	must.Len(t, 2, c.grants())
}

// A target that is unreachable sends no reports. The new owner must not wait for it longer than its poller does.
func TestNewOwnerDoesNotWaitForDeadTarget(t *testing.T) {
	h, f := newCappedHost(t, poweredSite(2, 30, 32, 100, 1000))
	c := newTestEntry(h)
	c.request(ids.From(1, 1), "")
	f.Report(sched.Report{Target: "t00", KVTotal: 1 << 20, MaxBatch: 30})
	time.Sleep(200 * time.Millisecond)
	must.Len(t, 0, c.grants())
	f.TargetGone("t01")
	waitGrants(t, c, 1)
}

// The owner of a shard becomes silent and two entries hold forty generations each. By batch limits alone they would start
// forty sequences of 100 W, on a shard whose fallback is 1000 W. Together they must start no more than the fallback allows,
// counting what the owner runs.
func TestSelfPlacementStaysWithinFallback(t *testing.T) {
	r := newSlowRig(t, 3, poweredSite(2, 30, 32, 100, 1000))
	owner, _ := r.owner()
	for _, name := range []string{"t00", "t01"} {
		owner.host.hostedShards()[0].markReported(name)
	}
	first := submit(owner, 4, 1)
	r.until("the first generations granted", func() bool { return countStarted(first) == 4 })
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
	r.until("placed without the owner", func() bool { return countStarted(gens) > 0 })
	time.Sleep(3 * sweepInterval)
	must.NotEq(t, member.Dead, r.stateAt(others[0], owner))
	must.EqOp(t, 2, countStarted(gens)) // 980 W less 400 W, in three parts of 193 W: one each
}
