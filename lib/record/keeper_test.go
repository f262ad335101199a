package record

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/claim"
	"anvilwick.example/anvilwick/lib/entry"
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/result"
)

// cluster has a fixed membership that tests change by hand.
type cluster struct {
	t     *testing.T
	mu    sync.Mutex
	procs []*proc
	view  *member.View
}

type proc struct {
	*Replicator
	lost chan ids.Generation
	self member.Member
	stop func()
}

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t}
	for i := range n {
		c.start(fmt.Sprint("i", i), i, "127.0.0.1:0")
	}
	return c
}

func (c *cluster) start(name string, domain int, addr string) *proc {
	ln, err := net.Listen("tcp", addr)
	must.NoError(c.t, err)
	id := mesh.Identity{Instance: name, Incarnation: 1}
	node, err := mesh.New(mesh.Options{Self: id, Plaintext: true, BackoffMin: time.Millisecond, BackoffMax: 10 * time.Millisecond})
	must.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	p := &proc{self: member.Member{Instance: name, Incarnation: 1, FailureDomain: fmt.Sprint("d", domain%3), MeshAddr: ln.Addr().String()}}
	p.lost = make(chan ids.Generation, 16)
	p.Replicator = New(ctx, Options{Self: id, Node: node, View: c.current, OnSuperseded: func(g ids.Generation) { p.lost <- g }})
	go node.Serve(ln)
	p.stop = sync.OnceFunc(func() {
		cancel()
		node.Close()
	})
	c.t.Cleanup(p.stop)
	c.mu.Lock()
	c.procs = append(c.procs, p)
	c.mu.Unlock()
	c.renew()
	return p
}

func (c *cluster) current() *member.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// renew makes a view of all processes in the list.
func (c *cluster) renew() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = &member.View{}
	for _, p := range c.procs {
		c.view.Members = append(c.view.Members, p.self)
	}
	slices.SortFunc(c.view.Members, func(a, b member.Member) int { return slices.Compare([]byte(a.Instance), []byte(b.Instance)) })
}

func (c *cluster) without(p *proc) {
	c.mu.Lock()
	c.procs = slices.DeleteFunc(c.procs, func(o *proc) bool { return o == p })
	c.mu.Unlock()
	c.renew()
}

func (c *cluster) holdersOf(k string, owner *proc) (out []*proc) {
	for _, m := range holders(ranked(keyOf("w", k), c.current().Workers()), owner.self.Instance) {
		for _, p := range c.procs {
			if p.self == m {
				out = append(out, p)
			}
		}
	}
	return out
}

func recordOf(k string, tokens ...string) *entry.Record {
	return &entry.Record{
		Generation: ids.From(1, 2),
		Subject:    entry.Subject{Service: "s", Workspace: "w", Class: "c", Fingerprint: 9},
		Key:        k,
		Attempt:    1,
		Target:     "t",
		Path:       "/v1/completions",
		Request:    []byte("body"),
		Tokens:     tokens,
	}
}

// put writes a record whole and then one more token, and waits until both holders have all.
func (c *cluster) put(p *proc, k string) {
	p.Put(recordOf(k, "a", "b"), 0)
	p.Put(recordOf(k, "c"), 2)
	c.waitHeld(p, k, 3)
}

func (c *cluster) waitHeld(p *proc, k string, tokens int) {
	c.t.Helper()
	for _, h := range c.holdersOf(k, p) {
		for end := time.Now().Add(5 * time.Second); len(h.store.get(time.Now(), keyOf("w", k)).GetTokens()) != tokens; time.Sleep(time.Millisecond) {
			must.True(c.t, time.Now().Before(end), must.Sprintf("%s has no %d tokens", h.self.Instance, tokens))
		}
	}
}

// The entry that holds the caller is killed. Its caller comes back through another entry at once, before any heartbeat
// is missed, and must get the record: the address of the dead one refuses.
func TestRecordIsFoundThroughAnyEntryAfterItsOwnerDied(t *testing.T) {
	c := newCluster(t, 6)
	owner := c.procs[0]
	c.put(owner, "k")
	owner.stop()
	for _, p := range c.procs[1:] {
		rec, err := p.Get(t.Context(), "w", "k")
		must.Nil(t, err)
		want := recordOf("k", "a", "b", "c")
		want.Owner = claim.Holder{Instance: owner.self.Instance, Incarnation: owner.self.Incarnation}
		must.Eq(t, want, rec)
	}
}

// While the entry that runs it is well, another must not take the generation over, or two would run it.
func TestRecordOfALiveOwnerIsNotGivenOut(t *testing.T) {
	c := newCluster(t, 4)
	c.put(c.procs[0], "k")
	_, err := c.procs[1].Get(t.Context(), "w", "k")
	must.NotNil(t, err)
	must.EqOp(t, result.AlreadyRunning, err.Code)
	must.Positive(t, err.RetryAfter)
}

