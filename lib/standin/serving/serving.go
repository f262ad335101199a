// Package serving implements the HTTP listener that the stand-ins share: it serves until it is closed or killed.
package serving

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// readHeaderTimeout bounds reading a request's header.
const readHeaderTimeout = 10 * time.Second

// Server is the HTTP server of a stand-in. Embed it and call Open to start it.
type Server struct {
	http *http.Server
	ln   net.Listener
	stop chan struct{}
	once sync.Once
	wg   sync.WaitGroup
}

// Open serves calls on ln. beside, if not nil, runs in its own goroutine and must return once Stopped is closed.
func (s *Server) Open(ln net.Listener, handler http.Handler, background func()) {
	s.ln, s.stop = ln, make(chan struct{})
	s.http = &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	s.wg.Go(func() { _ = s.http.Serve(ln) })
	if background != nil {
		s.wg.Go(background)
	}
}

// Stopped returns a channel that is closed when the server is being closed or killed.
func (s *Server) Stopped() <-chan struct{} { return s.stop }

// Addr returns the address it listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Close shuts down gracefully: requests in progress may finish until ctx ends.
func (s *Server) Close(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = s.http.Close()
	}
	s.signalStop()
	s.wg.Wait()
	return err
}

// Kill cuts every connection immediately, as the death of the process would.
func (s *Server) Kill() {
	s.signalStop()
	_ = s.http.Close()
}

func (s *Server) signalStop() { s.once.Do(func() { close(s.stop) }) }
