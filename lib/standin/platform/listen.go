package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"anvilwick.example/anvilwick/lib/platformapi"
)

const headerTimeout = 5 * time.Second

// Listener is a stand-in served on a TCP port.
type Listener struct {
	*Server
	ln  net.Listener
	srv *http.Server
}

// Start serves a new stand-in on addr, an IP:port; port 0 picks a free one. list names a JSON file with the initial
// instance list; empty means none.
func Start(addr, list string, cfg Config) (*Listener, error) {
	s := New(cfg)
	if err := s.loadInstances(list); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	l := &Listener{Server: s, ln: ln, srv: &http.Server{Handler: s.Handler(), ReadHeaderTimeout: headerTimeout}}
	go l.serve()
	return l, nil
}

func (l *Listener) serve() {
	if err := l.srv.Serve(l.ln); !errors.Is(err, http.ErrServerClosed) {
		fmt.Fprintln(os.Stderr, "platform stand-in:", err)
	}
}

// Addr returns the IP:port that it listens on.
func (l *Listener) Addr() string { return l.ln.Addr().String() }

// Close stops the stand-in; requests in progress may finish until ctx ends.
func (l *Listener) Close(ctx context.Context) error { return l.srv.Shutdown(ctx) }

// loadInstances reads the initial list and dates it before any lag, so that it is visible from the start.
func (s *Server) loadInstances(path string) error {
	if path == "" {
		return nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var list platformapi.InstanceList
	if err := json.Unmarshal(b, &list); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	for _, in := range list.Instances {
		s.instances.put(in, time.Time{})
	}
	return nil
}
