package schedlink

import (
	"time"

	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/sched"
)

// hasWork reports whether a connection has bound items or queued messages.
func (l *Link) hasWork(c *ownerConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.bound > 0 || len(c.pending) > 0
}

// finished reports whether a connection is retired and has nothing left to send.
func (l *Link) finished(c *ownerConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.retired && c.bound == 0 && len(c.pending) == 0
}

// streamOpened marks the stream as open and returns its first messages: all items of the owner, whether or not it received
// them before. Messages queued from here on follow these.
func (l *Link) streamOpened(c *ownerConn) []*meshpb.SchedUp {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.up = true
	c.streams++
	c.pending = nil
	now := l.Now()
	var out []*meshpb.SchedUp
	var progress []*meshpb.ProgressItem
	for _, it := range l.items.inOrder() {
		if it.conn != c {
			continue
		}
		out = append(out, it.submit(now))
		if it.tokens > it.req.Emitted {
			progress = append(progress, it.progress())
		}
	}
	if progress != nil {
		out = append(out, encodeProgress(progress))
	}
	return out
}

func (l *Link) streamClosed(c *ownerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.up = false
	c.pending = nil
}

// takePending returns the queued messages; ok is false when the stream must be closed.
func (l *Link) takePending(c *ownerConn) (out []*meshpb.SchedUp, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out, c.pending = c.pending, nil
	return out, c.up
}

// receive handles a message from an owner.
func (l *Link) receive(c *ownerConn, d *meshpb.SchedDown) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.lastReceived = time.Now()
	c.silent = false
	a, ok := decodeAction(d)
	if !ok {
		return
	}
	it := l.items[a.Gen]
	if it == nil || it.conn != c || it.req.Attempt != a.Attempt {
		return // from a former owner, or for a former attempt
	}
	l.apply(it, a)
}

// apply applies a decision to an item. The caller holds mu.
func (l *Link) apply(it *item, a sched.Action) {
	switch a.Kind {
	case sched.ActGrant:
		l.grant(it, a)
	case sched.ActPreempt:
		if !it.queued() {
			it.notify(a)
		}
	case sched.ActRefuse:
		if it.queued() {
			l.remove(a.Gen)
			it.notify(a)
		}
	}
}

// grant starts the attempt, once. An owner that was silent may grant an attempt that the entry has placed itself meanwhile.
// An attempt must never start twice, so the entry reports to the owner where it runs.
func (l *Link) grant(it *item, a sched.Action) {
	if !it.queued() {
		if it.target != a.Target {
			it.conn.send(it.submit(l.Now()))
		}
		return
	}
	it.target = a.Target
	l.selfPlacer.recordPlacement(a.Target)
	it.notify(a)
}
