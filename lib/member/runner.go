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

	mu          sync.Mutex
	table       *Table
	viewVersion uint64 // version of the current view
	viewChanged chan struct{}

	view atomic.Pointer[View]
}

// NewRunner creates a table for cfg and serves heartbeats on node, which must have the same identity as cfg.Self.
func NewRunner(node *mesh.Node, cfg Config) *Runner {
	r := &Runner{
		node:        node,
		start:       time.Now(),
		table:       NewTable(0, cfg),
		viewChanged: make(chan struct{}),
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
		Queue:    1, // only the latest heartbeat matters
		Idle:     idlePeerTimeout,
		NewReply: func() proto.Message { return new(meshpb.Heartbeat) },
		OnReply:  func(_ mesh.Identity, m proto.Message) { r.handleHeartbeat(m.(*meshpb.Heartbeat)) },
		OnError:  r.handleSendError,
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
			r.sendRound(out)
			timer.Reset(r.tickInterval())
		}
	}
}

// tickInterval is short enough for urgent changes, which don't wait for the next round.
func (r *Runner) tickInterval() (d time.Duration) {
	r.withTable(func(Time) { d = r.table.cfg.Interval / urgentDivisor })
	return d
}

// SetInterval changes the interval of heartbeats.
func (r *Runner) SetInterval(d time.Duration) {
	r.withTable(func(Time) { r.table.SetInterval(d) })
}

// View returns the newest view.
func (r *Runner) View() *View { return r.view.Load() }

// Changed returns a channel that is closed when a view newer than the current one exists. Get the channel before calling View.
func (r *Runner) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.viewChanged
}

// SetInstances merges the platform's instance list.
func (r *Runner) SetInstances(list []Member) {
	r.withTable(func(now Time) { r.table.SetInstances(now, list) })
}

// SetLocal sets what heartbeats report of this instance in addition to its state.
func (r *Runner) SetLocal(settingsRevision uint64, digests []*meshpb.ShardDigest) {
	r.withTable(func(Time) { r.table.SetLocal(settingsRevision, digests) })
}

// Leave announces that this instance is stopping.
func (r *Runner) Leave() {
	r.withTable(func(Time) { r.table.Leave() })
}

// Digests returns the shard digests of the members that accept work.
func (r *Runner) Digests() (out []Digest) {
	r.withTable(func(now Time) { out = r.table.Digests(now) })
	return out
}

// SettingsRevisions returns the highest settings revision reported by each other member.
func (r *Runner) SettingsRevisions() (out map[string]uint64) {
	r.withTable(func(Time) { out = r.table.SettingsRevisions() })
	return out
}

// withTable calls f with the table locked and the current time, and publishes a new view if f changed the table.
func (r *Runner) withTable(f func(now Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(time.Since(r.start))
	if r.table.Version() == r.viewVersion {
		return
	}
	r.viewVersion = r.table.Version()
	v := r.table.View()
	logChanges(r.view.Swap(v), v)
	close(r.viewChanged)
	r.viewChanged = make(chan struct{})
}

func (r *Runner) sendRound(out *mesh.Outbox) {
	var heartbeats []Outgoing
	r.withTable(func(now Time) { heartbeats = r.table.Tick(now) })
	for _, o := range heartbeats {
		out.Send(mesh.Peer{Instance: o.To.Instance, Addr: o.To.MeshAddr}, o.Heartbeat)
	}
}

// handleHeartbeat processes a heartbeat and returns the reply, if one is due.
func (r *Runner) handleHeartbeat(hb *meshpb.Heartbeat) (reply *meshpb.Heartbeat) {
	r.withTable(func(now Time) { reply = r.table.HandleHeartbeat(now, hb) })
	return reply
}

// handleSendError marks a member as unreachable if nothing, or another instance, listens on its address.
func (r *Runner) handleSendError(to mesh.Peer, err error) {
	if !mesh.Refused(err) {
		return
	}
	r.withTable(func(now Time) {
		if m, ok := r.table.Get(to.Instance); ok && m.MeshAddr == to.Addr {
			r.table.Unreachable(now, m.Instance, m.Incarnation)
		}
	})
}

// serve replies to the heartbeats of one peer.
func (r *Runner) serve(_ context.Context, s *mesh.Stream) {
	for {
		var hb meshpb.Heartbeat
		if err := s.Read(&hb); err != nil {
			return
		}
		reply := r.handleHeartbeat(&hb)
		if reply == nil {
			continue
		}
		if err := s.Write(reply); err != nil {
			return
		}
	}
}

// idlePeerTimeout is the time without a heartbeat to a peer after which its stream is closed: it is no longer a neighbour.
const idlePeerTimeout = 10 * time.Second
