package schedlink

import (
	"time"

	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/sched"
)

// needs reports whether a conversation has items or something to say.
func (l *Link) needs(c *ownerConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.bound > 0 || len(c.out) > 0
}

// finished reports whether a conversation is over for good.
func (l *Link) finished(c *ownerConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.done && c.bound == 0 && len(c.out) == 0
}

// connected returns what a new stream starts with: all items of the owner, whatever it heard of them before. Messages
// queued from here on follow it.
func (l *Link) connected(c *ownerConn) []*meshpb.SchedUp {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.up = true
	c.opens++
	c.out = nil
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
		out = append(out, progressOf(progress))
	}
	return out
}

func (l *Link) disconnected(c *ownerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.up = false
	c.out = nil
}

// takeOut returns the queued messages; ok is false when the stream must be given up.
func (l *Link) takeOut(c *ownerConn) (out []*meshpb.SchedUp, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out, c.out = c.out, nil
	return out, c.up
}

// down takes a message of an owner.
func (l *Link) down(c *ownerConn, d *meshpb.SchedDown) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.heard = time.Now()
	c.silent = false
	a, ok := actionOf(d)
	if !ok {
		return
	}
	it := l.items[a.Gen]
	if it == nil || it.conn != c || it.req.Attempt != a.Attempt {
		return // of a former owner, or of a former attempt
	}
	l.act(it, a)
}

// act carries out a decision on an item. The caller holds mu.
func (l *Link) act(it *item, a sched.Action) {
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

// grant starts the attempt, once. An owner that was silent may grant what the entry placed itself meanwhile; a second
// start of one attempt is what must never be, so the owner is told where it runs.
func (l *Link) grant(it *item, a sched.Action) {
	if !it.queued() {
		if it.target != a.Target {
			it.conn.send(it.submit(l.Now()))
		}
		return
	}
	it.target = a.Target
	l.alone.placed(a.Target)
	it.notify(a)
}
