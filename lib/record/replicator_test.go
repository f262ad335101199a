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

// cluster has a fixed membership that tests change explicitly.
type cluster struct {
	t     *testing.T
	mu    sync.Mutex
	procs []*testEntry
	view  *member.View
}

type testEntry struct {
	*Replicator
	superseded chan ids.Generation
	self       member.Member
	stop       func()
}

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t}
	for i := range n {
		c.start(fmt.Sprint("i", i), i, "127.0.0.1:0")
	}
	return c
}

func (c *cluster) start(name string, domain int, addr string) *testEntry {
	ln, err := net.Listen("tcp", addr)
	must.NoError(c.t, err)
	id := mesh.Identity{Instance: name, Incarnation: 1}
	node, err := mesh.New(mesh.Options{Self: id, Plaintext: true, BackoffMin: time.Millisecond, BackoffMax: 10 * time.Millisecond})
	must.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	p := &testEntry{self: member.Member{Instance: name, Incarnation: 1, FailureDomain: fmt.Sprint("d", domain%3), MeshAddr: ln.Addr().String()}}
	p.superseded = make(chan ids.Generation, 16)
	p.Replicator = New(ctx, Options{Self: id, Node: node, View: c.current, OnSuperseded: func(g ids.Generation) { p.superseded <- g }})
	go node.Serve(ln)
	p.stop = sync.OnceFunc(func() {
		cancel()
		node.Close()
	})
	c.t.Cleanup(p.stop)
	c.mu.Lock()
	c.procs = append(c.procs, p)
	c.mu.Unlock()
	c.updateView()
	return p
}

func (c *cluster) current() *member.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// updateView sets the view to all entries in the list.
func (c *cluster) updateView() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = &member.View{}
	for _, p := range c.procs {
		c.view.Members = append(c.view.Members, p.self)
	}
	slices.SortFunc(c.view.Members, func(a, b member.Member) int { return slices.Compare([]byte(a.Instance), []byte(b.Instance)) })
}

func (c *cluster) remove(p *testEntry) {
	c.mu.Lock()
	c.procs = slices.DeleteFunc(c.procs, func(o *testEntry) bool { return o == p })
	c.mu.Unlock()
	c.updateView()
}

