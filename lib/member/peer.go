package member

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// peerConn sends heartbeats to one peer on its own goroutine: a stalled peer delays nobody else's.
type peerConn struct {
	r      *Runner
	to     Member
	addr   string
	beats  chan *meshpb.Heartbeat // holds the newest only: an old heartbeat is worth nothing
	cancel context.CancelFunc
	used   time.Time
	stream *mesh.Stream
}

func newPeerConn(ctx context.Context, r *Runner, to Member) *peerConn {
	ctx, cancel := context.WithCancel(ctx)
	c := &peerConn{r: r, to: to, addr: to.MeshAddr, beats: make(chan *meshpb.Heartbeat, 1), cancel: cancel}
	r.wg.Add(1)
	go c.run(ctx)
	return c
}

// offer replaces a heartbeat that was not sent yet.
func (c *peerConn) offer(hb *meshpb.Heartbeat) {
	c.used = time.Now()
	select {
	case <-c.beats:
	default:
	}
	c.beats <- hb
}

func (c *peerConn) stop() { c.cancel() }

func (c *peerConn) run(ctx context.Context) {
	defer c.r.wg.Done()
	defer c.closeStream()
	for {
		select {
		case <-ctx.Done():
			return
		case hb := <-c.beats:
			c.send(ctx, hb)
		}
	}
}

func (c *peerConn) send(ctx context.Context, hb *meshpb.Heartbeat) {
	if c.stream == nil && !c.open(ctx) {
		return
	}
	if err := c.stream.Write(hb); err == nil {
		return
	}
	// A broken stream is often a restarted peer: one new stream is tried at once, so that a restart costs no round.
	c.closeStream()
	if c.open(ctx) && c.stream.Write(hb) != nil {
		c.closeStream()
	}
}

func (c *peerConn) open(ctx context.Context) bool {
	s, err := c.r.node.Open(ctx, mesh.Peer{Instance: c.to.Instance, Addr: c.addr}, meshpb.StreamKind_STREAM_HEARTBEAT)
	if err != nil {
		if mesh.Refused(err) {
			c.r.unreachable(c.to)
		}
		return false
	}
	c.stream = s
	c.r.wg.Add(1)
	go c.readAnswers(s)
	return true
}

// readAnswers ends when the stream does. Closing it makes the next Write fail, which opens a new one.
func (c *peerConn) readAnswers(s *mesh.Stream) {
	defer c.r.wg.Done()
	defer s.Close()
	for {
		var hb meshpb.Heartbeat
		if err := s.Read(&hb); err != nil {
			return
		}
		c.r.receive(&hb)
	}
}

func (c *peerConn) closeStream() {
	if c.stream == nil {
		return
	}
	c.stream.Close()
	c.stream = nil
}
