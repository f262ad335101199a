package schedlink

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/placer"
	"anvilwick.example/anvilwick/lib/sched"
)

const (
	svc              = "planner"
	testInterval     = 50 * time.Millisecond
	testOwnerTimeout = 400 * time.Millisecond
)

// slots is a sched.Policy that grants in order while its targets have a free slot.
type slots struct {
	free    map[string]int
	names   []string
	queue   []sched.Request
	running map[ids.Generation]sched.Request
}

func newSlots(string) sched.Policy {
	return &slots{free: make(map[string]int), running: make(map[ids.Generation]sched.Request)}
}

func (p *slots) SetTargets(_ sched.Time, specs []sched.TargetSpec) {
	for _, s := range specs {
		if _, ok := p.free[s.Name]; !ok {
			p.free[s.Name] = s.MaxBatch
			p.names = append(p.names, s.Name)
		}
	}
}

func (p *slots) Submit(_ sched.Time, r sched.Request) {
	if _, known := p.free[r.RunningOn]; known { // like sched.Owner; on any other target it is queued
		p.running[r.Gen] = r
		p.free[r.RunningOn]--
		return
	}
	p.queue = append(p.queue, r)
}

func (p *slots) End(_ sched.Time, g ids.Generation, _ uint32, _ int, _ sched.EndReason) {
	if r, ok := p.running[g]; ok {
		p.free[r.RunningOn]++
		delete(p.running, g)
		return
	}
	for i, r := range p.queue {
		if r.Gen == g {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			return
		}
	}
}

func (p *slots) Tick(_ sched.Time, acts []sched.Action) []sched.Action {
	for len(p.queue) > 0 {
		name := p.freeTarget()
		if name == "" {
			break
		}
		r := p.queue[0]
		p.queue = p.queue[1:]
		r.RunningOn = name
		p.free[name]--
		p.running[r.Gen] = r
		acts = append(acts, sched.Action{Kind: sched.ActGrant, Gen: r.Gen, Attempt: r.Attempt, Target: name})
	}
	return acts
}

func (p *slots) freeTarget() string {
	best := ""
	for _, n := range p.names {
		if p.free[n] > 0 && (best == "" || p.free[n] > p.free[best]) {
			best = n
		}
	}
	return best
}

func (p *slots) SetPolicy(sched.PolicyFunc)                        {}
func (p *slots) SetPower(sched.Time, float64, sched.Time, float64) {}
func (p *slots) Progress(sched.Time, ids.Generation, uint32, int)  {}
func (p *slots) Report(sched.Time, sched.Report)                   {}
func (p *slots) CacheSnapshot(sched.Time, string, []uint64)        {}
func (p *slots) CacheStored(sched.Time, string, uint64, bool)      {}
func (p *slots) TargetGone(sched.Time, string)                     {}
func noPoll(context.Context, string, placer.Feed) func([]string)   { return func([]string) {} }
func siteOf(targets, batch, limit int) Site {
	var specs []sched.TargetSpec
	for i := range targets {
		specs = append(specs, sched.TargetSpec{Name: fmt.Sprintf("t%02d", i), MaxBatch: batch})
	}
	return Site{Services: []Service{{Name: svc, Targets: specs}}, ShardTargets: limit}
}

// proc is one entry process, on a real socket.
type proc struct {
	*Link
	host    *Host
	members *member.Runner
	node    *mesh.Node
	self    member.Member
	stalled atomic.Bool // its links deliver nothing in either direction
	dials   atomic.Int32
	stop    func()
}

// rig is a set of processes.
type rig struct {
	t        *testing.T
	interval time.Duration // of heartbeats
	mu       sync.Mutex    // guards procs against dial
	procs    []*proc
}

func newRig(t *testing.T, n int, site Site) *rig { return newRigAt(t, n, site, testInterval) }

// newSlowRig uses heartbeats so slow that entries bypass a silent owner long before it counts as dead.
func newSlowRig(t *testing.T, n int, site Site) *rig { return newRigAt(t, n, site, 5*testInterval) }

func newRigAt(t *testing.T, n int, site Site, interval time.Duration) *rig {
	t.Parallel() // most of a test's time is waiting
	r := &rig{t: t, interval: interval}
	for i := range n {
		r.start(fmt.Sprintf("i%02d", i))
	}
	for _, p := range r.procs {
		p.members.SetInstances(listOf(r.procs))
		p.Apply(site)
	}
	for _, p := range r.procs {
		r.until("all live", func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return len(p.owners.workers) == n
		})
	}
	return r
}

func listOf(procs []*proc) (list []member.Member) {
	for _, p := range procs {
		list = append(list, p.self)
	}
	return list
}

