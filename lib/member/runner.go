package member

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// Runner drives a Table over a mesh node. Its methods are safe for concurrent use.
type Runner struct {
	node  *mesh.Node
	start time.Time

	mu    sync.Mutex
	table *Table
	shown uint64 // version of the current view
	next  chan struct{}

	view atomic.Pointer[View]
}

// NewRunner makes a table for cfg and serves heartbeats on node, which must carry the same identity as cfg.Self.
func NewRunner(node *mesh.Node, cfg Config) *Runner {
	r := &Runner{
		node:  node,
		start: time.Now(),
		table: NewTable(0, cfg),
		next:  make(chan struct{}),
	}
	r.view.Store(r.table.View())
	node.Handle(meshpb.StreamKind_STREAM_HEARTBEAT, r.serve)
	return r
}

// Run sends heartbeats until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	out := mesh.NewOutbox(ctx, r.node, mesh.OutboxOptions{
		Kind:     meshpb.StreamKind_STREAM_HEARTBEAT,
		Queue:    1, // an old heartbeat is worth nothing
		Idle:     idlePeer,
		NewReply: func() proto.Message { return new(meshpb.Heartbeat) },
		OnReply:  func(_ mesh.Identity, m proto.Message) { r.receive(m.(*meshpb.Heartbeat)) },
		OnError:  r.failed,
	})
	defer out.Wait()
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			r.round(out)
			timer.Reset(r.tickInterval())
		}
	}
}

// tickInterval is short enough for news that can't wait for the next round.
func (r *Runner) tickInterval() (d time.Duration) {
	r.locked(func(Time) { d = r.table.cfg.Interval / urgentDivisor })
	return d
}

// SetInterval changes the time between heartbeats, as settings say.
func (r *Runner) SetInterval(d time.Duration) {
	r.locked(func(Time) { r.table.SetInterval(d) })
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

// SettingsRevisions returns the highest revision that each other member has.
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
	v := r.table.View()
	report(r.view.Swap(v), v)
	close(r.next)
	r.next = make(chan struct{})
}

func (r *Runner) round(out *mesh.Outbox) {
	var beats []Outgoing
	r.locked(func(now Time) { beats = r.table.Tick(now) })
	for _, o := range beats {
		out.Send(mesh.Peer{Instance: o.To.Instance, Addr: o.To.MeshAddr}, o.Heartbeat)
	}
}

// receive passes a heartbeat to the table and returns the answer, if one is due.
func (r *Runner) receive(hb *meshpb.Heartbeat) (answer *meshpb.Heartbeat) {
	r.locked(func(now Time) { answer = r.table.HandleHeartbeat(now, hb) })
	return answer
}

// failed notes that nobody, or another instance, answers at a member's address.
func (r *Runner) failed(to mesh.Peer, err error) {
	if !mesh.Refused(err) {
		return
	}
	r.locked(func(now Time) {
		if m, ok := r.table.Get(to.Instance); ok && m.MeshAddr == to.Addr {
			r.table.Unreachable(now, m.Instance, m.Incarnation)
		}
	})
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

// idlePeer without a heartbeat to a peer closes its stream: it is no neighbour any more.
const idlePeer = 10 * time.Second
