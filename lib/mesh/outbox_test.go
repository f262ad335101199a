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

// One peer's link stalls. Messages to it are dropped, oldest first, and those to others still arrive at once.
func TestOutboxStalledPeerDelaysNoOther(t *testing.T) {
	var stalled atomic.Bool
	o := fastOptions("a")
	_, slow := startNode(t, fastOptions("slow"))
	o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		if addr == slow {
			return dialStalling(&stalled)(ctx, addr)
		}
		return new(net.Dialer).DialContext(ctx, "tcp", addr)
	}
	a, _ := startNode(t, o)
	_, healthy := startNode(t, fastOptions("well"))
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
		out.Send(Peer{"well", healthy}, &meshpb.SettingsOffer{Revision: i})
		waitFor(t, "the well peer's answer", func() bool { return last.Load() == i && replies.Load() == i+1 })
	}
	cancel()
	out.Wait()
}

// A peer that is sent nothing any more must use no resources: a node meets hundreds over its lifetime.
func TestOutboxForgetsIdlePeers(t *testing.T) {
	a, _ := startNode(t, fastOptions("a"))
	_, addr := startNode(t, fastOptions("b"))
	out := NewOutbox(t.Context(), a, OutboxOptions{Kind: kindEcho, Queue: 1, Idle: 20 * time.Millisecond})
	out.Send(Peer{"b", addr}, &meshpb.SettingsOffer{})
	waitFor(t, "removal of the sender", func() bool {
		out.mu.Lock()
		defer out.mu.Unlock()
		return len(out.senders) == 0
	})
	out.Send(Peer{"b", addr}, &meshpb.SettingsOffer{})
	must.MapLen(t, 1, out.senders)
}