// A generation failed and was recorded as over, without an end mark. Given out, its part of an answer would be closed
// as if it were the whole.
func TestRecordOfAFailedGenerationIsNoWholeAnswer(t *testing.T) {
	c := newCluster(t, 4)
	owner := c.procs[0]
	failed := recordOf("k", "a", "b")
	failed.Finished = true
	owner.Put(failed, 0)
	c.waitHeld(owner, "k", 2)
	owner.stop()
	_, err := c.procs[1].Get(t.Context(), "w", "k")
	must.NotNil(t, err)
	must.EqOp(t, result.UnknownStream, err.Code)
}

// One that is asked for the record hangs: its link delivers nothing. The answers of the others must be enough, and time
// must be left to learn that the owner is dead.
func TestRecordIsFoundThoughOneThatIsAskedHangs(t *testing.T) {
	c := newCluster(t, 6)
	owner := c.procs[0]
	c.put(owner, "k")
	hung, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and says nothing
	must.NoError(t, err)
	defer hung.Close()
	order := searched(ranked(keyOf("w", "k"), c.current().Workers()))
	asked := slices.DeleteFunc(order, func(m member.Member) bool { return m == owner.self })
	c.mu.Lock()
	for i := range c.view.Members {
		if m := &c.view.Members[i]; m.Instance == asked[len(asked)-1].Instance {
			m.MeshAddr = hung.Addr().String()
		}
	}
	c.mu.Unlock()
	owner.stop()
	for _, p := range c.procs[1:] {
		if p.self.Instance == asked[len(asked)-1].Instance {
			continue
		}
		rec, rerr := p.Get(t.Context(), "w", "k")
		must.Nil(t, rerr)
		must.Eq(t, []string{"a", "b", "c"}, rec.Tokens)
		break
	}
}

func TestUnknownKey(t *testing.T) {
	c := newCluster(t, 3)
	_, err := c.procs[0].Get(t.Context(), "w", "nobody's")
	must.NotNil(t, err)
	must.EqOp(t, result.UnknownStream, err.Code)
}

// One holder dies. The other still answers; and with its next token the owner gives the whole record to the peer that
// takes the dead one's place.
func TestRecordSurvivesTheDeathOfAHolder(t *testing.T) {
	c := newCluster(t, 6)
	owner := c.procs[0]
	c.put(owner, "k")
	dead := c.holdersOf("k", owner)[0]
	dead.stop()
	c.without(dead)
	owner.Put(recordOf("k", "d"), 3)
	c.waitHeld(owner, "k", 4)
	owner.stop()
	rec, err := c.procs[1].Get(t.Context(), "w", "k")
	must.Nil(t, err)
	must.Eq(t, []string{"a", "b", "c", "d"}, rec.Tokens)
	must.Eq(t, "body", string(rec.Request))
}

// Another entry took the generation over. The old owner, which was only cut off, must stop writing and not loop.
func TestOldOwnerGivesWayToWhoTookOver(t *testing.T) {
	c := newCluster(t, 4)
	owner := c.procs[0]
	c.put(owner, "k")
	for _, h := range c.holdersOf("k", owner) {
		h.store.put(time.Now(), toProto(&entry.Record{Generation: ids.From(1, 2), Subject: entry.Subject{Workspace: "w"}, Key: "k", Attempt: 100}, keyOf("w", "k"), 0, mesh.Identity{Instance: "new"}))
	}
	owner.Put(recordOf("k", "d"), 3)
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		owner.mu.Lock()
		n := len(owner.own)
		owner.mu.Unlock()
		if n == 0 {
			return
		}
		must.True(t, time.Now().Before(end))
	}
}

// A frozen entry wakes after another took its generation over. It must hear of that, from the peers that hold the record
// or, on a site of two, from the new owner itself; else it runs on, and delivers to a caller that it no longer serves.
func TestOldOwnerHearsThatItWasReplaced(t *testing.T) {
	for _, n := range []int{2, 3, 6} {
		for _, first := range []string{"new", "old"} {
			c := newCluster(t, n)
			old, next := c.procs[0], c.procs[1]
			c.put(old, "k")
			over := recordOf("k", "a", "b", "c")
			over.Attempt = 18
			if first == "new" {
				next.Put(over, 0)
				c.waitHeld(next, "k", 3)
			}
			old.Put(recordOf("k", "d"), 3)
			if first == "old" {
				next.Put(over, 0)
			}
			select {
			case g := <-old.lost:
				must.Eq(t, over.Generation, g)
			case <-time.After(5 * time.Second):
				t.Fatalf("%d entries, %s puts first: the old owner never hears", n, first)
			}
			select {
			case g := <-next.lost:
				t.Fatalf("the new owner is told that it was replaced: %v", g)
			default:
			}
		}
	}
}

func TestOwnRecordsAreBounded(t *testing.T) {
	c := newCluster(t, 3)
	p := c.procs[0]
	p.opts.MaxBytes = 50_000
	for i := range 500 {
		p.Put(recordOf(fmt.Sprint("k", i), "a"), 0)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	must.LessEq(t, 50_000+1000, p.bytes)
}
