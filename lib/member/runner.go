package member

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// Runner drives a Table over a mesh node. Its methods are safe for concurrent use.
type Runner struct {
	node     *mesh.Node
	interval time.Duration
	start    time.Time

	mu    sync.Mutex
	table *Table
	shown uint64 // version of the current view
	next  chan struct{}

	view  atomic.Pointer[View]
	conns map[string]*peerConn // by instance; only Run's goroutine uses it
	wg    sync.WaitGroup
}

// NewRunner makes a table for cfg and serves heartbeats on node, which must carry the same identity as cfg.Self.
func NewRunner(node *mesh.Node, cfg Config) *Runner {
	cfg = cfg.withDefaults()
	r := &Runner{
		node:     node,
		interval: cfg.Interval,
		start:    time.Now(),
		table:    NewTable(0, cfg),
		next:     make(chan struct{}),
		conns:    make(map[string]*peerConn),
	}
	r.view.Store(r.table.View())
	node.Handle(meshpb.StreamKind_STREAM_HEARTBEAT, r.serve)
	return r
}

// Run sends heartbeats until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(r.interval / urgentDivisor)
	defer ticker.Stop()
	defer r.closeConns()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.round(ctx)
		}
	}
}

// View returns the newest view.
func (r *Runner) View() *View { return r.view.Load() }

// Changed returns a channel that closes when a view newer than the current one exists. Take the channel before View.
func (r *Runner) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next
}

// SetInstances joins the platform's list.
func (r *Runner) SetInstances(list []Member) {
	r.locked(func(now Time) { r.table.SetInstances(now, list) })
}

// SetLocal sets what heartbeats tell of this instance beside its state.
func (r *Runner) SetLocal(settingsRevision uint64, digests []*meshpb.ShardDigest) {
	r.locked(func(Time) { r.table.SetLocal(settingsRevision, digests) })
}

// Leave announces that this instance is stopping.
func (r *Runner) Leave() {
	r.locked(func(Time) { r.table.Leave() })
}

// Digests returns what members that take work said of their shards.
func (r *Runner) Digests() (out []Digest) {
	r.locked(func(now Time) { out = r.table.Digests(now) })
	return out
}

// SettingsRevisions returns the revision in force at each other member.
func (r *Runner) SettingsRevisions() (out map[string]uint64) {
	r.locked(func(Time) { out = r.table.SettingsRevisions() })
	return out
}

// locked runs f with the time and publishes a new view when f changed the table.
func (r *Runner) locked(f func(now Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(time.Since(r.start))
	if r.table.Version() == r.shown {
		return
	}
	r.shown = r.table.Version()
	r.view.Store(r.table.View())
	close(r.next)
	r.next = make(chan struct{})
}

func (r *Runner) round(ctx context.Context) {
	var out []Outgoing
	r.locked(func(now Time) { out = r.table.Tick(now) })
	for _, o := range out {
		r.connTo(ctx, o.To).offer(o.Beat)
	}
	if len(out) > 0 {
		r.dropIdle()
	}
}

// receive passes a heartbeat to the table and returns the answer, if one is due.
func (r *Runner) receive(hb *meshpb.Heartbeat) (answer *meshpb.Heartbeat) {
	r.locked(func(now Time) { answer = r.table.Receive(now, hb) })
	return answer
}

func (r *Runner) unreachable(m Member) {
	r.locked(func(now Time) { r.table.Unreachable(now, m.Instance, m.Incarnation) })
}

// serve answers the probes of one peer.
func (r *Runner) serve(_ context.Context, s *mesh.Stream) {
	for {
		var hb meshpb.Heartbeat
		if err := s.Read(&hb); err != nil {
			return
		}
		answer := r.receive(&hb)
		if answer == nil {
			continue
		}
		if err := s.Write(answer); err != nil {
			return
		}
	}
}

func (r *Runner) connTo(ctx context.Context, m Member) *peerConn {
	c, ok := r.conns[m.Instance]
	if ok && c.addr == m.MeshAddr {
		return c
	}
	if ok {
		c.stop()
	}
	c = newPeerConn(ctx, r, m)
	r.conns[m.Instance] = c
	return c
}

// dropIdle stops connections to peers that are no neighbours any more.
func (r *Runner) dropIdle() {
	for name, c := range r.conns {
		if time.Since(c.used) > idleIntervals*r.interval {
			c.stop()
			delete(r.conns, name)
		}
	}
}

const idleIntervals = 10

func (r *Runner) closeConns() {
	for _, c := range r.conns {
		c.stop()
	}
	r.wg.Wait()
}
