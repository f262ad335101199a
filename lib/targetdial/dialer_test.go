package targetdial

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// conn is a connection without data.
type conn struct {
	net.Conn
	via string
}

func (c *conn) Close() error { return nil }

// link simulates one way to the targets.
type link struct {
	name  string
	delay time.Duration
	err   error // of attempts
	hangs atomic.Bool
	dials atomic.Int32
}

func (l *link) dial(ctx context.Context, _ string) (net.Conn, error) {
	l.dials.Add(1)
	if l.hangs.Load() {
		<-ctx.Done()
		return nil, os.ErrDeadlineExceeded
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(l.delay):
	}
	if l.err != nil {
		return nil, l.err
	}
	return &conn{via: l.name}, nil
}

// rig is a dialer with simulated links.
type rig struct {
	*Dialer
	direct, tunnel link
	idle           atomic.Int32 // connections kept
}

const target = "t:1"

func newRig() *rig {
	r := new(rig)
	r.direct.name, r.direct.delay = "direct", time.Millisecond
	r.tunnel.name, r.tunnel.delay = "tunnel", 5*time.Millisecond
	r.Dialer = &Dialer{
		Paths: NewPaths(), Direct: r.direct.dial, Tunnel: r.tunnel.dial, KeepIdle: func(string, net.Conn) { r.idle.Add(1) },
	}
	return r
}

// dialVia dials as a call does, and returns the link of the connection and the time taken.
func (r *rig) dialVia(t *testing.T, addr string) (via string, took time.Duration) {
	t.Helper()
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), directTimeout)
	defer cancel()
	c, err := r.Dial(ctx, addr)
	took = time.Since(start)
	if err != nil {
		return "", took
	}
	if IsDirect(c) {
		c = c.(*directConn).Conn
	}
	return c.(*conn).via, took
}

// Guards against calls that fail, or wait for the whole dial time-out, because the own link to a target hangs while a peer reaches it.
func TestHangingLinkIsReplacedByPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		r.direct.hangs.Store(true)
		via, took := r.dialVia(t, target)
		must.Eq(t, "tunnel", via)
		must.Eq(t, 105*time.Millisecond, took)
		time.Sleep(directTimeout)
		must.True(t, r.Lost(target))
		must.True(t, r.Paths.AllLost(time.Now()))
		via, took = r.dialVia(t, "t:2")
		must.Eq(t, "tunnel", via)
		must.Eq(t, 5*time.Millisecond, took)
		time.Sleep(directTimeout)
	})
}

// Guards against an instance that takes a dead target for a lost link, and then sends its calls to healthy targets through peers.
func TestDeadTargetIsNoLostLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, hangs := range []bool{false, true} {
			r := newRig()
			r.direct.err = syscall.ECONNREFUSED
			r.direct.hangs.Store(hangs)
			r.tunnel.err = errors.New("unreachable")
			via, took := r.dialVia(t, target)
			must.Eq(t, "", via)
			must.LessEq(t, directTimeout, took)
			must.False(t, r.Lost(target))
		}
	})
}

// Guards against a link that is slow once, as when a packet is lost, being taken for a lost one: the peer's connection is used, and the
// own one is kept for the next call.
func TestSlowLinkIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		r.direct.delay = 150 * time.Millisecond
		via, _ := r.dialVia(t, target)
		must.Eq(t, "tunnel", via)
		time.Sleep(directTimeout)
		must.False(t, r.Lost(target))
		must.Eq(t, 1, r.idle.Load())
	})
}

// Guards against one lost link, or new connections being refused while open ones work, being taken for the loss of all links.
func TestContactWithOthersKeepsTheirLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		r.direct.err = syscall.ECONNREFUSED
		via, took := r.dialVia(t, target)
		must.Eq(t, "tunnel", via)
		must.Eq(t, 6*time.Millisecond, took)
		synctest.Wait()
		must.True(t, r.Paths.AllLost(time.Now()))
		r.Paths.Contact(time.Now())
		must.False(t, r.Paths.AllLost(time.Now()))
		must.True(t, r.Lost(target))
		must.False(t, r.Silent(target)) // refused, so open connections may work
		must.False(t, r.Lost("t:2"))
	})
}

