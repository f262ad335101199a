package tunnel

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"anvilwick.example/anvilwick/lib/membudget"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

const (
	// maxCarried bounds the connections that an instance carries for its peers; each takes two goroutines and some KB.
	maxCarried = 512
	// readBuffer is the size in bytes of the buffer for a target's data: single events and short responses.
	readBuffer = 4 << 10
	// openTimeout bounds reading the request for a connection, once the stream is open.
	openTimeout = 2 * time.Second
)

var (
	carriedTotal = metrics.NewCounter(`anvilwick_tunnel_carried_total`)
	deniedTotal  = metrics.NewCounter(`anvilwick_tunnel_denied_total`)
)

// errClosed ends the copying of a connection that the peer has closed.
var errClosed = errors.New("tunnel: closed by the peer")

// Server carries connections to targets for peers.
type Server struct {
	// Dial opens a connection to a target over this instance's own links.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// LinksLost reports whether this instance has lost its own links to the targets.
	LinksLost func() bool
	// Permitted reports whether this instance may connect to a target now.
	Permitted func(addr string) bool
	// OnBackoff is called when a target has requested a backoff of this instance, in a response to a peer's request.
	OnBackoff func(addr string, d time.Duration)
	// Memory bounds what connections hold whose targets read nothing; nil: there is no limit.
	Memory *membudget.Budget

	stalls   stalls
	mu       sync.Mutex
	carried  map[*mesh.Stream]bool // requested connections, open or being opened
	stopping bool
}

// Serve registers the server's handler at a node.
func (s *Server) Serve(node *mesh.Node) {
	s.stalls.memory = s.Memory
	node.Handle(meshpb.StreamKind_STREAM_TUNNEL, s.handle)
}

// Stop makes the server accept no more connections, and tells peers to send no further requests on those that it carries.
func (s *Server) Stop() {
	s.mu.Lock()
	s.stopping = true
	open := slices.Collect(maps.Keys(s.carried))
	s.mu.Unlock()
	for _, stream := range open {
		// A peer that does not receive this sees its connection reset when this process exits.
		go func() { _ = stream.Write(&meshpb.TunnelFrame{GoAway: true}) }()
	}
}

// drainPoll is the interval at which Drain checks for the end of the last connection.
const drainPoll = 20 * time.Millisecond

// Drain waits until no connection is carried any more, or until ctx ends. Call it after Stop.
func (s *Server) Drain(ctx context.Context) {
	for s.Carried() > 0 && ctx.Err() == nil {
		time.Sleep(drainPoll)
	}
}

// Carried returns the number of connections that are carried now.
func (s *Server) Carried() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.carried)
}

// add counts a connection; it returns false if no more are accepted.
func (s *Server) add(stream *mesh.Stream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || len(s.carried) >= maxCarried {
		return false
	}
	if s.carried == nil {
		s.carried = make(map[*mesh.Stream]bool)
	}
	s.carried[stream] = true
	return true
}

func (s *Server) remove(stream *mesh.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.carried, stream)
}

func (s *Server) handle(ctx context.Context, stream *mesh.Stream) {
	stream.LimitMessages(maxMessage)
	var open meshpb.TunnelOpen
	if stream.SetReadDeadline(time.Now().Add(openTimeout)) != nil || stream.Read(&open) != nil || stream.SetReadDeadline(time.Time{}) != nil {
		return
	}
	if !s.add(stream) {
		s.refuse(stream, meshpb.TunnelStatus_TUNNEL_BUSY)
		return
	}
	defer s.remove(stream)
	conn, status := s.connect(ctx, open.Addr)
	if status != meshpb.TunnelStatus_TUNNEL_OPEN {
		s.refuse(stream, status)
		return
	}
	defer conn.Close()
	if stream.Write(&meshpb.TunnelOpened{Status: status}) != nil {
		return
	}
	carriedTotal.Inc()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	s.copy(stream, conn, open.Addr)
}

func (s *Server) refuse(stream *mesh.Stream, status meshpb.TunnelStatus) {
	deniedTotal.Inc()
	_ = stream.Write(&meshpb.TunnelOpened{Status: status}) // on failure the peer tries another instance
}

func (s *Server) connect(ctx context.Context, addr string) (net.Conn, meshpb.TunnelStatus) {
	if !s.Permitted(addr) {
		return nil, meshpb.TunnelStatus_TUNNEL_DENIED
	}
	if s.LinksLost() {
		return nil, meshpb.TunnelStatus_TUNNEL_NO_LINKS
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := s.Dial(ctx, addr)
	switch {
	case err == nil:
		return conn, meshpb.TunnelStatus_TUNNEL_OPEN
	case s.LinksLost():
		return nil, meshpb.TunnelStatus_TUNNEL_NO_LINKS
	default:
		return nil, meshpb.TunnelStatus_TUNNEL_UNREACHABLE
	}
}

// copy copies both directions until either end closes.
func (s *Server) copy(stream *mesh.Stream, conn net.Conn, addr string) {
	sent := newDelivery()
	go func() {
		// The caller has left, or the link to the peer is lost: the target must not go on working, nor receive the rest of a request later.
		defer abort(conn)
		for {
			if err := s.copyFrame(stream, conn, addr, sent); err != nil {
				return
			}
		}
	}()
	send := func(data []byte) error { return stream.Write(&meshpb.TunnelFrame{Data: data}) }
	buf := make([]byte, readBuffer)
	for {
		n, err := conn.Read(buf)
		if n > 0 {
			if _, werr := writeFrames(send, buf[:n]); werr != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			sendEnd(stream, sent)
		}
		if err != nil {
			return
		}
	}
}

// sendEnd informs the peer that the target has closed the connection. Without this it sees a reset.
func sendEnd(stream *mesh.Stream, sent *delivery) {
	bytes, err := sent.total()
	if err != nil {
		return
	}
	_ = stream.Write(&meshpb.TunnelFrame{EndOfData: true, Delivered: &bytes}) // on failure the peer sees a reset, too
}

// abort resets a connection, so that what the target has not received is discarded.
func abort(conn net.Conn) {
	if l, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0) // on failure it is closed as usual
	}
	_ = conn.Close()
}

func (s *Server) copyFrame(stream *mesh.Stream, conn net.Conn, addr string, sent *delivery) error {
	var f meshpb.TunnelFrame
	if err := stream.Read(&f); err != nil {
		return errClosed
	}
	if f.BackoffMs > 0 {
		s.OnBackoff(addr, time.Duration(f.BackoffMs)*time.Millisecond)
	}
	return sent.write(len(f.Data), func() error { return s.stalls.write(conn, f.Data) })
}
