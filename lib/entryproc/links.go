package entryproc

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/entry"
	"anvilwick.example/anvilwick/lib/entrylink"
	"anvilwick.example/anvilwick/lib/limit"
	"anvilwick.example/anvilwick/lib/listen"
	"anvilwick.example/anvilwick/lib/locallink"
	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/opsapi"
	"anvilwick.example/anvilwick/lib/settingsync"
)

// links connects the entry to the other entries and to the local control process.
type links struct {
	node       *mesh.Node
	members    *member.Runner
	sync       *settingsync.Sync
	control    *entrylink.Link
	local      *locallink.Server
	server     *entry.Server
	decider    *meshDecider
	limits     *limit.Service
	ln         net.Listener
	lastListed []string // instances in the platform's last list
	work       sync.WaitGroup
}

// newLinks listens on the mesh port. Nothing is served until join and run are called.
func newLinks(cfg Config) (*links, error) {
	opts, err := cfg.Links.Options()
	if err != nil {
		return nil, err
	}
	opts.Self = mesh.Identity{Instance: cfg.Instance, Incarnation: cfg.Incarnation}
	node, err := mesh.New(opts)
	if err != nil {
		return nil, err
	}
	ln, err := listen.TCP(cmp.Or(cfg.MeshListen, cfg.MeshAddr))
	if err != nil {
		node.Close()
		return nil, fmt.Errorf("-mesh-addr: %w", err)
	}
	l := &links{node: node, ln: ln}
	l.members = member.NewRunner(node, member.Config{Self: member.Member{
		Instance:      cfg.Instance,
		Incarnation:   cfg.Incarnation,
		FailureDomain: cfg.Domain,
		MeshAddr:      cfg.MeshAddr,
	}})
	return l, nil
}

// join connects the links to the parts of the process that use them.
func (l *links) join(cfg Config, server *entry.Server, d *meshDecider, limits *limit.Service) {
	l.server, l.decider, l.limits = server, d, limits
	l.sync = settingsync.New(settingsync.Config{Peers: peers{l}})
	l.control = entrylink.New(entrylink.Options{
		Instance: cfg.Instance,
		Sync:     l.sync,
		Apply:    server.Apply,
		View:     l.setInstances,
		Power:    d.setPower,
		Status:   func() *meshpb.EntryStatus { return l.status(cfg) },
	})
	l.local = l.control.Server()
	l.node.Handle(meshpb.StreamKind_STREAM_LOCAL, l.local.Handle)
	l.node.Handle(meshpb.StreamKind_STREAM_SETTINGS, l.serveSettings)
}

// report forwards a load report to the control process.
func (l *links) report(name string, rep *engineapi.LoadReport) { l.control.Report(name, rep) }

// run serves until ctx is done.
func (l *links) run(ctx context.Context) {
	l.work.Go(func() {
		if err := l.node.Serve(l.ln); err != nil {
			log.Error().Str("event", "mesh_listener_failed").Err(err).Msg("")
		}
	})
	for _, work := range []func(context.Context){l.members.Run, l.sync.Run, l.control.Run, l.decider.Run, l.exchange} {
		l.work.Go(func() { work(ctx) })
	}
}

// close closes all links; run's context must be done.
func (l *links) close() {
	l.node.Close()
	l.work.Wait()
}

func (l *links) setInstances(v *meshpb.View) {
	list := make([]member.Member, 0, len(v.GetMembers()))
	names := make([]string, 0, len(v.GetMembers()))
	for _, m := range v.GetMembers() {
		list = append(list, member.FromProto(m))
		names = append(names, m.GetInstance())
	}
	l.members.SetInstances(list)
	if len(names) > 0 { // an empty list is invalid: this instance at least is running
		l.limits.SetView(names)
		l.markRemovedDead(names)
	}
}

// markRemovedDead marks as dead at the limit service the instances that the platform's list no longer contains, neither live nor
// leaving: their processes are gone, and no update about their requests will come.
func (l *links) markRemovedDead(names []string) {
	for _, name := range l.lastListed {
		if !slices.Contains(names, name) {
			l.limits.MarkDead(name)
		}
	}
	l.lastListed = names
}

// exchangeInterval is how often data carried by heartbeats is exchanged with the member runner.
const exchangeInterval = 250 * time.Millisecond

func (l *links) exchange(ctx context.Context) {
	t := time.NewTicker(exchangeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			l.exchangeOnce()
		}
	}
}

// exchangeOnce exchanges settings revisions and shard digests with the member runner. Heartbeats carry the highest revision whose
// text this process has, even if it is not in force: peers of another version may be able to read it. An instance that was
// replaced during a long pause rejects new requests: its successor serves in its place, and requests in progress may finish.
func (l *links) exchangeOnce() {
	l.sync.SetPeerRevisions(l.members.SettingsRevisions())
	l.members.SetLocal(l.sync.Offer().GetRevision(), l.decider.host.Digests())
	if l.members.View().Replaced {
		l.server.RejectNew()
	}
}

// peers fetches settings from other entries while the platform's table is unavailable.
type peers struct{ *links }

// FetchSettings implements settingsync.Peers.
func (p peers) FetchSettings(ctx context.Context, instance string, offer *meshpb.SettingsOffer) (*meshpb.SettingsBody, error) {
	m, ok := p.members.View().Get(instance)
	if !ok {
		return nil, fmt.Errorf("instance %s is not known", instance)
	}
	return settingsync.Fetch(ctx, p.node, mesh.Peer{Instance: instance, Addr: m.MeshAddr}, offer)
}

func (l *links) serveSettings(_ context.Context, st *mesh.Stream) { _ = l.sync.ServeStream(st) }

// status returns the status that is reported to the control process.
func (l *links) status(cfg Config) *meshpb.EntryStatus {
	requests, generations := l.server.Counts()
	st := &meshpb.EntryStatus{
		Instance:         cfg.Instance,
		SettingsRevision: l.server.Revision(),
		Streams:          uint32(max(requests, generations)),
		Stopping:         l.server.ShuttingDown(),
		Shards:           l.decider.host.Digests(),
	}
	for _, m := range l.members.View().Members {
		st.Members = append(st.Members, member.ToProto(m))
	}
	return st
}

// fillStatus adds the state of the links to an operator's status.
func (l *links) fillStatus(st *opsapi.Status) {
	st.Link = "down"
	if l.local.Connected() {
		st.Link = "up"
	}
	revisions := l.members.SettingsRevisions()
	for _, m := range l.members.View().Members {
		st.Members = append(st.Members, opsapi.Member{
			Instance:         m.Instance,
			Incarnation:      m.Incarnation,
			FailureDomain:    m.FailureDomain,
			State:            memberState(m),
			Addr:             m.MeshAddr,
			SettingsRevision: revisions[m.Instance],
		})
	}
}

func memberState(m member.Member) string {
	if m.Leaving && m.State != member.Dead {
		return "leaving"
	}
	return m.State.String()
}
