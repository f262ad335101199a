// Package serving is the listening half of a stand-in: it serves HTTP until it is closed or killed.
package serving

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// headTimeout bounds reading the head of a request.
const headTimeout = 10 * time.Second

// Server serves a stand-in's calls. Embed it; Open starts it.
type Server struct {
	http *http.Server
	ln   net.Listener
	stop chan struct{}
	once sync.Once
	done sync.WaitGroup
}

// Open serves calls on ln. beside runs as long as the server does; nil: nothing does.
func (s *Server) Open(ln net.Listener, calls http.Handler, beside func()) {
	s.ln, s.stop = ln, make(chan struct{})
	s.http = &http.Server{Handler: calls, ReadHeaderTimeout: headTimeout}
	s.done.Go(func() { _ = s.http.Serve(ln) })
	if beside != nil {
		s.done.Go(beside)
	}
}

// Stopped is closed once the server is being closed or killed.
func (s *Server) Stopped() <-chan struct{} { return s.stop }

// Addr is the address it listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Close ends gracefully: what is in progress may finish until ctx ends.
func (s *Server) Close(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = s.http.Close()
	}
	s.halt()
	s.done.Wait()
	return err
}

// Kill cuts every connection at once, as the death of the process would.
func (s *Server) Kill() {
	s.halt()
	_ = s.http.Close()
}

func (s *Server) halt() { s.once.Do(func() { close(s.stop) }) }
