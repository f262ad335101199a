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

// caller is an entry's session with a Host inside the test.
type caller struct {
	*session
	mu  sync.Mutex
	got []*meshpb.SchedDown
}

func newCaller(h *Host) *caller {
	c := &caller{session: newSession(h)}
	c.local = func(d *meshpb.SchedDown) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.got = append(c.got, d)
	}
	return c
}

func (c *caller) ask(g ids.Generation, runningOn string) {
	r := sched.Request{Gen: g, Attempt: 1}
	c.handle(submitOf(shard.ID{Service: svc}, &r, uint32(g[15])+1, runningOn, 0))
}

// grants returns the targets granted, in order.
func (c *caller) grants() (out []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.got {
		if g := d.GetGrant(); g != nil {
			out = append(out, g.GetTarget())
		}
	}
	return out
}

func newTestHost(t *testing.T, targets, batch int) *Host {
	t.Parallel()
	h := NewHost(t.Context(), HostOptions{
		Self:      "a",
		NewPolicy: newSlots,
		Poll:      noPoll,
		Settle:    100 * time.Millisecond,
		Grace:     200 * time.Millisecond,
	})
	self := member.Member{Instance: "a", Incarnation: 1}
	h.update(newPlan(siteOf(targets, batch, 32)), &member.View{Self: self, Members: []member.Member{self}})
	return h
}

func waitGrants(t *testing.T, c *caller, n int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); len(c.grants()) < n; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(end), must.Sprintf("waited in vain for %d grants", n))
	}
}

// A grant was on its way when the link broke. The entry asks again on a new stream, for the same attempt; the policy
// has placed it and says nothing more, so the caller would wait for ever unless the grant is repeated.
func TestHostRepeatsAGrantThatWasLost(t *testing.T) {
	h := newTestHost(t, 1, 1)
	lost, again := newCaller(h), newCaller(h)
	g := ids.From(1, 1)
	lost.ask(g, "")
	waitGrants(t, lost, 1)
	again.ask(g, "")
	must.Eq(t, []string{"t00"}, again.grants())
}

// The order to preempt was on its way when the link broke. Unless it is given again, the owner waits for the end of an
// attempt that nobody ends, and the engine stays as full as it was.
func TestHostRepeatsAPreemptionThatWasLost(t *testing.T) {
	h := newTestHost(t, 1, 1)
	lost, again := newCaller(h), newCaller(h)
	g := ids.From(1, 1)
	lost.ask(g, "")
	waitGrants(t, lost, 1)
	h.all()[0].decided(sched.Action{Kind: sched.ActPreempt, Gen: g, Attempt: 1})
	again.ask(g, "t00")
	must.Len(t, 1, again.got)
	must.NotNil(t, again.got[0].GetPreempt())

	never := newCaller(h) // heard neither of the grant nor of the preemption
	never.ask(g, "")
	waitGrants(t, never, 1)
}

// A new owner hears from entries one after another. If it granted the first one's queue before the second told what
// it runs, the engine would get both.
func TestNewHostListensBeforeItGrants(t *testing.T) {
	h := newTestHost(t, 1, 1)
	first, second := newCaller(h), newCaller(h)
	first.ask(ids.From(1, 1), "")
	time.Sleep(20 * time.Millisecond)
	second.ask(ids.From(2, 2), "t00")
	time.Sleep(200 * time.Millisecond)
	must.Len(t, 0, first.grants())
	second.handle(endOf(ids.From(2, 2), 1, 3, sched.EndCompleted))
	waitGrants(t, first, 1)
}

// An entry decided alone while the owner was silent, and runs the attempt elsewhere than the owner placed it. The owner
// must free the place that nobody uses.
func TestHostFollowsWhereAnAttemptReallyRuns(t *testing.T) {
	h := newTestHost(t, 2, 1)
	c := newCaller(h)
	c.ask(ids.From(1, 1), "")
	waitGrants(t, c, 1)
	granted, other := c.grants()[0], "t00"
	if granted == other {
		other = "t01"
	}
	c.ask(ids.From(1, 1), other)
	c.ask(ids.From(2, 2), "")
	waitGrants(t, c, 2)
	must.Eq(t, granted, c.grants()[1])
}

// An entry's link breaks. Its generations go on at the engine, so their places must not be given away at once; if the
// entry is dead, they must be after Grace.
func TestHostKeepsThePlacesOfABrokenLinkForGrace(t *testing.T) {
	h := newTestHost(t, 1, 1)
	gone, waiting := newCaller(h), newCaller(h)
	gone.ask(ids.From(1, 1), "")
	waitGrants(t, gone, 1)
	gone.close()
	waiting.ask(ids.From(2, 2), "")
	time.Sleep(h.opts.Grace / 2)
	must.Len(t, 0, waiting.grants())
	waitGrants(t, waiting, 1)
}

// A grant comes late, of an owner that the entry did without. The attempt runs elsewhere already; it must not start
// again, and the owner must be told.
func TestLateGrantStartsNothingAndIsAnswered(t *testing.T) {
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
	other.act(it, sched.Action{Kind: sched.ActGrant, Gen: g.id, Attempt: 1, Target: late})
	told := c.out[len(c.out)-1].GetSubmit().GetRunningOn()
	other.mu.Unlock()
	must.Eq(t, it.target, told)
	must.Eq(t, owner.self, c.to)
	g.startedOnce(t)
}

// An owner with full engines has nothing to say for long. Its entries must not take that for silence, or they would
// put more on engines that are full.
func TestQuietOwnerIsNotSilent(t *testing.T) {
	r := newRig(t, 2, siteOf(1, 1, 32))
	_, other := r.owner()
	gens := submit(other, 3, 1)
	r.until("the only slot", func() bool { return countStarted(gens) == 1 })
	time.Sleep(2 * testSilence)
	must.EqOp(t, 1, countStarted(gens))
	other.mu.Lock()
	defer other.mu.Unlock()
	must.False(t, other.items[gens[2].id].conn.silent)
}

// The process stops while generations are bound to its own shard. The conversation with itself must end: it once began
// again and again, took a whole core and gigabytes, and nothing was seen of it but a slow machine.
func TestConversationWithItselfEndsWithTheProcess(t *testing.T) {
	r := newRig(t, 1, siteOf(1, 1, 32))
	p := r.procs[0]
	gens := submit(p, 2, 1)
	r.until("granted", func() bool { return countStarted(gens) == 1 })
	p.stop()
	opens := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.conns[p.self.Instance].opens
	}
	before := opens()
	time.Sleep(50 * time.Millisecond)
	must.LessEq(t, before+1, opens())
}

// A target is drained and runs on; then the shard gets a new owner, whose targets leave it out. Told of what runs there, a
// policy that does not know the target would queue and grant it again, and entry and owner would correct each other
// without end.
func TestNewHostPlacesNothingThatRunsOnADrainedTarget(t *testing.T) {
	h := newTestHost(t, 1, 1)
	c := newCaller(h)
	c.ask(ids.From(1, 1), "drained")
	time.Sleep(150 * time.Millisecond) // over the time in which a new owner listens
	must.Len(t, 0, c.grants())
	c.ask(ids.From(2, 2), "")
	waitGrants(t, c, 1)
}

// A shard gets another owner while a generation that gave thousands of tokens waits for its next. The new owner would
// forecast its memory from none, and overfill the engine, unless it is told of the progress as well.
func TestNewOwnerIsToldOfProgress(t *testing.T) {
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
