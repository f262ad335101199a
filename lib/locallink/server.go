// Package locallink connects a control process to the entry on the same instance over one mesh stream: LocalDown messages
// go to the entry, LocalUp messages come back.
//
// Either process may restart at any time. The link therefore carries state rather than commands: after each connect the
// control process sends its full state, so that messages lost with one link are repeated on the next.
package locallink

import (
	"context"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/ctxtime"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// Server is the entry's side of the link.
type Server struct {
	Instance  string                    // only this instance's control process may connect
	OnMessage func(m *meshpb.LocalDown) // called in order, one at a time across all links
	Reports   func() []*meshpb.LocalUp  // called every Interval while a link is connected
	Interval  time.Duration             // between reports to the control process

	mu   sync.Mutex // held while OnMessage runs
	link *mesh.Stream
}

// Handle serves one link; it is the node's handler for meshpb.StreamKind_STREAM_LOCAL.
//
// A link from another instance is rejected: with a wrong address in its flags, one instance's control process would
// control another instance's entry, and both would look healthy.
func (s *Server) Handle(ctx context.Context, st *mesh.Stream) {
	if st.Peer().Instance != s.Instance {
		return
	}
	s.replaceLink(st)
	ctx, cancel := context.WithCancel(ctx)
	var reporting sync.WaitGroup
	reporting.Go(func() { s.sendReports(ctx, st) })
	s.readMessages(st)
	cancel()
	reporting.Wait()
	s.clearLink(st)
}

// Connected reports whether a control process is connected.
func (s *Server) Connected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link != nil
}

// replaceLink makes st the only link. A restarted control process may connect while its predecessor's link is still open. Two
// links could overwrite new state with old, so the newest one wins and the older one is closed.
func (s *Server) replaceLink(st *mesh.Stream) {
	s.mu.Lock()
	old := s.link
	s.link = st
	s.mu.Unlock()
	if old != nil {
		_ = old.Close()
	}
}

func (s *Server) clearLink(st *mesh.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link == st {
		s.link = nil
	}
}

func (s *Server) readMessages(st *mesh.Stream) {
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
	if s.link != st {
		return false
	}
	s.OnMessage(m)
	return true
}

func (s *Server) sendReports(ctx context.Context, st *mesh.Stream) {
	for {
		for _, m := range s.Reports() {
			if err := st.Write(m); err != nil {
				_ = st.Close()
				return
			}
		}
		if !ctxtime.Sleep(ctx, s.Interval) {
			return
		}
	}
}
