package mesh

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/meshpb"
)

// One peer's link stalls. Messages to it are dropped, the oldest first, and those to others still arrive at once.
func TestOutboxStalledPeerDelaysNobodyElse(t *testing.T) {
	var stalled atomic.Bool
	o := quick("a")
	_, slow := startNode(t, quick("slow"))
	o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		if addr == slow {
			return stallingDial(&stalled)(ctx, addr)
		}
		return new(net.Dialer).DialContext(ctx, "tcp", addr)
	}
	a, _ := startNode(t, o)
	_, well := startNode(t, quick("well"))
	ctx, cancel := context.WithCancel(t.Context())
	var last, replies atomic.Uint64
	out := NewOutbox(ctx, a, OutboxOptions{
		Kind:     kindEcho,
		Queue:    2,
		Idle:     time.Minute,
		NewReply: func() proto.Message { return new(meshpb.SettingsOffer) },
		OnReply: func(from Identity, m proto.Message) {
			if from.Instance == "well" {
				last.Store(m.(*meshpb.SettingsOffer).GetRevision())
				replies.Add(1)
			}
		},
	})
	stalled.Store(true)
	for i := range uint64(50) {
		out.Send(Peer{"slow", slow}, &meshpb.SettingsOffer{Revision: i})
		out.Send(Peer{"well", well}, &meshpb.SettingsOffer{Revision: i})
		waitFor(t, "the well peer's answer", func() bool { return last.Load() == i && replies.Load() == i+1 })
	}
	cancel()
	out.Wait()
}

// A peer that is sent nothing any more must cost nothing: a node meets hundreds over its life.
func TestOutboxForgetsIdlePeers(t *testing.T) {
	a, _ := startNode(t, quick("a"))
	_, addr := startNode(t, quick("b"))
	out := NewOutbox(t.Context(), a, OutboxOptions{Kind: kindEcho, Queue: 1, Idle: 20 * time.Millisecond})
	out.Send(Peer{"b", addr}, &meshpb.SettingsOffer{})
	waitFor(t, "no boxes", func() bool {
		out.mu.Lock()
		defer out.mu.Unlock()
		return len(out.boxes) == 0
	})
	out.Send(Peer{"b", addr}, &meshpb.SettingsOffer{})
	must.MapLen(t, 1, out.boxes)
}
