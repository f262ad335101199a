package mesh

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"github.com/hashicorp/yamux"
)

// acceptPause is the delay before accepting again after an error.
const acceptPause = 50 * time.Millisecond

// Serve accepts peers until the listener or the node is closed.
func (n *Node) Serve(ln net.Listener) error {
	stop := context.AfterFunc(n.ctx, func() { ln.Close() })
	defer stop()
	for {
		conn, err := ln.Accept()
		switch {
		case n.ctx.Err() != nil:
			if err == nil {
				conn.Close() // otherwise the dialer would wait for a Hello until its time-out
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			// Usually out of file descriptors. If Serve returned, the node would be unreachable from then on.
			time.Sleep(acceptPause)
			continue
		}
		go n.serveConn(n.countBytes(conn))
	}
}

func (n *Node) serveConn(conn net.Conn) {
	conn, err := n.secureAccepted(conn)
	if err != nil {
		return
	}
	sess, err := newSession(conn, &n.opts, yamux.Server)
	if err != nil {
		return
	}
	defer sess.close()
	if !n.addAccepted(sess) {
		return
	}
	defer n.dropAccepted(sess)
	n.serveSession(sess)
}

// secureAccepted bounds the handshake: a peer that connects and sends nothing would otherwise hold the connection forever.
func (n *Node) secureAccepted(conn net.Conn) (net.Conn, error) {
	if n.opts.Plaintext {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(n.ctx, n.opts.DialTimeout)
	defer cancel()
	tc := tls.Server(conn, n.opts.TLS)
	if err := tc.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return tc, nil
}

func (n *Node) serveSession(sess *session) {
	for {
		conn, err := sess.mux.AcceptStream()
		if err != nil {
			return
		}
		if !sess.acquireStream(n.opts.MaxStreams) {
			refused.Inc()
			conn.Close()
			continue
		}
		s := newStream(conn, &n.opts, sess)
		if !n.beginHandling() {
			s.Close()
			return
		}
		go n.serveStream(s)
	}
}

// beginHandling registers a handler, unless Close is already waiting for the handlers.
func (n *Node) beginHandling() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopping {
		return false
	}
	n.handling.Add(1)
	return true
}

// serveStream answers Hello only if its kind has a handler and the node is not closing.
func (n *Node) serveStream(s *Stream) {
	defer n.handling.Done()
	defer s.Close()
	if err := s.conn.SetReadDeadline(time.Now().Add(n.opts.DialTimeout)); err != nil {
		return
	}
	if err := s.readHello(); err != nil {
		return
	}
	n.mu.Lock()
	h := n.handlers[s.kind]
	n.mu.Unlock()
	if h == nil {
		refused.Inc()
		return
	}
	if err := s.Write(newHello(n.opts.Self, s.kind)); err != nil {
		return
	}
	if err := s.conn.SetReadDeadline(time.Time{}); err != nil {
		return
	}
	h(n.ctx, s)
}

func (n *Node) addAccepted(s *session) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopping || len(n.accepted) >= n.opts.MaxSessions {
		return false
	}
	n.accepted[s] = struct{}{}
	return true
}

func (n *Node) dropAccepted(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.accepted, s)
}

// RetireAccepted tells every peer to open no more streams on its current session; open streams continue, and the peers' next streams
// arrive on new sessions.
func (n *Node) RetireAccepted() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for s := range n.accepted {
		go s.mux.GoAway()
	}
}

// Close closes every session, cancels the context of the handlers and waits for them.
func (n *Node) Close() {
	n.cancel()
	n.mu.Lock()
	n.stopping = true
	links := n.links
	n.links = make(map[string]*link)
	sessions := make([]*session, 0, len(n.accepted))
	for s := range n.accepted {
		sessions = append(sessions, s)
	}
	n.mu.Unlock()
	for _, l := range links {
		l.mu.Lock()
		if l.current != nil {
			sessions = append(sessions, l.current)
		}
		l.mu.Unlock()
	}
	for _, s := range sessions {
		s.close()
	}
	n.handling.Wait()
}
