package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// link is the way to one address: at most one session that takes new streams, and any number that are retired.
type link struct {
	addr string
	mu   sync.Mutex // held while dialing: callers of the same address share one dial
	cur  *session
	back backoff
	last error // of the dial that put the peer into backoff
}

// session returns the current one or dials. A peer in backoff fails at once: callers decide without it.
func (l *link) session(ctx context.Context, n *Node) (*session, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cur != nil && !l.cur.mux.IsClosed() {
		return l.cur, nil
	}
	l.cur = nil
	if !l.back.ready(time.Now()) {
		// The cause stays with it: a peer whose address refuses is known dead in backoff as well, and Refused must see it.
		return nil, ErrBackoff.Wrap(l.last, "%s failed %d times", l.addr, l.back.failures)
	}
	mux, err := n.dial(ctx, l.addr)
	if err != nil {
		l.back.failed(time.Now())
		l.last = err
		return nil, ErrDial.Wrap(err, "%s", l.addr)
	}
	l.back.ok()
	l.cur = newSession(mux)
	return l.cur, nil
}

// retire drops s from the link when it is still the current one.
func (l *link) retire(s *session) {
	l.mu.Lock()
	if l.cur == s || s == nil {
		s, l.cur = l.cur, nil
	}
	l.mu.Unlock()
	if s != nil {
		s.retire()
	}
}

// sweep closes an idle session and reports whether the link can be forgotten.
func (l *link) sweep(now time.Time, idle time.Duration) bool {
	if !l.mu.TryLock() {
		return false
	}
	defer l.mu.Unlock()
	if l.cur != nil && l.cur.mux.IsClosed() {
		l.cur = nil
	}
	if l.cur != nil && l.cur.idle(now, idle) {
		l.cur.retire()
		l.cur = nil
	}
	return l.cur == nil && l.back.ready(now.Add(-l.back.max))
}

// dial makes a session within DialTimeout.
func (n *Node) dial(ctx context.Context, addr string) (*yamux.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, n.opts.DialTimeout)
	defer cancel()
	stop := context.AfterFunc(n.ctx, cancel)
	defer stop()
	dials.Inc()
	conn, err := n.opts.Dial(ctx, addr)
	if err != nil {
		dialFailures.Inc()
		return nil, err
	}
	conn, err = n.secureDialed(ctx, n.counted(conn))
	if err != nil {
		dialFailures.Inc()
		return nil, err
	}
	return yamux.Client(&joinedConn{Conn: conn}, yamuxConfig(&n.opts))
}