// Guards against a rush of attempts over lost links, and against an instance that never returns to its own links.
func TestLostLinkIsTriedSparselyUntilItWorks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		r.direct.hangs.Store(true)
		r.dialVia(t, target)
		time.Sleep(directTimeout)
		before := r.direct.dials.Load()
		for range 200 {
			via, took := r.dialVia(t, target)
			must.Eq(t, "tunnel", via)
			must.Eq(t, 5*time.Millisecond, took)
			time.Sleep(5 * time.Millisecond)
		}
		must.Between(t, 5, r.direct.dials.Load()-before, 7) // in 2 s
		r.direct.hangs.Store(false)
		for range 31 {
			r.dialVia(t, target)
			time.Sleep(10 * time.Millisecond)
		}
		via, took := r.dialVia(t, target)
		must.Eq(t, "direct", via)
		must.Eq(t, time.Millisecond, took)
	})
}

// Guards against calls that wait for time-outs while neither the own link nor any peer can help: they are refused at once.
func TestCallsFailAtOnceWithoutAnyLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		r.direct.hangs.Store(true)
		r.dialVia(t, target)
		time.Sleep(directTimeout)
		r.tunnel.err = errors.New("no peer")
		r.dialVia(t, target) // tries the own link
		ctx, cancel := context.WithTimeout(context.Background(), directTimeout)
		defer cancel()
		start := time.Now()
		_, err := r.Dial(ctx, target)
		must.ErrorIs(t, err, ErrLinkLost)
		must.Eq(t, 5*time.Millisecond, time.Since(start))
		time.Sleep(directTimeout)
	})
}

// Guards against requests on idle connections that nothing comes back on, and against idle connections by way of peers that are used
// after the own link works again.
func TestIdleConnectionsFollowTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		own, tunneled := &directConn{Conn: &conn{}, paths: r.Paths}, &conn{}
		must.True(t, r.Usable(target, own))
		must.False(t, r.Usable(target, tunneled))
		r.direct.hangs.Store(true)
		r.dialVia(t, target)
		time.Sleep(directTimeout)
		must.False(t, r.Usable(target, own))
		must.True(t, r.Usable(target, tunneled))
		time.Sleep(lostFor + time.Millisecond)
		must.True(t, r.Usable(target, own)) // without calls nothing is known of the link any more
	})
}

// Guards against a lost link that no dial shows, because all requests use open connections: a slow response leads to a probe.
func TestProbeFindsLostLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		must.Eq(t, ReachDirect, r.Probe(target, time.Second))
		must.Eq(t, 1, r.idle.Load())
		r.direct.hangs.Store(true)
		must.Eq(t, ReachDirect, r.Probe(target, time.Second)) // too soon after the last one
		must.Eq(t, ReachByPeer, r.Probe(target, 0))
		must.True(t, r.Silent(target))
		r.tunnel.err = errors.New("unreachable")
		time.Sleep(time.Second)
		must.Eq(t, ReachNone, r.Probe(target, 0))
	})
}

// Guards against a probe for each of many requests on one target: they share one.
func TestProbesAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		r.direct.hangs.Store(true)
		for range 50 {
			go r.Probe(target, 100*time.Millisecond)
		}
		time.Sleep(time.Second)
		must.Eq(t, 1, r.direct.dials.Load())
		r.Prune(time.Now().Add(2 * forgetAfter))
		must.MapEmpty(t, r.probes.byAddr)
	})
}

// Guards against connections that leak when the caller leaves while they are opened.
func TestCallerLeavesWhileConnecting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		r.direct.delay, r.tunnel.delay = 200*time.Millisecond, time.Second
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(150*time.Millisecond, cancel)
		_, err := r.Dial(ctx, target)
		must.ErrorIs(t, err, context.Canceled)
		time.Sleep(directTimeout)
		must.Eq(t, 1, r.idle.Load())
	})
}
