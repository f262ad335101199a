package schedlink

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/shard"
)

// testEntry is an entry's session with a Host inside the test process. It records what it receives.
type testEntry struct {
	*session
	mu       sync.Mutex
	received []*meshpb.SchedDown
}

func newTestEntry(h *Host) *testEntry {
	c := &testEntry{session: newSession(h)}
	c.local = func(d *meshpb.SchedDown) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.received = append(c.received, d)
	}
	return c
}

func (c *testEntry) request(g ids.Generation, runningOn string) {
	r := sched.Request{Gen: g, Attempt: 1}
	c.handle(encodeSubmit(shard.ID{Service: svc}, &r, uint32(g[15])+1, runningOn, 0))
}

// grants returns the targets of the received grants, in order.
func (c *testEntry) grants() (out []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.received {
		if g := d.GetGrant(); g != nil {
			out = append(out, g.GetTarget())
		}
	}
	return out
}

func newTestHost(t *testing.T, targets, batch int) *Host {
	t.Parallel()
	h := NewHost(t.Context(), HostOptions{
		Self:        "a",
		NewPolicy:   newSlots,
		Poll:        noPoll,
		SettleDelay: 100 * time.Millisecond,
		GracePeriod: 200 * time.Millisecond,
	})
	self := member.Member{Instance: "a", Incarnation: 1}
	h.update(newPlan(siteOf(targets, batch, 32)), &member.View{Self: self, Members: []member.Member{self}})
	return h
}

func waitGrants(t *testing.T, c *testEntry, n int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); len(c.grants()) < n; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(end), must.Sprintf("timed out waiting for %d grants", n))
	}
}

// A grant is lost when the link breaks. The entry repeats its request on a new stream, for the same attempt. The policy has
// placed it and decides nothing more, so the caller would wait for ever unless the grant is repeated.
func TestHostRepeatsLostGrant(t *testing.T) {
	h := newTestHost(t, 1, 1)
	lost, again := newTestEntry(h), newTestEntry(h)
	g := ids.From(1, 1)
	lost.request(g, "")
	waitGrants(t, lost, 1)
	again.request(g, "")
	must.Eq(t, []string{"t00"}, again.grants())
}

// A preemption is lost when the link breaks. Unless it is repeated, the owner waits for the end of an attempt that nobody
// ends, and the engine stays full.
func TestHostRepeatsLostPreemption(t *testing.T) {
	h := newTestHost(t, 1, 1)
	lost, again := newTestEntry(h), newTestEntry(h)
	g := ids.From(1, 1)
	lost.request(g, "")
	waitGrants(t, lost, 1)
	h.hostedShards()[0].deliver(sched.Action{Kind: sched.ActPreempt, Gen: g, Attempt: 1})
	again.request(g, "t00")
	must.Len(t, 1, again.received)
	must.NotNil(t, again.received[0].GetPreempt())

	never := newTestEntry(h) // received neither the grant nor the preemption
	never.request(g, "")
	waitGrants(t, never, 1)
}

// Entries report to a new owner one after another. If it granted the first one's queue before the second reported what it
// runs, the engine would get both.
func TestNewHostSettlesBeforeGranting(t *testing.T) {
	h := newTestHost(t, 1, 1)
	first, second := newTestEntry(h), newTestEntry(h)
	first.request(ids.From(1, 1), "")
	time.Sleep(20 * time.Millisecond)
	second.request(ids.From(2, 2), "t00")
	time.Sleep(200 * time.Millisecond)
	must.Len(t, 0, first.grants())
	second.handle(encodeEnd(ids.From(2, 2), 1, 3, sched.EndCompleted))
	waitGrants(t, first, 1)
}

// An entry placed an attempt without the silent owner, on another target than the owner chose. The owner must release the
// capacity that is not in use.
func TestHostCorrectsTargetReportedByEntry(t *testing.T) {
	h := newTestHost(t, 2, 1)
	c := newTestEntry(h)
	c.request(ids.From(1, 1), "")
	waitGrants(t, c, 1)
	granted, other := c.grants()[0], "t00"
	if granted == other {
		other = "t01"
	}
	c.request(ids.From(1, 1), other)
	c.request(ids.From(2, 2), "")
	waitGrants(t, c, 2)
	must.Eq(t, granted, c.grants()[1])
}