func (r *rig) start(name string) *proc {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(r.t, err)
	p := &proc{self: member.Member{Instance: name, Incarnation: 1, MeshAddr: ln.Addr().String()}}
	p.node, err = mesh.New(mesh.Options{
		Self:         mesh.Identity{Instance: name, Incarnation: 1},
		Plaintext:    true,
		KeepAlive:    100 * time.Millisecond,
		WriteTimeout: 200 * time.Millisecond,
		DialTimeout:  300 * time.Millisecond,
		BackoffMin:   20 * time.Millisecond,
		BackoffMax:   200 * time.Millisecond,
		Dial:         func(ctx context.Context, addr string) (net.Conn, error) { return r.dial(ctx, p, addr) },
	})
	must.NoError(r.t, err)
	p.members = member.NewRunner(p.node, member.Config{Self: p.self, Interval: r.interval})
	ctx, cancel := context.WithCancel(context.Background())
	p.host = NewHost(ctx, HostOptions{
		Self:              name,
		NewPolicy:         newSlots,
		Poll:              noPoll,
		KeepaliveInterval: 50 * time.Millisecond,
		SettleDelay:       50 * time.Millisecond,
		GracePeriod:       500 * time.Millisecond,
	})
	p.node.Handle(meshpb.StreamKind_STREAM_SCHED, p.host.Serve)
	p.Link = NewLink(ctx, LinkOptions{Self: name, Node: p.node, Members: p.members, Host: p.host, OwnerTimeout: testOwnerTimeout})
	var wg sync.WaitGroup
	for _, f := range []func(){func() { p.members.Run(ctx) }, func() { p.Link.Run(ctx) }, func() { p.node.Serve(ln) }} {
		wg.Go(f)
	}
	p.stop = sync.OnceFunc(func() {
		cancel()
		p.node.Close()
		wg.Wait()
	})
	r.t.Cleanup(p.stop)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.procs = append(r.procs, p)
	return p
}

// dial returns connections that deliver nothing while either end is stalled.
func (r *rig) dial(ctx context.Context, from *proc, addr string) (net.Conn, error) {
	from.dials.Add(1)
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	ends := []*proc{from}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.procs {
		if p.self.MeshAddr == addr {
			ends = append(ends, p)
		}
	}
	return &stallConn{Conn: conn, ends: ends, gone: make(chan struct{})}, nil
}

type stallConn struct {
	net.Conn
	ends []*proc
	gone chan struct{}
	once sync.Once
}

// wait blocks a read or write while an end is stalled.
func (c *stallConn) wait() error {
	for {
		held := false
		for _, p := range c.ends {
			held = held || p.stalled.Load()
		}
		if !held {
			return nil
		}
		select {
		case <-c.gone:
			return net.ErrClosed
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (c *stallConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if werr := c.wait(); werr != nil {
		return 0, werr
	}
	return n, err
}

func (c *stallConn) Write(b []byte) (int, error) {
	if err := c.wait(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *stallConn) Close() error {
	c.once.Do(func() { close(c.gone) })
	return c.Conn.Close()
}

func (r *rig) until(what string, cond func() bool) time.Duration {
	r.t.Helper()
	from := time.Now()
	for !cond() {
		if time.Since(from) > 10*time.Second {
			r.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return time.Since(from)
}

// owner returns the process that owns the only shard, and one that doesn't.
func (r *rig) owner() (owner, other *proc) {
	for _, p := range r.procs {
		if len(p.host.Digests()) > 0 {
			owner = p
		} else {
			other = p
		}
	}
	must.NotNil(r.t, owner)
	return owner, other
}

// gen is a generation as an entry's caller sees it; it counts the starts.
type gen struct {
	id      ids.Generation
	mu      sync.Mutex
	target  string
	starts  int
	refused int
	other   int
}

func (g *gen) notify(a sched.Action) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch a.Kind {
	case sched.ActGrant:
		g.target = a.Target
		g.starts++
	case sched.ActRefuse:
		g.refused++
	default:
		g.other++
	}
}

func (g *gen) started() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.starts > 0
}

func (g *gen) startedOnce(t *testing.T) {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	must.EqOp(t, 1, g.starts)
	must.EqOp(t, 0, g.refused)
}

func submit(p *proc, n int, from uint64) []*gen {
	var out []*gen
	for i := range n {
		g := &gen{id: ids.From(from, uint64(i))}
		out = append(out, g)
		p.Submit(svc, sched.Request{Gen: g.id, Workspace: "w", Class: "c", Attempt: 1}, g.notify)
	}
	return out
}

func countStarted(gens []*gen) int {
	n := 0
	for _, g := range gens {
		if g.started() {
			n++
		}
	}
	return n
}

// counts counts the generations in a process's hosted shards.
func (p *proc) counts() (queued, running int) {
	for _, h := range p.host.hostedShards() {
		d := h.digest()
		queued += int(d.GetQueued())
		running += int(d.GetRunning())
	}
	return queued, running
}

// stateAt returns the state of process of in p's membership view.
func (r *rig) stateAt(p, of *proc) member.State {
	m, ok := p.members.View().Get(of.self.Instance)
	must.True(r.t, ok)
	return m.State
}
