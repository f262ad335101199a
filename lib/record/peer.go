package record

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// Times of a peer's sender.
const (
	idlePeer   = 30 * time.Second       // a sender without work ends
	retryPause = 250 * time.Millisecond // after a failed exchange
)

// peer sends records to one member on its own goroutine. Keeper.mu guards wanted, have and closed.
type peer struct {
	k      *Replicator
	to     member.Member
	kick   chan struct{}
	wanted map[key]bool
	have   map[key]int // tokens that the peer is known to hold
	closed bool
	stream *mesh.Stream
}

func newPeer(k *Replicator, to member.Member) *peer {
	p := &peer{k: k, to: to, kick: make(chan struct{}, 1), wanted: make(map[key]bool), have: make(map[key]int)}
	go p.run()
	return p
}

// want marks a record to be sent. The caller holds Keeper.mu.
func (p *peer) want(id key) {
	p.wanted[id] = true
	p.wake()
}

func (p *peer) wake() {
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

// close ends the sender. The caller holds Keeper.mu.
func (p *peer) close() {
	p.closed = true
	p.wake()
}

func (p *peer) run() {
	defer p.hangUp()
	idle := time.NewTimer(idlePeer)
	defer idle.Stop()
	for {
		select {
		case <-p.k.ctx.Done():
			return
		case <-idle.C:
			if p.k.forgetIdle(p) {
				return
			}
		case <-p.kick:
		}
		if !p.sendAll() {
			return
		}
		idle.Reset(idlePeer)
	}
}

// sendAll sends what is wanted; false: the peer was replaced.
func (p *peer) sendAll() bool {
	for {
		id, inc, closed := p.k.next(p)
		if closed {
			return false
		}
		if inc == nil {
			return true
		}
		if p.send(id, inc) {
			continue
		}
		select {
		case <-p.k.ctx.Done():
			return false
		case <-time.After(retryPause):
		}
	}
}

// send makes one exchange. After a failure the record stays wanted, whole: nothing is known of what the peer holds.
func (p *peer) send(id key, inc *meshpb.Record) bool {
	reply, err := p.exchange(&meshpb.RecordRequest{Msg: &meshpb.RecordRequest_Put{Put: inc}})
	p.k.sent(p, id, inc, reply, err)
	if err != nil {
		p.hangUp()
	}
	return err == nil
}

func (p *peer) exchange(req *meshpb.RecordRequest) (*meshpb.RecordReply, error) {
	if p.stream == nil {
		ctx, cancel := context.WithTimeout(p.k.ctx, p.k.opts.Timeout)
		defer cancel()
		s, err := p.k.opts.Node.Open(ctx, mesh.Peer{Instance: p.to.Instance, Addr: p.to.MeshAddr}, meshpb.StreamKind_STREAM_RECORD)
		if err != nil {
			return nil, err
		}
		p.stream = s
	}
	return roundTrip(p.stream, req, time.Now().Add(p.k.opts.Timeout))
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

func (p *peer) hangUp() {
	if p.stream != nil {
		p.stream.Close()
		p.stream = nil
	}
}

// next returns one wanted increment for the peer, or nil.
func (k *Replicator) next(p *peer) (id key, inc *meshpb.Record, closed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if m, ok := k.opts.View().Get(p.to.Instance); !ok || !m.AcceptsWork() {
		clear(p.wanted) // the next Put chooses another peer
	}
	for id := range p.wanted {
		delete(p.wanted, id)
		if o := k.own[id]; o != nil {
			return id, p.increment(id, o.rec), p.closed
		}
	}
	return key{}, nil, p.closed
}

// increment is what the peer lacks of a record. What stays the same goes only with the first.
func (p *peer) increment(id key, rec *meshpb.Record) *meshpb.Record {
	from, known := p.have[id]
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
		Tokens:       rec.Tokens[from:],
	}
	if !known {
		fill(inc, rec)
	}
	return inc
}

// sent notes the answer to an increment. A peer that lost the record, or never had its start, is sent the whole.
func (k *Replicator) sent(p *peer, id key, inc *meshpb.Record, reply *meshpb.RecordReply, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	o := k.own[id]
	switch {
	case o == nil:
		return
	case err == nil && !reply.GetFound():
		k.lose(id, o)
		return
	}
	if err != nil || reply.GetNeedRequest() {
		delete(p.have, id)
		p.wanted[id] = true
		return
	}
	p.have[id] = int(reply.GetHave())
	if int(reply.GetHave()) < int(inc.GetTokensFrom())+len(inc.GetTokens()) {
		p.wanted[id] = true
	}
}

// forgetIdle drops a sender without work.
func (k *Replicator) forgetIdle(p *peer) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(p.wanted) > 0 {
		return false
	}
	if k.peers[p.to.Instance] == p {
		delete(k.peers, p.to.Instance)
	}
	return true
}