// An entry's link breaks. Its generations continue on the engine, so their capacity must not be granted to others at once;
// if the entry is dead, it must be released after the grace period.
func TestHostKeepsCapacityOfBrokenLinkForGracePeriod(t *testing.T) {
	h := newTestHost(t, 1, 1)
	gone, waiting := newTestEntry(h), newTestEntry(h)
	gone.request(ids.From(1, 1), "")
	waitGrants(t, gone, 1)
	gone.close()
	waiting.request(ids.From(2, 2), "")
	time.Sleep(h.opts.GracePeriod / 2)
	must.Len(t, 0, waiting.grants())
	waitGrants(t, waiting, 1)
}

// A grant arrives late, from an owner that the entry did without. The attempt already runs elsewhere; it must not start
// again, and the owner must be notified.
func TestLateGrantStartsNothingAndIsCorrected(t *testing.T) {
	r := newRig(t, 2, siteOf(2, 8, 32))
	owner, other := r.owner()
	g := submit(other, 1, 1)[0]
	r.until("granted", g.started)
	other.mu.Lock()
	c := other.items[g.id].conn
	it := other.items[g.id]
	late := "t00"
	if it.target == late {
		late = "t01"
	}
	other.apply(it, sched.Action{Kind: sched.ActGrant, Gen: g.id, Attempt: 1, Target: late})
	reportedOn := c.pending[len(c.pending)-1].GetSubmit().GetRunningOn()
	other.mu.Unlock()
	must.Eq(t, it.target, reportedOn)
	must.Eq(t, owner.self, c.to)
	g.startedOnce(t)
}

// An owner with full engines has no decisions to send for a long time. Its entries must not treat it as silent, or they
// would place more on engines that are full.
func TestIdleOwnerIsNotSilent(t *testing.T) {
	r := newRig(t, 2, siteOf(1, 1, 32))
	_, other := r.owner()
	gens := submit(other, 3, 1)
	r.until("the only slot", func() bool { return countStarted(gens) == 1 })
	time.Sleep(2 * testOwnerTimeout)
	must.EqOp(t, 1, countStarted(gens))
	other.mu.Lock()
	defer other.mu.Unlock()
	must.False(t, other.items[gens[2].id].conn.silent)
}

// The process stops while generations are bound to its own shard. Its local stream must end: it was once reopened in a busy
// loop that used a whole core and gigabytes of memory, visible only as a slow machine.
func TestLocalStreamEndsWithProcess(t *testing.T) {
	r := newRig(t, 1, siteOf(1, 1, 32))
	p := r.procs[0]
	gens := submit(p, 2, 1)
	r.until("granted", func() bool { return countStarted(gens) == 1 })
	p.stop()
	opens := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.conns[p.self.Instance].streams
	}
	before := opens()
	time.Sleep(50 * time.Millisecond)
	must.LessEq(t, before+1, opens())
}

// A target is drained while it runs a generation; then the shard gets a new owner, whose targets don't include it. A policy
// that does not know the target would queue and grant the generation again, and entry and owner would correct each other
// endlessly.
func TestNewHostDoesNotGrantWorkOnDrainedTarget(t *testing.T) {
	h := newTestHost(t, 1, 1)
	c := newTestEntry(h)
	c.request(ids.From(1, 1), "drained")
	time.Sleep(150 * time.Millisecond) // longer than the settle time of a new owner
	must.Len(t, 0, c.grants())
	c.request(ids.From(2, 2), "")
	waitGrants(t, c, 1)
}

// A shard changes its owner while a generation with thousands of tokens waits for its next one. Without a progress message
// the new owner would forecast its memory from zero tokens, and overfill the engine.
func TestNewOwnerReceivesProgress(t *testing.T) {
	r := newRig(t, 2, siteOf(2, 8, 32))
	_, other := r.owner()
	g := submit(other, 1, 1)[0]
	r.until("granted", g.started)
	other.Progress(svc, g.id, 1, 7)
	other.flushProgress()
	other.mu.Lock()
	defer other.mu.Unlock()
	it := other.items[g.id]
	must.False(t, it.dirty)
	other.bind(it, it.conn)
	must.True(t, it.dirty)
}
