package record

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// Timing of a sender.
const (
	senderIdleTimeout = 30 * time.Second       // a sender without work ends
	retryDelay        = 250 * time.Millisecond // after a failed exchange
)

// sender sends records to one member from its own goroutine. Replicator.mu guards pending, acked and closed.
type sender struct {
	r       *Replicator
	to      member.Member
	wakeup  chan struct{}
	pending map[key]bool
	acked   map[key]int // number of tokens that the peer is known to hold
	closed  bool
	stream  *mesh.Stream
}

func newSender(r *Replicator, to member.Member) *sender {
	s := &sender{r: r, to: to, wakeup: make(chan struct{}, 1), pending: make(map[key]bool), acked: make(map[key]int)}
	go s.run()
	return s
}

// enqueue marks a record for sending. The caller holds Replicator.mu.
func (s *sender) enqueue(id key) {
	s.pending[id] = true
	s.wake()
}

func (s *sender) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// close ends the sender. The caller holds Replicator.mu.
func (s *sender) close() {
	s.closed = true
	s.wake()
}

func (s *sender) run() {
	defer s.closeStream()
	idle := time.NewTimer(senderIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-s.r.ctx.Done():
			return
		case <-idle.C:
			if s.r.removeIdle(s) {
				return
			}
		case <-s.wakeup:
		}
		if !s.sendAll() {
			return
		}
		idle.Reset(senderIdleTimeout)
	}
}

// sendAll sends all pending records. It returns false if the sender was closed or the context is done.
func (s *sender) sendAll() bool {
	for {
		id, inc, closed := s.r.nextIncrement(s)
		if closed {
			return false
		}
		if inc == nil {
			return true
		}
		if s.send(id, inc) {
			continue
		}
		select {
		case <-s.r.ctx.Done():
			return false
		case <-time.After(retryDelay):
		}
	}
}

// send makes one exchange. After a failure the full record stays pending, because the peer's state is unknown.
func (s *sender) send(id key, inc *meshpb.Record) bool {
	reply, err := s.exchange(&meshpb.RecordRequest{Msg: &meshpb.RecordRequest_Put{Put: inc}})
	s.r.handleReply(s, id, inc, reply, err)
	if err != nil {
		s.closeStream()
	}
	return err == nil
}

func (s *sender) exchange(req *meshpb.RecordRequest) (*meshpb.RecordReply, error) {
	if s.stream == nil {
		ctx, cancel := context.WithTimeout(s.r.ctx, s.r.opts.Timeout)
		defer cancel()
		stream, err := s.r.opts.Node.Open(ctx, mesh.Peer{Instance: s.to.Instance, Addr: s.to.MeshAddr}, meshpb.StreamKind_STREAM_RECORD)
		if err != nil {
			return nil, err
		}
		s.stream = stream
	}
	return roundTrip(s.stream, req, time.Now().Add(s.r.opts.Timeout))
}

func roundTrip(s *mesh.Stream, req *meshpb.RecordRequest, by time.Time) (*meshpb.RecordReply, error) {
	if err := s.SetReadDeadline(by); err != nil {
		return nil, err
	}
	if err := s.Write(req); err != nil {
		return nil, err
	}
	reply := new(meshpb.RecordReply)
	return reply, s.Read(reply)
}

func (s *sender) closeStream() {
	if s.stream != nil {
		s.stream.Close()
		s.stream = nil
	}
}

// nextIncrement returns one pending increment for the peer, or nil.
func (r *Replicator) nextIncrement(s *sender) (id key, inc *meshpb.Record, closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m, ok := r.opts.View().Get(s.to.Instance); !ok || !m.AcceptsWork() {
		clear(s.pending) // the next Put chooses another peer
	}
	for id := range s.pending {
		delete(s.pending, id)
		if o := r.local[id]; o != nil {
			return id, s.increment(id, o.rec), s.closed
		}
	}
	return key{}, nil, s.closed
}

// increment returns the part of a record that the peer lacks. Constant fields are only in the first increment.
func (s *sender) increment(id key, rec *meshpb.Record) *meshpb.Record {
	from, known := s.acked[id]
	from = min(from, len(rec.Tokens))
	inc := &meshpb.Record{
		Generation:   rec.Generation,
		Workspace:    rec.Workspace,
		KeyHash:      rec.KeyHash,
		Target:       rec.Target,
		Attempt:      rec.Attempt,
		Delivered:    rec.Delivered,
		Finished:     rec.Finished,
		FinishReason: rec.FinishReason,
		Released:     rec.Released,
		TokensFrom:   uint32(from),
		Software:     rec.Software,
		Tokens:       rec.Tokens[from:],
	}
	if !known {
		copyConstantFields(inc, rec)
	}
	return inc
}

// handleReply processes the reply to an increment. A peer that lost the record, or never had its start, is sent all of it.
func (r *Replicator) handleReply(s *sender, id key, inc *meshpb.Record, reply *meshpb.RecordReply, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.local[id]
	switch {
	case o == nil:
		return
	case err == nil && !reply.GetFound():
		r.supersede(id, o)
		return
	}
	if err != nil || reply.GetNeedRequest() {
		delete(s.acked, id)
		s.pending[id] = true
		return
	}
	s.acked[id] = int(reply.GetHave())
	if int(reply.GetHave()) < int(inc.GetTokensFrom())+len(inc.GetTokens()) {
		s.pending[id] = true
	}
}

// removeIdle removes a sender without work.
func (r *Replicator) removeIdle(s *sender) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(s.pending) > 0 {
		return false
	}
	if r.senders[s.to.Instance] == s {
		delete(r.senders, s.to.Instance)
	}
	return true
}
