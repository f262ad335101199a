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

// stallConn stops delivering either way, without an error, once stalled is set: a link that hangs.
type stallConn struct {
	net.Conn
	stalled *atomic.Bool
	gone    chan struct{}
	closed  atomic.Bool
}

func (c *stallConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.stalled.Load() {
		<-c.gone
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *stallConn) Write(b []byte) (int, error) {
	if c.stalled.Load() {
		<-c.gone
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

func (c *stallConn) Close() error {
	if !c.closed.Swap(true) {
		close(c.gone)
	}
	return c.Conn.Close()
}

func stallingDial(stalled *atomic.Bool) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		return &stallConn{Conn: conn, stalled: stalled, gone: make(chan struct{})}, nil
	}
}

// A link stalls without warning: the connection stays open and delivers nothing. The reader of a stream would hang
// for ever. Keepalive must cut it within KeepAlive+WriteTimeout, and the next open must go through once the path is
// sound again.
func TestStalledLinkIsCutByKeepalive(t *testing.T) {
	var stalled atomic.Bool
	o := quick("a")
	o.Dial = stallingDial(&stalled)
	a, _ := startNode(t, o)
	_, addr := startNode(t, quick("b"))
	s := openTo(t, a, "b", addr)
	call(t, s, 1)
	stalled.Store(true)
	from := time.Now()
	must.Error(t, s.Read(&meshpb.SettingsOffer{}))
	bound := o.KeepAlive + 2*o.WriteTimeout
	must.Less(t, bound+time.Second, time.Since(from))
	t.Logf("cut after %v, bound %v", time.Since(from).Round(time.Millisecond), bound)
	stalled.Store(false)
	waitFor(t, "a new session", func() bool {
		s, err := a.Open(t.Context(), Peer{"b", addr}, kindEcho)
		if err != nil {
			return false
		}
		defer s.Close()
		call(t, s, 2)
		return true
	})
}
