package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// link manages the sessions to one address: at most one session that accepts new streams, and any number of retired ones.
type link struct {
	addr    string
	mu      sync.Mutex // held while dialing, so that callers of the same address share one dial
	current *session
	backoff backoff
	lastErr error // of the dial that put the peer into backoff
}

// session returns the current session or dials one. It fails at once while the peer is in backoff, so that callers don't wait for it.
func (l *link) session(ctx context.Context, n *Node) (*session, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil && !l.current.mux.IsClosed() {
		return l.current, nil
	}
	l.current = nil
	if !l.backoff.ready(time.Now()) {
		// Wrap the cause: Refused must recognize a peer whose address refuses connections during backoff as well.
		return nil, ErrBackoff.Wrap(l.lastErr, "%s failed %d times", l.addr, l.backoff.failures)
	}
	sess, err := n.dial(ctx, l.addr)
	if err != nil {
		l.backoff.failed(time.Now())
		l.lastErr = err
		return nil, ErrDial.Wrap(err, "%s", l.addr)
	}
	l.backoff.succeeded()
	l.current = sess
	return l.current, nil
}

// retire retires s if it is still the current session; nil retires whichever session is current.
func (l *link) retire(s *session) {
	l.mu.Lock()
	if l.current == s || s == nil {
		s, l.current = l.current, nil
	}
	l.mu.Unlock()
	if s != nil {
		s.retire()
	}
}

// sweep closes an idle session and reports whether the link can be removed.
func (l *link) sweep(now time.Time, idle time.Duration) bool {
	if !l.mu.TryLock() {
		return false
	}
	defer l.mu.Unlock()
	if l.current != nil && l.current.mux.IsClosed() {
		l.current = nil
	}
	if l.current != nil && l.current.idle(now, idle) {
		l.current.retire()
		l.current = nil
	}
	return l.current == nil && l.backoff.ready(now.Add(-l.backoff.max))
}

// dial opens a session within DialTimeout.
func (n *Node) dial(ctx context.Context, addr string) (*session, error) {
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
	conn, err = n.secureDialed(ctx, n.countBytes(conn))
	if err != nil {
		dialFailures.Inc()
		return nil, err
	}
	return newSession(conn, &n.opts, yamux.Client)
}
