// Package locallink joins a control process to the entry beside it: one mesh stream with LocalDown messages to the
// entry and LocalUp messages back.
//
// Either side may die and come back at any time. The link carries state, never commands: after each connect the
// control process sends all that it holds, so that a message lost with a link is made good by the next link.
package locallink

import (
	"context"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// Server is the entry's side.
type Server struct {
	Instance  string                    // whose control process may connect
	OnMessage func(m *meshpb.LocalDown) // called in order, one at a time over all links
	Reports   func() []*meshpb.LocalUp  // called every Interval while a link stands
	Interval  time.Duration             // between reports upwards

	mu      sync.Mutex // held while Down runs
	current *mesh.Stream
}

// Handle serves one link; it is the node's handler of meshpb.StreamKind_STREAM_LOCAL.
//
// A link from another instance is refused: a wrong address in the flags would let one instance's control process steer
// another instance's entry, and both would look healthy.
func (s *Server) Handle(ctx context.Context, st *mesh.Stream) {
	if st.Peer().Instance != s.Instance {
		return
	}
	s.replace(st)
	ctx, cancel := context.WithCancel(ctx)
	var reporting sync.WaitGroup
	reporting.Go(func() { s.report(ctx, st) })
	s.read(st)
	cancel()
	reporting.Wait()
	s.forget(st)
}

// Connected reports whether a control process is connected.
func (s *Server) Connected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current != nil
}

// replace makes st the only link. A restarted control process connects while the dead one's link may still stand; two
// links would apply old state over new, so the newest wins and the older one is closed.
func (s *Server) replace(st *mesh.Stream) {
	s.mu.Lock()
	old := s.current
	s.current = st
	s.mu.Unlock()
	if old != nil {
		_ = old.Close()
	}
}

func (s *Server) forget(st *mesh.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == st {
		s.current = nil
	}
}

func (s *Server) read(st *mesh.Stream) {
	for {
		var m meshpb.LocalDown
		if err := st.Read(&m); err != nil {
			return
		}
		if !s.deliver(st, &m) {
			return
		}
	}
}

func (s *Server) deliver(st *mesh.Stream, m *meshpb.LocalDown) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != st {
		return false
	}
	s.OnMessage(m)
	return true
}

func (s *Server) report(ctx context.Context, st *mesh.Stream) {
	for {
		for _, m := range s.Reports() {
			if err := st.Write(m); err != nil {
				_ = st.Close()
				return
			}
		}
		if !pause(ctx, s.Interval) {
			return
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
