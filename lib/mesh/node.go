package mesh

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"

	"anvilwick.example/anvilwick/lib/meshpb"
)

var (
	dials        = metrics.NewCounter(`anvilwick_mesh_dials_total`)
	dialFailures = metrics.NewCounter(`anvilwick_mesh_dial_failures_total`)
	refused      = metrics.NewCounter(`anvilwick_mesh_streams_refused_total`)
	tooLarge     = metrics.NewCounter(`anvilwick_mesh_messages_too_large_total`)
	sentBytes    = metrics.NewCounter(`anvilwick_mesh_sent_bytes_total`)
	recvBytes    = metrics.NewCounter(`anvilwick_mesh_received_bytes_total`)
)

// Peer identifies a process to reach. An empty Instance accepts any instance at the address.
type Peer struct {
	Instance string
	Addr     string // IP:port
}

// Handler serves one accepted stream, which is closed when the handler returns. ctx ends when the node closes.
type Handler func(ctx context.Context, s *Stream)

// Node dials peers and serves their streams.
type Node struct {
	opts     Options
	ctx      context.Context
	cancel   context.CancelFunc
	sent     atomic.Int64
	received atomic.Int64
	handling sync.WaitGroup

	mu       sync.Mutex
	handlers map[meshpb.StreamKind]Handler
	links    map[string]*link
	accepted map[*session]struct{}
	stopping bool
}

// New validates the options. Nothing is dialed or listened on yet.
func New(o Options) (*Node, error) {
	o, err := o.withDefaults()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		opts:     o,
		ctx:      ctx,
		cancel:   cancel,
		handlers: make(map[meshpb.StreamKind]Handler),
		links:    make(map[string]*link),
		accepted: make(map[*session]struct{}),
	}
	go n.sweepLoop()
	return n, nil
}

// Self returns the identity that the node presents.
func (n *Node) Self() Identity { return n.opts.Self }

// Handle sets the handler for a kind of stream. Call it before Serve.
func (n *Node) Handle(kind meshpb.StreamKind, h Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[kind] = h
}

// Bytes returns the bytes sent and received on all sessions, including TLS but not TCP headers.
func (n *Node) Bytes() (sent, received int64) { return n.sent.Load(), n.received.Load() }

// Open opens a stream. If the session is being retired, by either end, Open tries once more on a new one: nothing was processed before the
// answer to Hello.
func (n *Node) Open(ctx context.Context, p Peer, kind meshpb.StreamKind) (*Stream, error) {
	l, err := n.link(p.Addr)
	if err != nil {
		return nil, err
	}
	s, err := n.openOnce(ctx, l, p, kind)
	if err != nil && ctx.Err() == nil && errorx.IsOfType(err, errSessionGone) {
		s, err = n.openOnce(ctx, l, p, kind)
	}
	return s, err
}

// errSessionGone means that the session accepts no more streams; a new session may.
var errSessionGone = ErrHello.NewSubtype("gone")

func (n *Node) openOnce(ctx context.Context, l *link, p Peer, kind meshpb.StreamKind) (*Stream, error) {
	sess, err := l.session(ctx, n)
	if err != nil {
		return nil, err
	}
	conn, err := sess.open()
	if err != nil {
		l.retire(sess)
		return nil, errSessionGone.Wrap(err, "%s", p.Addr)
	}
	s := newStream(conn, &n.opts, sess)
	if err := s.conn.SetReadDeadline(n.helloDeadline(ctx)); err != nil {
		s.Close()
		return nil, ErrHello.Wrap(err, "%s", p.Addr)
	}
	if err := s.exchangeHello(n.opts.Self, kind); err != nil {
		s.Close()
		return nil, n.classifyHelloError(l, sess, err)
	}
	if p.Instance != "" && s.peer.Instance != p.Instance {
		s.Close()
		return nil, ErrWrongPeer.New("%s is %s, not %s", p.Addr, s.peer.Instance, p.Instance)
	}
	return s, s.conn.SetReadDeadline(time.Time{})
}

// classifyHelloError distinguishes a peer that refused the stream on a working session from a session that is gone, stalled or
// retired by the peer.
func (n *Node) classifyHelloError(l *link, sess *session, err error) error {
	if errors.Is(err, io.EOF) && !sess.mux.IsClosed() {
		return ErrHello.Wrap(err, "%s refused the stream", l.addr)
	}
	l.retire(sess)
	return errSessionGone.Wrap(err, "%s", l.addr)
}

func (n *Node) helloDeadline(ctx context.Context) time.Time {
	deadline := time.Now().Add(n.opts.DialTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		return d
	}
	return deadline
}

// Retire replaces the session to addr: open streams finish on the old one, new ones use a new one.
func (n *Node) Retire(addr string) {
	n.mu.Lock()
	l := n.links[addr]
	n.mu.Unlock()
	if l != nil {
		l.retire(nil)
	}
}

func (n *Node) link(addr string) (*link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopping {
		return nil, ErrClosed.New("closing")
	}
	l, ok := n.links[addr]
	if !ok {
		l = &link{addr: addr, backoff: backoff{min: n.opts.BackoffMin, max: n.opts.BackoffMax}}
		n.links[addr] = l
	}
	return l, nil
}

// sweepLoop closes idle sessions and removes links, so that memory use follows the peers in use and not all peers ever contacted.
func (n *Node) sweepLoop() {
	t := time.NewTicker(n.opts.IdleTimeout / 4)
	defer t.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-t.C:
			n.sweep(time.Now())
		}
	}
}

func (n *Node) sweep(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for addr, l := range n.links {
		if l.sweep(now, n.opts.IdleTimeout) {
			delete(n.links, addr)
		}
	}
}

// secureDialed runs the client's TLS handshake unless links are plaintext.
func (n *Node) secureDialed(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if n.opts.Plaintext {
		return conn, nil
	}
	tc := tls.Client(conn, n.opts.TLS)
	if err := tc.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return tc, nil
}

// countBytes wraps a connection so that its bytes are counted.
func (n *Node) countBytes(conn net.Conn) net.Conn { return &countedConn{Conn: conn, n: n} }

type countedConn struct {
	net.Conn
	n *Node
}

func (c *countedConn) Read(b []byte) (int, error) {
	k, err := c.Conn.Read(b)
	c.n.received.Add(int64(k))
	recvBytes.Add(k)
	return k, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	k, err := c.Conn.Write(b)
	c.n.sent.Add(int64(k))
	sentBytes.Add(k)
	return k, err
}
