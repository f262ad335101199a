package mesh

import (
	"context"
	"runtime"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/meshpb"
)

// Guards against streams that keep a receive buffer as large as it has ever been: hundreds of them, which carried a burst each, took a process's memory for as
// long as they stayed open.
func TestIdleStreamsKeepNoBuffers(t *testing.T) {
	const (
		streams    = 200
		messages   = 12
		message    = 16 << 10 // bytes
		maxPerIdle = 64 << 10 // bytes of both ends of a stream
	)
	a, _ := startNode(t, fastOptions("a"))
	b, addr := startNode(t, fastOptions("b"))
	sent, received := make(chan struct{}), make(chan error, streams)
	b.Handle(meshpb.StreamKind_STREAM_TUNNEL, func(_ context.Context, s *Stream) {
		<-sent // so that the data fills the buffer
		for range messages {
			if err := s.Read(new(meshpb.TunnelFrame)); err != nil {
				received <- err
				return
			}
		}
		received <- nil
		_ = s.Read(new(meshpb.TunnelFrame)) // until the stream ends
	})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var wg sync.WaitGroup
	for range streams {
		s, err := a.Open(t.Context(), Peer{"b", addr}, meshpb.StreamKind_STREAM_TUNNEL)
		must.NoError(t, err)
		t.Cleanup(func() { _ = s.Close() })
		wg.Go(func() {
			for range messages {
				if err := s.Write(&meshpb.TunnelFrame{Data: make([]byte, message)}); err != nil {
					return // the handler reports it
				}
			}
		})
	}
	wg.Wait()
	close(sent)
	for range streams {
		must.NoError(t, <-received)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	grown := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d streams grew the heap by %d KiB", streams, grown>>10)
	must.Less(t, streams*maxPerIdle, grown)
}
