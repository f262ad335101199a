package mesh

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"github.com/hashicorp/yamux"
)

// acceptPause spaces tries to accept after an error.
const acceptPause = 50 * time.Millisecond

// Serve accepts peers until the listener closes or the node does.
func (n *Node) Serve(ln net.Listener) error {
	stop := context.AfterFunc(n.ctx, func() { ln.Close() })
	defer stop()
	for {
		conn, err := ln.Accept()
		switch {
		case n.ctx.Err() != nil:
			if err == nil {
				conn.Close() // its dialer would else wait for a Hello until its time-out
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			// Out of file descriptors, most often. Given up for good, the node would be cut off for its whole life.
			time.Sleep(acceptPause)
			continue
		}
		go n.serveConn(n.counted(conn))
	}
}

func (n *Node) serveConn(conn net.Conn) {
	conn, err := n.secureAccepted(conn)
	if err != nil {
		return
	}
	mux, err := yamux.Server(&joinedConn{Conn: conn}, yamuxConfig(&n.opts))
	if err != nil {
		conn.Close()
		return
	}
	defer mux.Close()
	sess := newSession(mux)
	if !n.addAccepted(sess) {
		return
	}
	defer n.dropAccepted(sess)
	n.serveSession(sess)
}

// secureAccepted bounds the handshake: a peer that connects and says nothing would else hold the connection for ever.
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
		if !sess.take(n.opts.MaxStreams) {
			refused.Inc()
			conn.Close()
			continue
		}
		s := newStream(conn, &n.opts, sess.done)
		if !n.beginHandling() {
			s.Close()
			return
		}
		go n.serveStream(s)
	}
}

// beginHandling counts a handler, unless Close waits for them already.
func (n *Node) beginHandling() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopping {
		return false
	}
	n.handling.Add(1)
	return true
}

// serveStream answers Hello only for a kind that has a handler and while the node takes work.
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
	if err := s.Write(helloOf(n.opts.Self, s.kind)); err != nil {
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

// RetireAccepted tells every peer to open no more streams on the sessions it holds; open streams go on, and the
// peers' next streams come on new sessions.
func (n *Node) RetireAccepted() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for s := range n.accepted {
		go s.mux.GoAway()
	}
}

// Close cuts every session. Handlers are told by their context and waited for.
func (n *Node) Close() {
	n.cancel()
	n.mu.Lock()
	n.stopping = true
	links := n.links
	n.links = make(map[string]*link)
	muxes := make([]*yamux.Session, 0, len(n.accepted))
	for s := range n.accepted {
		muxes = append(muxes, s.mux)
	}
	n.mu.Unlock()
	for _, l := range links {
		l.mu.Lock()
		if l.cur != nil {
			muxes = append(muxes, l.cur.mux)
		}
		l.mu.Unlock()
	}
	for _, m := range muxes {
		m.Close()
	}
	n.handling.Wait()
}
