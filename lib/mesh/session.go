package mesh

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// session counts its streams, so that a retired one can be closed when the last has ended.
type session struct {
	mux      *yamux.Session
	mu       sync.Mutex
	streams  int
	retired  bool
	idleFrom time.Time
}

func newSession(mux *yamux.Session) *session {
	return &session{mux: mux, idleFrom: time.Now()}
}

// yamuxConfig turns the options into bounds of one session. The library's own log is dropped: each event that
// matters is seen as an error of a stream and logged by its user.
func yamuxConfig(o *Options) *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = o.MaxStreams
	c.KeepAliveInterval = o.KeepAlive
	c.ConnectionWriteTimeout = o.WriteTimeout
	c.StreamOpenTimeout = o.DialTimeout + o.WriteTimeout
	c.StreamCloseTimeout = streamCloseTimeout
	c.LogOutput = io.Discard
	return c
}

const streamCloseTimeout = 10 * time.Second

// open makes a raw stream, or reports that the session takes no more.
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
		s.done()
		return nil, err
	}
	return conn, nil
}

// take counts an accepted stream; false: the session holds its bound.
func (s *session) take(bound int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams >= bound {
		return false
	}
	s.streams++
	return true
}

// done ends one stream and closes a retired session with the last.
func (s *session) done() {
	s.mu.Lock()
	s.streams--
	s.idleFrom = time.Now()
	last := s.retired && s.streams == 0
	s.mu.Unlock()
	if last {
		s.closeLater()
	}
}

// retire lets the streams that are open finish and takes no more.
func (s *session) retire() {
	s.mu.Lock()
	s.retired = true
	last := s.streams == 0
	s.mu.Unlock()
	if last {
		s.closeLater()
	}
}

// idle reports whether no stream was open for d.
func (s *session) idle(now time.Time, d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams == 0 && now.Sub(s.idleFrom) >= d
}

// closeLater closes the session after a short wait. Closing at once could cut the last frames of a stream that ended
// a moment ago: its end mark would be lost, and the peer would see a broken stream in place of a finished one.
func (s *session) closeLater() {
	time.AfterFunc(lingerTime, func() { s.mux.Close() })
}

const lingerTime = 200 * time.Millisecond