func (c *cluster) holderEntries(k string, owner *testEntry) (out []*testEntry) {
	for _, m := range holders(rankedMembers(keyOf("w", k), c.current().Workers()), owner.self.Instance) {
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

// put writes a record and then one more token, and waits until both holders have all of it.
func (c *cluster) put(p *testEntry, k string) {
	p.Put(recordOf(k, "a", "b"), 0)
	p.Put(recordOf(k, "c"), 2)
	c.awaitReplicas(p, k, 3)
}

func (c *cluster) awaitReplicas(p *testEntry, k string, tokens int) {
	c.t.Helper()
	for _, h := range c.holderEntries(k, p) {
		for end := time.Now().Add(5 * time.Second); len(h.store.get(time.Now(), keyOf("w", k)).GetTokens()) != tokens; time.Sleep(time.Millisecond) {
			must.True(c.t, time.Now().Before(end), must.Sprintf("%s does not hold %d tokens", h.self.Instance, tokens))
		}
	}
}

// The entry that serves the caller is killed. The caller retries through another entry at once, before any heartbeat is
// missed, and must get the record, because the dead entry's address refuses connections.
func TestRecordIsFoundThroughAnyEntryAfterOwnerDies(t *testing.T) {
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

// While the owner of a generation is alive, another entry must not take it over, or both would run it.
func TestRecordOfLiveOwnerIsRefused(t *testing.T) {
	c := newCluster(t, 4)
	c.put(c.procs[0], "k")
	_, err := c.procs[1].Get(t.Context(), "w", "k")
	must.NotNil(t, err)
	must.EqOp(t, result.AlreadyRunning, err.Code)
	must.Positive(t, err.RetryAfter)
}

// A generation failed and was recorded as finished without a finish reason. If the record were returned, its partial answer
// would be closed as if it were complete.
func TestRecordOfFailedGenerationIsRefused(t *testing.T) {
	c := newCluster(t, 4)
	owner := c.procs[0]
	failed := recordOf("k", "a", "b")
	failed.Finished = true
	owner.Put(failed, 0)
	c.awaitReplicas(owner, "k", 2)
	owner.stop()
	_, err := c.procs[1].Get(t.Context(), "w", "k")
	must.NotNil(t, err)
	must.EqOp(t, result.UnknownStream, err.Code)
}

// One of the queried peers hangs: its link delivers nothing. The replies of the others must suffice, and time must be left
// to find out that the owner is dead.
func TestRecordIsFoundDespiteHangingPeer(t *testing.T) {
	c := newCluster(t, 6)
	owner := c.procs[0]
	c.put(owner, "k")
	hung, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections but never replies
	must.NoError(t, err)
	defer hung.Close()
	order := candidates(rankedMembers(keyOf("w", "k"), c.current().Workers()))
	peers := slices.DeleteFunc(order, func(m member.Member) bool { return m == owner.self })
	c.mu.Lock()
	for i := range c.view.Members {
		if m := &c.view.Members[i]; m.Instance == peers[len(peers)-1].Instance {
			m.MeshAddr = hung.Addr().String()
		}
	}
	c.mu.Unlock()
	owner.stop()
	for _, p := range c.procs[1:] {
		if p.self.Instance == peers[len(peers)-1].Instance {
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

// One holder dies. The other must still answer, and with the next token the owner must send the full record to the peer
// that replaces the dead holder.
func TestRecordSurvivesHolderFailure(t *testing.T) {
	c := newCluster(t, 6)
	owner := c.procs[0]
	c.put(owner, "k")
	dead := c.holderEntries("k", owner)[0]
	dead.stop()
	c.remove(dead)
	owner.Put(recordOf("k", "d"), 3)
	c.awaitReplicas(owner, "k", 4)
	owner.stop()
	rec, err := c.procs[1].Get(t.Context(), "w", "k")
	must.Nil(t, err)
	must.Eq(t, []string{"a", "b", "c", "d"}, rec.Tokens)
	must.Eq(t, "body", string(rec.Request))
}

// Another entry took the generation over. The old owner, which was only partitioned, must stop writing and not loop.
func TestSupersededOwnerStopsWriting(t *testing.T) {
	c := newCluster(t, 4)
	owner := c.procs[0]
	c.put(owner, "k")
	for _, h := range c.holderEntries("k", owner) {
		h.store.put(time.Now(), toProto(&entry.Record{Generation: ids.From(1, 2), Subject: entry.Subject{Workspace: "w"}, Key: "k", Attempt: 100}, keyOf("w", "k"), 0, mesh.Identity{Instance: "new"}))
	}
	owner.Put(recordOf("k", "d"), 3)
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		owner.mu.Lock()
		n := len(owner.local)
		owner.mu.Unlock()
		if n == 0 {
			return
		}
		must.True(t, time.Now().Before(end))
	}
}

// A frozen entry resumes after another took its generation over. It must be notified by the peers that hold the record or,
// in a site of two entries, by the new owner; otherwise it keeps running and delivers to a caller that it no longer serves.
func TestSupersededOwnerIsNotified(t *testing.T) {
	for _, n := range []int{2, 3, 6} {
		for _, first := range []string{"new", "old"} {
			c := newCluster(t, n)
			oldOwner, newOwner := c.procs[0], c.procs[1]
			c.put(oldOwner, "k")
			takeover := recordOf("k", "a", "b", "c")
			takeover.Attempt = 18
			if first == "new" {
				newOwner.Put(takeover, 0)
				c.awaitReplicas(newOwner, "k", 3)
			}
			oldOwner.Put(recordOf("k", "d"), 3)
			if first == "old" {
				newOwner.Put(takeover, 0)
			}
			select {
			case g := <-oldOwner.superseded:
				must.Eq(t, takeover.Generation, g)
			case <-time.After(5 * time.Second):
				t.Fatalf("%d entries, %s puts first: the old owner was not notified", n, first)
			}
			select {
			case g := <-newOwner.superseded:
				t.Fatalf("the new owner was notified that it was superseded: %v", g)
			default:
			}
		}
	}
}

func TestLocalRecordsAreBounded(t *testing.T) {
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
