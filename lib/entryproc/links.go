package entryproc

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/entry"
	"anvilwick.example/anvilwick/lib/entrylink"
	"anvilwick.example/anvilwick/lib/locallink"
	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/opsapi"
	"anvilwick.example/anvilwick/lib/settings"
	"anvilwick.example/anvilwick/lib/settingsync"
)

// links joins the entry to the other entries and to the control process beside it.
type links struct {
	node    *mesh.Node
	members *member.Runner
	sync    *settingsync.Sync
	control *entrylink.Link
	server  *locallink.Server
	ln      net.Listener
	running sync.WaitGroup
}

// newLinks listens on the mesh port. Nothing is served before run.
func newLinks(cfg Config, server *entry.Server, power func(*meshpb.PowerShare)) (*links, error) {
	opts, err := cfg.Links.Options()
	if err != nil {
		return nil, err
	}
	opts.Self = mesh.Identity{Instance: cfg.Instance, Incarnation: cfg.Incarnation}
	node, err := mesh.New(opts)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", cfg.MeshAddr)
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
	l.sync = settingsync.New(settingsync.Config{Peers: peers{l}})
	l.control = entrylink.New(entrylink.Options{
		Instance: cfg.Instance,
		Sync:     l.sync,
		Apply:    l.apply(server),
		View:     l.setInstances,
		Power:    power,
		Status:   func() *meshpb.EntryStatus { return l.status(cfg, server) },
	})
	l.server = l.control.Server()
	node.Handle(meshpb.StreamKind_STREAM_LOCAL, l.server.Handle)
	node.Handle(meshpb.StreamKind_STREAM_SETTINGS, l.serveSettings)
	return l, nil
}

// run serves until ctx is done.
func (l *links) run(ctx context.Context) {
	l.running.Go(func() {
		if err := l.node.Serve(l.ln); err != nil {
			log.Error().Str("event", "mesh_listener_failed").Err(err).Msg("")
		}
	})
	for _, work := range []func(context.Context){l.members.Run, l.sync.Run, l.control.Run, l.noticePeers} {
		l.running.Go(func() { work(ctx) })
	}
}

// close ends every link; run's context must be done.
func (l *links) close() {
	l.node.Close()
	l.running.Wait()
}

func (l *links) apply(server *entry.Server) func(*settings.Snapshot) {
	return func(snap *settings.Snapshot) {
		server.Apply(snap)
		l.members.SetLocal(snap.Revision, nil)
	}
}

func (l *links) setInstances(v *meshpb.View) {
	list := make([]member.Member, 0, len(v.GetMembers()))
	for _, m := range v.GetMembers() {
		list = append(list, member.FromProto(m))
	}
	l.members.SetInstances(list)
}

// noticeInterval is how often the revisions that heartbeats carry are passed on.
const noticeInterval = 250 * time.Millisecond

func (l *links) noticePeers(ctx context.Context) {
	t := time.NewTicker(noticeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			l.sync.Notice(l.members.SettingsRevisions())
		}
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
	st, err := p.node.Open(ctx, mesh.Peer{Instance: instance, Addr: m.MeshAddr}, meshpb.StreamKind_STREAM_SETTINGS)
	if err != nil {
		return nil, err
	}
	defer st.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = st.SetReadDeadline(deadline)
	}
	if err := st.Write(offer); err != nil {
		return nil, err
	}
	var body meshpb.SettingsBody
	return &body, st.Read(&body)
}

// conversation gives a mesh stream the types of settingsync.
type conversation struct{ *mesh.Stream }

func (c conversation) Read(o *meshpb.SettingsOffer) error { return c.Stream.Read(o) }
func (c conversation) Write(b *meshpb.SettingsBody) error { return c.Stream.Write(b) }

func (l *links) serveSettings(_ context.Context, st *mesh.Stream) { _ = l.sync.Serve(conversation{st}) }

// status is what the control process is told.
func (l *links) status(cfg Config, server *entry.Server) *meshpb.EntryStatus {
	requests, _ := server.Counts()
	st := &meshpb.EntryStatus{
		Instance:         cfg.Instance,
		SettingsRevision: server.Revision(),
		Streams:          uint32(requests),
		Stopping:         server.Leaving(),
	}
	for _, m := range l.members.View().Members {
		st.Members = append(st.Members, member.ToProto(m))
	}
	return st
}

// describe adds to an operator's view what the links know.
func (l *links) describe(st *opsapi.Status) {
	st.Link = "down"
	if l.server.Linked() {
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
