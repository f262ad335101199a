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
	"anvilwick.example/anvilwick/lib/locallink"
	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/opsapi"
	"anvilwick.example/anvilwick/lib/settingsync"
)

// links joins the entry to the other entries and to the control process beside it.
type links struct {
	node    *mesh.Node
	members *member.Runner
	sync    *settingsync.Sync
	control *entrylink.Link
	local   *locallink.Server
	server  *entry.Server
	decider *shared
	limits  *limit.Service
	ln      net.Listener
	listed  []string // instances that the platform's list named last
	running sync.WaitGroup
}

// newLinks listens on the mesh port. Nothing is served before join and run.
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
	ln, err := net.Listen("tcp", cmp.Or(cfg.MeshListen, cfg.MeshAddr))
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

// join connects the links to the parts that they serve.
func (l *links) join(cfg Config, server *entry.Server, d *shared, limits *limit.Service) {
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

// report passes a load report on to the control process.
func (l *links) report(name string, rep *engineapi.LoadReport) { l.control.Report(name, rep) }

// run serves until ctx is done.
func (l *links) run(ctx context.Context) {
	l.running.Go(func() {
		if err := l.node.Serve(l.ln); err != nil {
			log.Error().Str("event", "mesh_listener_failed").Err(err).Msg("")
		}
	})
	for _, work := range []func(context.Context){l.members.Run, l.sync.Run, l.control.Run, l.decider.Run, l.exchange} {
		l.running.Go(func() { work(ctx) })
	}
}

// close ends every link; run's context must be done.
func (l *links) close() {
	l.node.Close()
	l.running.Wait()
}

func (l *links) setInstances(v *meshpb.View) {
	list := make([]member.Member, 0, len(v.GetMembers()))
	names := make([]string, 0, len(v.GetMembers()))
	for _, m := range v.GetMembers() {
		list = append(list, member.FromProto(m))
		names = append(names, m.GetInstance())
	}
	l.members.SetInstances(list)
	if len(names) > 0 { // an empty list is no news: this instance at least runs
		l.limits.SetView(names)
		l.forgetDropped(names)
	}
}

// forgetDropped tells the limits of instances that the platform's list no longer names, neither live nor leaving: their
// processes are gone, and nobody need wait for news of their requests.
func (l *links) forgetDropped(names []string) {
	for _, name := range l.listed {
		if !slices.Contains(names, name) {
			l.limits.MarkDead(name)
		}
	}
	l.listed = names
}

// exchangeInterval is how often what heartbeats carry is passed on, both ways.
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

// exchangeOnce passes revisions and digests on. Heartbeats name the highest revision that this process has the text of,
// in force or not: peers of another version may read what it can't. An instance that finds itself replaced, after a long pause, takes no more
// work: its successor has its place, and what is in progress here may still end.
func (l *links) exchangeOnce() {
	l.sync.SetPeerRevisions(l.members.SettingsRevisions())
	l.members.SetLocal(l.sync.Offer().GetRevision(), l.decider.host.Digests())
	if l.members.View().Replaced {
		l.server.RejectNew()
	}
}

// peers fetches settings from other entries, for the time in which the platform's table can't be read.
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

// status is what the control process is told.
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

// describe adds to an operator's view what the links know.
func (l *links) describe(st *opsapi.Status) {
	st.Link = "down"
	if l.local.Linked() {
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
