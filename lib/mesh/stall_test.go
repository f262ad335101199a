package mesh

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/meshpb"
)

// stallingConn stops delivering in both directions, without an error, once stalled is set.
type stallingConn struct {
	net.Conn
	stalled *atomic.Bool
	closing chan struct{}
	closed  atomic.Bool
}

func (c *stallingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.stalled.Load() {
		<-c.closing
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *stallingConn) Write(b []byte) (int, error) {
	if c.stalled.Load() {
		<-c.closing
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

func (c *stallingConn) Close() error {
	if !c.closed.Swap(true) {
		close(c.closing)
	}
	return c.Conn.Close()
}

func dialStalling(stalled *atomic.Bool) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		return &stallingConn{Conn: conn, stalled: stalled, closing: make(chan struct{})}, nil
	}
}

// A link stalls: the connection stays open and delivers nothing. The reader of a stream would hang forever. Keepalive must cut it within
// KeepAlive+WriteTimeout, and the next open must succeed once the path works again.
func TestStalledLinkIsCutByKeepalive(t *testing.T) {
	var stalled atomic.Bool
	o := fastOptions("a")
	o.Dial = dialStalling(&stalled)
	a, _ := startNode(t, o)
	_, addr := startNode(t, fastOptions("b"))
	s := openTo(t, a, "b", addr)
	echoCall(t, s, 1)
	stalled.Store(true)
	start := time.Now()
	must.Error(t, s.Read(&meshpb.SettingsOffer{}))
	bound := o.KeepAlive + 2*o.WriteTimeout
	must.Less(t, bound+time.Second, time.Since(start))
	t.Logf("cut after %v, bound %v", time.Since(start).Round(time.Millisecond), bound)
	stalled.Store(false)
	waitFor(t, "a new session", func() bool {
		s, err := a.Open(t.Context(), Peer{"b", addr}, kindEcho)
		if err != nil {
			return false
		}
		defer s.Close()
		echoCall(t, s, 2)
		return true
	})
}

// slowConn limits the rate of writes, as a slow link does.
type slowConn struct {
	net.Conn
	perByte time.Duration
}

func (c *slowConn) Write(b []byte) (int, error) {
	time.Sleep(time.Duration(len(b)) * c.perByte)
	return c.Conn.Write(b)
}

// A large message crosses a slow link and takes several times the idle time-out. Its pieces show that the link works, so the message
// arrives; with one time-out for the whole it never would, however often it is sent again. A peer that stops in the middle is noticed
// all the same.
func TestLargeMessageOverNarrowLink(t *testing.T) {
	const idle = 200 * time.Millisecond
	serve := func(t *testing.T, send func(*Stream)) *Stream {
		node, addr := startNode(t, fastOptions("server"))
		node.Handle(meshpb.StreamKind_STREAM_FEED, func(ctx context.Context, s *Stream) {
			send(s)
			<-ctx.Done()
		})
		client, _ := startNode(t, fastOptions("client"))
		s, err := client.Open(t.Context(), Peer{Instance: "server", Addr: addr}, meshpb.StreamKind_STREAM_FEED)
		must.NoError(t, err)
		t.Cleanup(func() { s.Close() })
		return s
	}
	page := &meshpb.FeedTable{Packed: make([]byte, 40*fragmentSize)}

	s := serve(t, func(s *Stream) {
		s.conn = &slowConn{Conn: s.conn, perByte: 1200 * time.Nanosecond} // 16 KiB in 20 ms, all in 0.8 s
		_ = s.Write(page)
	})
	start := time.Now()
	var got meshpb.FeedTable
	must.NoError(t, s.ReadWithIdleTimeout(idle, &got))
	must.Len(t, len(page.Packed), got.Packed)
	must.Greater(t, 2*idle, time.Since(start))

	s = serve(t, func(s *Stream) {
		_, _ = s.conn.Write([]byte{0xff, 0xff, 0x03, 0x0a}) // the start of a message of 64 KiB
	})
	start = time.Now()
	must.Error(t, s.ReadWithIdleTimeout(idle, &got))
	must.Less(t, 5*idle, time.Since(start))
}
