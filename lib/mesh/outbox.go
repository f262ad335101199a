package mesh

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"anvilwick.example/anvilwick/lib/meshpb"
)

// OutboxOptions configure an Outbox.
type OutboxOptions struct {
	Kind     meshpb.StreamKind
	Queue    int                                  // messages queued per peer; beyond it the oldest is dropped
	Idle     time.Duration                        // a peer's stream is closed after this time without a message
	NewReply func() proto.Message                 // nil: replies are not read
	OnReply  func(from Identity, m proto.Message) // called sequentially for each peer
	OnError  func(to Peer, err error)             // called if no stream could be opened; nil: errors are ignored
}

// Outbox sends messages that may be lost, with one stream and one goroutine per peer: a stalled peer does not delay the others.
type Outbox struct {
	node *Node
	ctx  context.Context
	opts OutboxOptions
	wg   sync.WaitGroup

	mu      sync.Mutex
	senders map[Peer]*sender
}

// NewOutbox returns an Outbox that sends until ctx is done.
func NewOutbox(ctx context.Context, n *Node, o OutboxOptions) *Outbox {
	return &Outbox{node: n, ctx: ctx, opts: o, senders: make(map[Peer]*sender)}
}

// Send queues a message for a peer and returns at once.
func (o *Outbox) Send(to Peer, m proto.Message) {
	if o.ctx.Err() != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	b, ok := o.senders[to]
	if !ok {
		b = &sender{outbox: o, to: to, queue: make(chan proto.Message, max(1, o.opts.Queue))}
		o.senders[to] = b
		o.wg.Go(b.run)
	}
	for {
		select {
		case b.queue <- m:
			return
		default:
		}
		select {
		case <-b.queue:
		default:
		}
	}
}

// Wait waits until all senders have ended, after ctx is done.
func (o *Outbox) Wait() { o.wg.Wait() }

// removeIdle removes an idle sender unless a message was queued in the meantime.
func (o *Outbox) removeIdle(b *sender) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(b.queue) > 0 {
		return false
	}
	delete(o.senders, b.to)
	return true
}

// sender sends messages to one peer.
type sender struct {
	outbox *Outbox
	to     Peer
	queue  chan proto.Message
	stream *Stream
}

func (b *sender) run() {
	defer b.closeStream()
	idle := time.NewTimer(b.outbox.opts.Idle)
	defer idle.Stop()
	for {
		select {
		case <-b.outbox.ctx.Done():
			return
		case m := <-b.queue:
			b.send(m)
			idle.Reset(b.outbox.opts.Idle)
		case <-idle.C:
			if b.outbox.removeIdle(b) {
				return
			}
		}
	}
}

// send retries once on a new stream if the stream is broken: usually the peer was restarted, and a restart then loses no message.
func (b *sender) send(m proto.Message) {
	if b.stream != nil && b.stream.Write(m) == nil {
		return
	}
	b.closeStream()
	if b.open() && b.stream.Write(m) != nil {
		b.closeStream()
	}
}

func (b *sender) open() bool {
	s, err := b.outbox.node.Open(b.outbox.ctx, b.to, b.outbox.opts.Kind)
	if err != nil {
		if b.outbox.opts.OnError != nil {
			b.outbox.opts.OnError(b.to, err)
		}
		return false
	}
	b.stream = s
	if b.outbox.opts.NewReply != nil {
		b.outbox.wg.Go(func() { b.readReplies(s) })
	}
	return true
}

// readReplies reads replies until the stream ends. It closes the stream, so that the next Write fails and a new one is opened.
func (b *sender) readReplies(s *Stream) {
	defer s.Close()
	for {
		m := b.outbox.opts.NewReply()
		if err := s.Read(m); err != nil {
			return
		}
		b.outbox.opts.OnReply(s.Peer(), m)
	}
}

func (b *sender) closeStream() {
	if b.stream != nil {
		b.stream.Close()
		b.stream = nil
	}
}
