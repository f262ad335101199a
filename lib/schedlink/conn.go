package schedlink

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/ctxtime"
	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// maxQueuedUp limits the messages queued for a slow owner. Above it the stream is closed and all items are sent on a new one.
const maxQueuedUp = 8192

// ownerConn is the connection to one owner. A goroutine keeps a stream open while items are bound to it. Each new stream
// starts with all of these items. Link.mu guards the fields from bound on.
type ownerConn struct {
	link   *Link
	to     member.Member
	wakeup chan struct{}

	bound        int // items
	up           bool
	pending      []*meshpb.SchedUp
	lastReceived time.Time // when the owner's last message was received
	silent       bool      // it sent nothing for LinkOptions.OwnerTimeout though an item waits for it
	streams      int
	retired      bool // no further item will be bound
}

func newOwnerConn(l *Link, to member.Member) *ownerConn {
	c := &ownerConn{link: l, to: to, wakeup: make(chan struct{}, 1)}
	go c.run()
	return c
}

func (c *ownerConn) local() bool { return c.to.Instance == c.link.opts.Self }

// retire ends the goroutine once no item is bound. The caller holds Link.mu.
func (c *ownerConn) retire() {
	c.retired = true
	c.wake()
}

// wake signals the goroutine that there is work.
func (c *ownerConn) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// send queues a message. Without a stream it drops the message, as a new stream starts with all items. The caller holds
// Link.mu.
func (c *ownerConn) send(m *meshpb.SchedUp) {
	if !c.up {
		c.wake()
		return
	}
	c.pending = append(c.pending, m)
	if len(c.pending) > maxQueuedUp {
		c.up = false
	}
	c.wake()
}

// isSilent reports whether the owner has sent nothing for longer than timeout while a request sent at requested waits for it.
// The caller holds Link.mu.
func (c *ownerConn) isSilent(requested, now time.Time, timeout time.Duration) bool {
	if c.local() {
		return false
	}
	last := requested
	if c.lastReceived.After(last) {
		last = c.lastReceived
	}
	return now.Sub(last) > timeout
}

func (c *ownerConn) run() {
	ctx := c.link.ctx
	for !c.link.finished(c) {
		select {
		case <-ctx.Done():
			return
		case <-c.wakeup:
		}
		for ctx.Err() == nil && c.link.hasWork(c) {
			if c.local() {
				c.runStream(ctx, c.openLocal())
				continue
			}
			s, err := c.link.opts.Node.Open(ctx, mesh.Peer{Instance: c.to.Instance, Addr: c.to.MeshAddr}, meshpb.StreamKind_STREAM_SCHED)
			if err == nil {
				c.runStream(ctx, c.openRemote(s))
			}
			if !ctxtime.SleepJittered(ctx, reconnectDelay) {
				return
			}
		}
	}
}

// reconnectDelay is the delay between connection attempts; the mesh node adds a backoff for each address. Half of it is
// random, so that entries that lost the same owner at the same moment don't reconnect in step.
const reconnectDelay = 50 * time.Millisecond

// transport is an open stream to an owner, over the mesh or inside the process.
type transport struct {
	write  func(*meshpb.SchedUp) error
	closed chan struct{} // closed when the other end has closed the stream
	close  func()
}

// openLocal connects to this process's own Host.
func (c *ownerConn) openLocal() transport {
	sess := newSession(c.link.opts.Host)
	sess.local = func(d *meshpb.SchedDown) { c.link.receive(c, d) }
	write := func(m *meshpb.SchedUp) error {
		sess.handle(m)
		return nil
	}
	return transport{write: write, closed: make(chan struct{}), close: sess.close}
}

// openRemote starts a goroutine that receives decisions from s.
func (c *ownerConn) openRemote(s *mesh.Stream) transport {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		for {
			var d meshpb.SchedDown
			if err := s.Read(&d); err != nil {
				return
			}
			c.link.receive(c, &d)
		}
	}()
	write := func(m *meshpb.SchedUp) error { return s.Write(m) }
	return transport{write: write, closed: closed, close: func() { s.Close() }}
}

// runStream sends all items and then queued messages, until the stream breaks or has been idle without items.
func (c *ownerConn) runStream(ctx context.Context, tr transport) {
	defer tr.close()
	defer c.link.streamClosed(c)
	out := c.link.streamOpened(c)
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		for _, m := range out {
			if err := tr.write(m); err != nil {
				return
			}
		}
		if len(out) > 0 {
			idle.Reset(idleTimeout)
		}
		select {
		case <-ctx.Done():
			return
		case <-tr.closed:
			return
		case <-c.wakeup:
		case <-idle.C:
			if !c.link.hasWork(c) {
				return
			}
			idle.Reset(idleTimeout)
		}
		var ok bool
		if out, ok = c.link.takePending(c); !ok {
			return
		}
	}
}

// idleTimeout is the time without messages after which a stream without items is closed.
const idleTimeout = 5 * time.Second
