// Package guardlink carries, between entries, the messages of lib/limit and lib/poison over the mesh.
//
// Every message may be lost, and none waits: limits repeat theirs each interval, and a peer that may have missed news of
// poison is told all of it again, which changes nothing where it was known.
package guardlink

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"anvilwick.example/anvilwick/lib/limit"
	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/poison"
)

const (
	queueLen     = 64               // messages waiting for one peer; more are dropped
	openTimeout  = time.Second      // to open a stream
	idleTimeout  = 30 * time.Second // a stream without a message is closed
	newsInterval = time.Second
	newsPeers    = 8 // peers that news of poison are sent to in one round; they pass it on
)

// Options of a Link.
type Options struct {
	Node   *mesh.Node
	View   func() *member.View
	Limits *limit.Service
	Poison *poison.Table
}

// Link is one entry's side of the exchange.
type Link struct {
	opts Options
	ctx  context.Context

	mu    sync.Mutex
	peers map[mesh.Identity]*peer
}

// peer is what goes out to one life of another entry.
type peer struct {
	member member.Member
	queue  chan *meshpb.GuardMessage
	gone   chan struct{} // closed when this life of the entry is over
	lost   atomic.Bool   // a message did not get through
	told   uint64        // poison news up to here were sent
}

// New returns a Link and serves its streams on the node. It lives until ctx is done; Run must be started.
func New(ctx context.Context, o Options) *Link {
	l := &Link{opts: o, ctx: ctx, peers: make(map[mesh.Identity]*peer)}
	o.Node.Handle(meshpb.StreamKind_STREAM_GUARD, l.serve)
	return l
}

// SendUp passes on a message of the limits; it is their limit.SendFunc.
func (l *Link) SendUp(to string, up limit.Up) {
	m, ok := l.opts.View().Get(to)
	if !ok {
		return
	}
	l.peer(m).send(upToProto(up))
}

// Run sends news of poison at once, and again where they were lost, until the Link ends. It forgets peers that have gone.
func (l *Link) Run() {
	t := time.NewTicker(newsInterval)
	defer t.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.opts.Poison.Updates():
			l.round()
		case <-t.C:
			l.round()
		}
	}
}

func (l *Link) round() {
	view := l.opts.View()
	for _, m := range nextPeers(view, newsPeers) {
		p := l.peer(m)
		if p.lost.Swap(false) {
			p.told = 0
		}
		recs, seq := l.opts.Poison.Since(time.Now(), p.told)
		if len(recs) == 0 || p.send(newsToProto(recs)) {
			p.told = seq
		}
	}
	l.forget(view)
}

// nextPeers returns up to n members that take work, in the order in which they follow this instance. News reach the
// others through them.
func nextPeers(view *member.View, n int) []member.Member {
	workers := view.Workers()
	at := 0
	for i, m := range workers {
		if m.Instance <= view.Self.Instance {
			at = i + 1
		}
	}
	var out []member.Member
	for i := range workers {
		m := workers[(at+i)%len(workers)]
		if m.Instance != view.Self.Instance && len(out) < n {
			out = append(out, m)
		}
	}
	return out
}

func identity(m member.Member) mesh.Identity {
	return mesh.Identity{Instance: m.Instance, Incarnation: m.Incarnation}
}

func (l *Link) peer(m member.Member) *peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := identity(m)
	p, ok := l.peers[id]
	if !ok {
		p = &peer{member: m, queue: make(chan *meshpb.GuardMessage, queueLen), gone: make(chan struct{})}
		l.peers[id] = p
		go l.write(p)
	}
	return p
}

// forget drops peers that are no member any more, or were replaced.
func (l *Link) forget(view *member.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, p := range l.peers {
		if m, ok := view.Get(id.Instance); !ok || m.Incarnation != id.Incarnation || m.State == member.Dead {
			close(p.gone)
			delete(l.peers, id)
		}
	}
}

// send queues a message, or drops it when the peer is slow or gone.
func (p *peer) send(m *meshpb.GuardMessage) bool {
	select {
	case p.queue <- m:
		return true
	default:
		return false
	}
}

// write sends what is queued for one peer, on a stream that is opened when it is needed.
func (l *Link) write(p *peer) {
	var s *mesh.Stream
	defer func() { closeStream(s) }()
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-idle.C:
			closeStream(s)
			s = nil
		case <-p.gone:
			return
		case m := <-p.queue:
			idle.Reset(idleTimeout)
			s = l.writeOne(p, s, m)
			if s == nil {
				p.lost.Store(true)
			}
		}
	}
}

// writeOne sends m on s, or on a new stream; it returns the stream that stands, or nil.
func (l *Link) writeOne(p *peer, s *mesh.Stream, m *meshpb.GuardMessage) *mesh.Stream {
	if s == nil {
		ctx, cancel := context.WithTimeout(l.ctx, openTimeout)
		defer cancel()
		var err error
		s, err = l.opts.Node.Open(ctx, mesh.Peer{Instance: p.member.Instance, Addr: p.member.MeshAddr}, meshpb.StreamKind_STREAM_GUARD)
		if err != nil {
			return nil
		}
		go l.read(s)
	}
	if s.Write(m) != nil {
		closeStream(s)
		return nil
	}
	return s
}

func closeStream(s *mesh.Stream) {
	if s != nil {
		_ = s.Close()
	}
}

// read takes the peer's answers on a stream that this side opened.
func (l *Link) read(s *mesh.Stream) {
	for {
		var m meshpb.GuardMessage
		if s.Read(&m) != nil {
			_ = s.Close()
			return
		}
		if d := m.GetDown(); d != nil {
			l.opts.Limits.HandleDown(s.Peer().Instance, downFromProto(d))
		}
	}
}

// serve takes a peer's messages on a stream that it opened.
func (l *Link) serve(_ context.Context, s *mesh.Stream) {
	from := s.Peer().Instance
	for {
		var m meshpb.GuardMessage
		if s.Read(&m) != nil {
			return
		}
		if news := m.GetPoison(); news != nil {
			l.opts.Poison.Merge(time.Now(), newsFromProto(news))
		}
		up := m.GetUp()
		if up == nil {
			continue
		}
		if down, ok := l.opts.Limits.HandleUp(from, upFromProto(up)); ok && s.Write(downToProto(down)) != nil {
			return
		}
	}
}
