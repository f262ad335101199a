package mesh

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// session counts its streams, so that a retired one can be closed when its last stream has ended.
type session struct {
	mux       *yamux.Session
	conn      *sessionConn
	mu        sync.Mutex
	streams   int
	retired   bool
	idleSince time.Time
}

// newSession starts a session on a connection, with the library's function for this end.
func newSession(conn net.Conn, o *Options, start func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*session, error) {
	c := newSessionConn(conn)
	mux, err := start(&coalescingConn{Conn: c}, yamuxConfig(o))
	if err != nil {
		c.abort()
		return nil, err
	}
	s := &session{mux: mux, conn: c, idleSince: time.Now()}
	go s.keepAlive(o.KeepAlive)
	return s, nil
}

// yamuxConfig converts the options to the limits of one session. The library's own log is discarded: each relevant event shows as an
// error of a stream and is logged by its user.
func yamuxConfig(o *Options) *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = o.MaxStreams
	c.EnableKeepAlive = false // see sessionConn
	c.ConnectionWriteTimeout = o.WriteTimeout
	c.StreamOpenTimeout = 0 // see sessionConn; the exchange of Hello has a time limit
	c.StreamCloseTimeout = streamCloseTimeout
	c.LogOutput = io.Discard
	return c
}

const streamCloseTimeout = 10 * time.Second

// keepAlive pings the peer, and ends the session if it does not answer.
func (s *session) keepAlive(interval time.Duration) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-s.mux.CloseChan():
			return
		case <-t.C:
		}
		if _, err := s.mux.Ping(); err != nil {
			s.conn.abort()
			return
		}
	}
}

// close ends the session and waits until it has shut down.
func (s *session) close() {
	s.conn.abort()
	<-s.mux.CloseChan()
}

// open opens a raw stream, or fails if the session accepts no more.
func (s *session) open() (net.Conn, error) {
	s.mu.Lock()
	if s.retired {
		s.mu.Unlock()
		return nil, yamux.ErrRemoteGoAway
	}
	s.streams++
	s.mu.Unlock()
	conn, err := s.mux.OpenStream()
	if err != nil {
		s.streamDone()
		return nil, err
	}
	return conn, nil
}

// acquireStream counts an accepted stream; it returns false if the session is at its limit.
func (s *session) acquireStream(limit int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams >= limit {
		return false
	}
	s.streams++
	return true
}

// streamDone records the end of a stream, and closes a retired session after its last one.
func (s *session) streamDone() {
	s.mu.Lock()
	s.streams--
	s.idleSince = time.Now()
	last := s.retired && s.streams == 0
	s.mu.Unlock()
	if last {
		s.closeLater()
	}
}

// retire lets the open streams finish and accepts no more.
func (s *session) retire() {
	s.mu.Lock()
	s.retired = true
	last := s.streams == 0
	s.mu.Unlock()
	if last {
		s.closeLater()
	}
}

// idle reports whether no stream has been open for d.
func (s *session) idle(now time.Time, d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams == 0 && now.Sub(s.idleSince) >= d
}

// closeLater closes the session after a short delay. Closing it at once could cut off the last frames of a stream that has just ended:
// the peer would miss its end and see a broken stream instead of a finished one.
func (s *session) closeLater() {
	time.AfterFunc(lingerTime, s.close)
}

const lingerTime = 200 * time.Millisecond
