package schedlink

import (
	"context"
	"math/rand/v2"
	"time"

	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// upBound is how many messages wait for a slow owner. Over it the stream is cut and all is told again on a new one.
const upBound = 8192

// ownerConn is the way to one owner. A goroutine keeps a stream open while items are bound to it; whenever a stream
// opens, the owner is told of all of them. Link.mu guards the fields below mu.
type ownerConn struct {
	link *Link
	to   member.Member
	kick chan struct{}

	bound  int // items
	up     bool
	out    []*meshpb.SchedUp
	heard  time.Time // last message of the owner
	silent bool      // it was not heard for Silence though an item waits for it
	opens  int
	done   bool // no item will be bound again
}

func newOwnerConn(l *Link, to member.Member) *ownerConn {
	c := &ownerConn{link: l, to: to, kick: make(chan struct{}, 1)}
	go c.run()
	return c
}

func (c *ownerConn) local() bool { return c.to.Instance == c.link.opts.Self }

// retire ends the goroutine once nothing is bound any more. The caller holds Link.mu.
func (c *ownerConn) retire() {
	c.done = true
	c.wake()
}

// wake tells the goroutine that there is something to do.
func (c *ownerConn) wake() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// send queues a message unless there is no stream: then the table is told when one opens. The caller holds Link.mu.
func (c *ownerConn) send(m *meshpb.SchedUp) {
	if !c.up {
		c.wake()
		return
	}
	c.out = append(c.out, m)
	if len(c.out) > upBound {
		c.up = false
	}
	c.wake()
}

// isSilent reports whether the owner has not been heard for bound though an item asked at asked waits for it. The caller
// holds Link.mu.
func (c *ownerConn) isSilent(asked, now time.Time, bound time.Duration) bool {
	if c.local() {
		return false
	}
	last := asked
	if c.heard.After(last) {
		last = c.heard
	}
	return now.Sub(last) > bound
}

func (c *ownerConn) run() {
	ctx := c.link.ctx
	for !c.link.finished(c) {
		select {
		case <-ctx.Done():
			return
		case <-c.kick:
		}
		for ctx.Err() == nil && c.link.needs(c) {
			if c.local() {
				c.converse(ctx, c.openLocal())
				continue
			}
			s, err := c.link.opts.Node.Open(ctx, mesh.Peer{Instance: c.to.Instance, Addr: c.to.MeshAddr}, meshpb.StreamKind_STREAM_SCHED)
			if err == nil {
				c.converse(ctx, c.openRemote(s))
			}
			if !pause(ctx, reopenPause) {
				return
			}
		}
	}
}

// reopenPause spaces tries; the mesh node adds its own backoff for each address. Half of it is random, so that entries
// that lost one owner at one moment don't come back in step.
const reopenPause = 50 * time.Millisecond

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d/2 + rand.N(d/2))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// way is an open conversation.
type way struct {
	write func(*meshpb.SchedUp) error
	gone  chan struct{} // closed when the other end is
	close func()
}

// openLocal talks to this process's own Host.
func (c *ownerConn) openLocal() way {
	sess := newSession(c.link.opts.Host)
	sess.local = func(d *meshpb.SchedDown) { c.link.down(c, d) }
	write := func(m *meshpb.SchedUp) error {
		sess.handle(m)
		return nil
	}
	return way{write: write, gone: make(chan struct{}), close: sess.close}
}

// openRemote reads decisions on its own goroutine.
func (c *ownerConn) openRemote(s *mesh.Stream) way {
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		for {
			var d meshpb.SchedDown
			if err := s.Read(&d); err != nil {
				return
			}
			c.link.down(c, &d)
		}
	}()
	write := func(m *meshpb.SchedUp) error { return s.Write(m) }
	return way{write: write, gone: gone, close: func() { s.Close() }}
}

// converse tells the owner of all items and then what follows, until the stream breaks or nothing is bound to it.
func (c *ownerConn) converse(ctx context.Context, w way) {
	defer w.close()
	defer c.link.disconnected(c)
	out := c.link.connected(c)
	idle := time.NewTimer(idleClose)
	defer idle.Stop()
	for {
		for _, m := range out {
			if err := w.write(m); err != nil {
				return
			}
		}
		if len(out) > 0 {
			idle.Reset(idleClose)
		}
		select {
		case <-ctx.Done():
			return
		case <-w.gone:
			return
		case <-c.kick:
		case <-idle.C:
			if !c.link.needs(c) {
				return
			}
			idle.Reset(idleClose)
		}
		var ok bool
		if out, ok = c.link.takeOut(c); !ok {
			return
		}
	}
}

// idleClose ends a conversation that has had nothing to say for so long and no item.
const idleClose = 5 * time.Second
