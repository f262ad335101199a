package locallink

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"anvilwick.example/anvilwick/lib/meshpb"
)

// Server is the entry's side.
type Server struct {
	Self     Identity
	TLS      *tls.Config               // nil: plain
	Down     func(m *meshpb.LocalDown) // called in order, one at a time over all links
	Up       func() []*meshpb.LocalUp  // called every Interval while a link stands
	Interval time.Duration             // between reports upwards
	Lost     func(err error)           // a link ended; nil: ignored

	mu      sync.Mutex // serialises Down
	current *yamux.Session
	curMu   sync.Mutex
}

// Serve accepts links until ctx is done, then closes ln and the link.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		_ = ln.Close()
		s.replace(nil)
	})
	defer stop()
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			if !pause(ctx, retryMin) {
				return nil
			}
			continue
		}
		go s.handle(ctx, conn)
	}
}

func (s *Server) handle(ctx context.Context, conn net.Conn) {
	conn = secure(conn, s.TLS, tls.Server)
	sess, err := yamux.Server(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	defer sess.Close()
	err = s.link(ctx, sess)
	if s.Lost != nil && ctx.Err() == nil {
		s.Lost(err)
	}
}

func (s *Server) link(ctx context.Context, sess *yamux.Session) error {
	actx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	ys, err := sess.AcceptStreamWithContext(actx)
	if err != nil {
		return err
	}
	st := newStream(ys)
	if err := st.greet(s.Self); err != nil {
		return err
	}
	s.replace(sess)
	go s.report(ctx, sess, st)
	return s.readDown(sess, st)
}

// replace makes sess the only link. A restarted control process connects while the dead one's link may still stand;
// two links would apply old state over new, so the newest wins and the older one is closed.
func (s *Server) replace(sess *yamux.Session) {
	s.curMu.Lock()
	old := s.current
	s.current = sess
	s.curMu.Unlock()
	if old != nil {
		_ = old.Close()
	}
}

func (s *Server) isCurrent(sess *yamux.Session) bool {
	s.curMu.Lock()
	defer s.curMu.Unlock()
	return s.current == sess
}

func (s *Server) readDown(sess *yamux.Session, st *stream) error {
	for {
		var m meshpb.LocalDown
		if err := st.receive(&m); err != nil {
			return err
		}
		if !s.deliver(sess, &m) {
			return net.ErrClosed
		}
	}
}

func (s *Server) deliver(sess *yamux.Session, m *meshpb.LocalDown) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isCurrent(sess) {
		return false
	}
	s.Down(m)
	return true
}

func (s *Server) report(ctx context.Context, sess *yamux.Session, st *stream) {
	for {
		for _, m := range s.Up() {
			if err := st.send(m); err != nil {
				_ = sess.Close()
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-sess.CloseChan():
			return
		case <-time.After(s.Interval):
		}
	}
}

// pause waits d, or less when ctx ends; it reports whether ctx still stands.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
