package mesh

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"anvilwick.example/anvilwick/lib/meshpb"
)

// OutboxOptions of an Outbox.
type OutboxOptions struct {
	Kind     meshpb.StreamKind
	Queue    int                                  // messages kept for a peer; over it the oldest is dropped
	Idle     time.Duration                        // a peer that is sent nothing for so long has its stream closed
	NewReply func() proto.Message                 // nil: replies are not read
	OnReply  func(from Identity, m proto.Message) // one call at a time for each peer
	OnError  func(to Peer, err error)             // no stream could be opened; nil: ignored
}

// Outbox sends messages that may be lost, one stream and one goroutine a peer: a stalled peer delays nobody else's.
type Outbox struct {
	node *Node
	ctx  context.Context
	opts OutboxOptions
	wg   sync.WaitGroup

	mu    sync.Mutex
	boxes map[Peer]*box
}

// NewOutbox returns an Outbox that sends until ctx is done.
func NewOutbox(ctx context.Context, n *Node, o OutboxOptions) *Outbox {
	return &Outbox{node: n, ctx: ctx, opts: o, boxes: make(map[Peer]*box)}
}

// Send queues a message for a peer and returns at once.
func (o *Outbox) Send(to Peer, m proto.Message) {
	if o.ctx.Err() != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	b, ok := o.boxes[to]
	if !ok {
		b = &box{o: o, to: to, queue: make(chan proto.Message, max(1, o.opts.Queue))}
		o.boxes[to] = b
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

// Wait returns when all senders have ended, after ctx is done.
func (o *Outbox) Wait() { o.wg.Wait() }

// leave ends a sender unless a message came meanwhile.
func (o *Outbox) leave(b *box) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(b.queue) > 0 {
		return false
	}
	delete(o.boxes, b.to)
	return true
}

// box is the sender to one peer.
type box struct {
	o      *Outbox
	to     Peer
	queue  chan proto.Message
	stream *Stream
}

func (b *box) run() {
	defer b.closeStream()
	idle := time.NewTimer(b.o.opts.Idle)
	defer idle.Stop()
	for {
		select {
		case <-b.o.ctx.Done():
			return
		case m := <-b.queue:
			b.send(m)
			idle.Reset(b.o.opts.Idle)
		case <-idle.C:
			if b.o.leave(b) {
				return
			}
		}
	}
}

// send tries a broken stream's successor at once: most often the peer was restarted, and a restart costs no message.
func (b *box) send(m proto.Message) {
	if b.stream != nil && b.stream.Write(m) == nil {
		return
	}
	b.closeStream()
	if b.open() && b.stream.Write(m) != nil {
		b.closeStream()
	}
}

func (b *box) open() bool {
	s, err := b.o.node.Open(b.o.ctx, b.to, b.o.opts.Kind)
	if err != nil {
		if b.o.opts.OnError != nil {
			b.o.opts.OnError(b.to, err)
		}
		return false
	}
	b.stream = s
	if b.o.opts.NewReply != nil {
		b.o.wg.Go(func() { b.readReplies(s) })
	}
	return true
}

// readReplies ends when the stream does. Closing it makes the next Write fail, which opens a new one.
func (b *box) readReplies(s *Stream) {
	defer s.Close()
	for {
		m := b.o.opts.NewReply()
		if err := s.Read(m); err != nil {
			return
		}
		b.o.opts.OnReply(s.Peer(), m)
	}
}

func (b *box) closeStream() {
	if b.stream != nil {
		b.stream.Close()
		b.stream = nil
	}
}
