// Package guardlink exchanges the messages of lib/limit and lib/poison between entries, over the mesh.
//
// Any message may be lost, and senders never wait for delivery: limit messages are repeated each interval, and after a failed
// write all poison records are sent to the peer again, which changes nothing for those that it already has.
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
	"anvilwick.example/anvilwick/lib/segmentpb"
)

const (
	queueLen       = 64               // messages queued for one peer; more are dropped
	openTimeout    = time.Second      // to open a stream
	idleTimeout    = 30 * time.Second // a stream without messages for this long is closed
	updateInterval = time.Second
	gossipPeers    = 8 // peers that poison records are sent to in one round; they forward them
)

// Options holds the dependencies of a Link.
type Options struct {
	Node   *mesh.Node
	View   func() *member.View
	Limits *limit.Service
	Poison *poison.Table
	// Segments is the table of prompt prefixes that crash engines.
	Segments *poison.SegmentTable
}

// Link is one entry's end of the message exchange.
type Link struct {
	opts Options
	ctx  context.Context

	mu    sync.Mutex
	peers map[mesh.Identity]*peer
}

// peer is the sending side towards one incarnation of another entry.
type peer struct {
	member      member.Member
	queue       chan *meshpb.GuardMessage
	closed      chan struct{} // closed when this incarnation has ended
	writeFailed atomic.Bool   // a message was not sent
	sentSeq     uint64        // sequence number up to which poison records were sent
}

// New returns a Link and registers its stream handler on the node. The Link works until ctx is done. Run must be started.
func New(ctx context.Context, o Options) *Link {
	l := &Link{opts: o, ctx: ctx, peers: make(map[mesh.Identity]*peer)}
	o.Node.Handle(meshpb.StreamKind_STREAM_GUARD, l.serve)
	return l
}

// SendUp queues a message of the limits for another entry. It implements limit.SendFunc.
func (l *Link) SendUp(to string, up limit.Up) {
	m, ok := l.opts.View().Get(to)
	if !ok {
		return
	}
	l.peer(m).enqueue(upToProto(up))
}

// Run sends new poison records at once, and all of them again after a failed write, until the Link ends. It also removes peers
// that have left.
func (l *Link) Run() {
	t := time.NewTicker(updateInterval)
	defer t.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.opts.Poison.Updates():
			l.sendRecords()
		case <-l.opts.Segments.Updates():
			l.sendSegments()
		case <-t.C:
			l.sendRecords()
			l.enqueueSegments(l.opts.Segments.ConvictionRecords()) // for entries that have joined, and in case a message was lost
		}
	}
}

func (l *Link) sendRecords() {
	view := l.opts.View()
	for _, m := range successors(view, gossipPeers) {
		p := l.peer(m)
		if p.writeFailed.Swap(false) {
			p.sentSeq = 0
		}
		recs, seq := l.opts.Poison.Since(time.Now(), p.sentSeq)
		if len(recs) == 0 || p.enqueue(recordsToProto(recs)) {
			p.sentSeq = seq
		}
	}
	l.removePeers(view)
}

// segmentsDelay is how long records on prompt prefixes are collected.
const segmentsDelay = 50 * time.Millisecond

func (l *Link) sendSegments() {
	select {
	case <-l.ctx.Done():
		return
	case <-time.After(segmentsDelay):
	}
	l.enqueueSegments(l.opts.Segments.Take())
}

// enqueueSegments queues records for all other entries, which don't forward them.
func (l *Link) enqueueSegments(recs []poison.SegmentRecord) {
	if len(recs) == 0 {
		return
	}
	view := l.opts.View()
	m := &meshpb.GuardMessage{Msg: &meshpb.GuardMessage_Segments{Segments: &meshpb.SegmentNews{Records: segmentpb.Encode(time.Now(), recs)}}}
	for _, other := range successors(view, len(view.Members)) {
		l.peer(other).enqueue(m)
	}
}

// successors returns up to n members that accept requests, namely the successors of this instance in ring order. They forward
// poison records to the others.
func successors(view *member.View, n int) []member.Member {
	workers := view.Workers()
	first := 0
	for i, m := range workers {
		if m.Instance <= view.Self.Instance {
			first = i + 1
		}
	}
	var out []member.Member
	for i := range workers {
		m := workers[(first+i)%len(workers)]
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
		p = &peer{member: m, queue: make(chan *meshpb.GuardMessage, queueLen), closed: make(chan struct{})}
		l.peers[id] = p
		go l.writeLoop(p)
	}
	return p
}

// removePeers removes peers that are no longer members, or whose incarnation was replaced.
func (l *Link) removePeers(view *member.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, p := range l.peers {
		if m, ok := view.Get(id.Instance); !ok || m.Incarnation != id.Incarnation || m.State == member.Dead {
			close(p.closed)
			delete(l.peers, id)
		}
	}
}

// enqueue queues a message. It drops the message when the peer's queue is full.
func (p *peer) enqueue(m *meshpb.GuardMessage) bool {
	select {
	case p.queue <- m:
		return true
	default:
		return false
	}
}

// writeLoop sends the messages queued for one peer, on a stream that it opens on demand.
func (l *Link) writeLoop(p *peer) {
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
		case <-p.closed:
			return
		case m := <-p.queue:
			idle.Reset(idleTimeout)
			s = l.writeMessage(p, s, m)
			if s == nil {
				p.writeFailed.Store(true)
			}
		}
	}
}

// writeMessage sends m on s, or on a new stream if s is nil. It returns the open stream, or nil after a failure.
func (l *Link) writeMessage(p *peer, s *mesh.Stream, m *meshpb.GuardMessage) *mesh.Stream {
	if s == nil {
		ctx, cancel := context.WithTimeout(l.ctx, openTimeout)
		defer cancel()
		var err error
		s, err = l.opts.Node.Open(ctx, mesh.Peer{Instance: p.member.Instance, Addr: p.member.MeshAddr}, meshpb.StreamKind_STREAM_GUARD)
		if err != nil {
			return nil
		}
		go l.readLoop(s)
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

// readLoop processes the peer's answers on a stream that this side opened.
func (l *Link) readLoop(s *mesh.Stream) {
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

// serve processes a peer's messages on a stream that the peer opened.
func (l *Link) serve(_ context.Context, s *mesh.Stream) {
	from := s.Peer().Instance
	for {
		var m meshpb.GuardMessage
		if s.Read(&m) != nil {
			return
		}
		if records := m.GetPoison(); records != nil {
			l.opts.Poison.Merge(time.Now(), recordsFromProto(records))
		}
		if s := m.GetSegments(); s != nil {
			now := time.Now()
			l.opts.Segments.Merge(now, segmentpb.Decode(now, s.GetRecords()))
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
