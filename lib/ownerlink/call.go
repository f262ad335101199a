package ownerlink

import (
	"context"
	"errors"
	"time"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/moveplan"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/ownerpb"
	"anvilwick.example/anvilwick/lib/rendezvous"
)

// call is a query to the owner of a shard.
type call struct {
	l       *Link
	id      uint64
	shard   *owner.Shard
	body    *ownerpb.Datagram
	replies chan *ownerpb.Datagram

	start  time.Time
	waited bool // an owner answered that the request waits
}

// replyBuffer is the capacity of a call's channel: answers to its first datagrams may all arrive late.
const replyBuffer = 4

func (l *Link) newCall(s *owner.Shard) *call {
	c := &call{l: l, shard: s, body: l.newDatagram(), replies: make(chan *ownerpb.Datagram, replyBuffer), start: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	c.id = l.lastID
	l.calls[c.id] = c.replies
	return c
}

func (c *call) close() {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	delete(c.l.calls, c.id)
}

// query queries the candidates in turn until one answers.
func (c *call) query(ctx context.Context) (*ownerpb.Datagram, error) {
	for _, to := range c.l.Coordinator.QueryOrder(time.Now(), c.shard) {
		d := c.queryOne(ctx, to)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if d != nil {
			return d, nil
		}
		c.l.Coordinator.Suspect(time.Now(), to.Name)
	}
	unanswered.Inc()
	return nil, ErrNoOwner
}

// queryOne queries one candidate; nil: it does not answer. While it answers that the request waits, the query is repeated at a longer
// interval.
func (c *call) queryOne(ctx context.Context, to owner.Instance) *ownerpb.Datagram {
	pause := answerTimeout
	t := time.NewTimer(pause)
	defer t.Stop()
	for triesLeft := maxTries; triesLeft > 0; triesLeft-- {
		c.sendTo(to)
		for resend := false; !resend; {
			select {
			case <-ctx.Done():
				return nil
			case <-t.C:
				resend = true
			case d := <-c.replies:
				if !isWaiting(d) {
					return d
				}
				c.waited = true
				triesLeft, pause = maxTries, waitingResend
			}
		}
		t.Reset(pause)
	}
	return nil
}

func isWaiting(d *ownerpb.Datagram) bool {
	a := d.GetAnswer()
	return a != nil && a.Action == uint32(admit.Wait)
}

// observeLatency records how long the answer took.
func (c *call) observeLatency() {
	h := answerTime
	if c.waited {
		h = waitedAnswerTime
	}
	h.Update(time.Since(c.start).Seconds())
}

func (c *call) sendTo(to owner.Instance) {
	if to.Name == c.l.Self.Name {
		c.l.handle(c.body)
		return
	}
	c.l.send(to.Addr, c.body)
}

// deliver passes an answer to the call that it belongs to.
func (l *Link) deliver(id uint64, d *ownerpb.Datagram) bool {
	l.mu.Lock()
	replies := l.calls[id]
	l.mu.Unlock()
	if replies == nil {
		return false
	}
	select {
	case replies <- d:
	default:
	}
	return true
}

// Place requests an engine for a run of a service. ErrNoOwner means that this instance has to decide alone.
func (l *Link) Place(ctx context.Context, req owner.PlaceRequest) (owner.Answer, error) {
	s := l.homeShard(&req.Stream.Need)
	if s == nil {
		return owner.Answer{}, ErrNoOwner
	}
	c := l.newCall(s)
	defer c.close()
	req.ID, req.Describe = c.id, req.Describe || l.HasPartialList()
	c.body.Body = &ownerpb.Datagram_Ask{Ask: encodePlaceRequest(&req, s.Key, time.Now())}
	d, err := c.query(ctx)
	if err != nil {
		return owner.Answer{}, err
	}
	c.observeLatency()
	answer := decodeAnswer(d.GetAnswer(), s.Service)
	l.learnTargets(answer.TargetInfo, answer.BackupInfo)
	return answer, nil
}

// learnTargets passes on the entries with which owners describe targets that this instance may not know.
func (l *Link) learnTargets(targets ...fleet.Info) {
	for _, t := range targets {
		if t.Addr != "" {
			l.OnGranted(t)
		}
	}
}

// homeShard returns the shard that this instance queries first for a request: one of its own failure domain, unless the request may not
// run there.
func (l *Link) homeShard(need *fleet.Need) *owner.Shard {
	layout := l.layout.Load()
	domain, selfHash, bestRank := l.Self.Domain, rendezvous.Hash(l.Self.Name), uint64(0)
	if !l.Fleet.DomainAllowed(domain, need.Regions) {
		for _, other := range layout.Domains(need.Service) {
			if rank := rendezvous.Rank(selfHash, rendezvous.Hash(other)); rank > bestRank && l.Fleet.DomainAllowed(other, need.Regions) {
				domain, bestRank = other, rank
			}
		}
	}
	return layout.HomeShard(need.Service, domain, l.Self.Name)
}

// RequestMoves requests the planned moves of this instance's runs on engines that leave. Runs without a plan are left out;
// an error means that some owner does not answer.
func (l *Link) RequestMoves(ctx context.Context, engines []fleet.Info) ([]moveplan.Step, error) {
	layout := l.layout.Load()
	left := make(map[*owner.Shard][]*ownerpb.Left)
	for _, e := range engines {
		s := layout.ShardOf(e)
		if s == nil {
			continue
		}
		notices := left[s]
		if t, ok := l.Fleet.Left(e.ID); ok {
			notices = append(notices, encodeLeft(t))
		}
		left[s] = notices // also without any: the owner may have a plan
	}
	reports := l.reports()
	var steps []moveplan.Step
	var errs error
	for s, list := range left {
		r, ok := reports[s.Key]
		if !ok {
			continue
		}
		planned, err := l.requestMovesOf(ctx, s, list, &r)
		steps = append(steps, planned...)
		errs = errors.Join(errs, err)
	}
	return steps, errs
}

func (l *Link) requestMovesOf(ctx context.Context, s *owner.Shard, left []*ownerpb.Left, r *owner.Report) ([]moveplan.Step, error) {
	c := l.newCall(s)
	defer c.close()
	req := &ownerpb.MovesAsk{Id: c.id, Left: left, Report: l.encodeReport(r, "")}
	c.body.Body = &ownerpb.Datagram_MovesAsk{MovesAsk: req}
	truncateReport(c.body, req.Report)
	d, err := c.query(ctx)
	if err != nil {
		return nil, err
	}
	for _, m := range d.GetMoves().GetMoves() {
		l.learnTargets(decodeTarget(m.To, s.Service, m.ToInfo))
	}
	return decodeMoves(d.GetMoves()), nil
}

// LastContact returns when any instance last received something from an engine; the zero time: none has.
func (l *Link) LastContact(ctx context.Context, engine string) (time.Time, error) {
	s := l.shardOf(engine)
	if s == nil {
		return time.Time{}, ErrNoOwner
	}
	c := l.newCall(s)
	defer c.close()
	c.body.Body = &ownerpb.Datagram_HeardAsk{HeardAsk: &ownerpb.HeardAsk{Id: c.id, Target: engine}}
	d, err := c.query(ctx)
	if err != nil || !d.GetHeard().GetKnown() {
		return time.Time{}, err
	}
	return time.Now().Add(-time.Duration(d.GetHeard().AgoMs) * time.Millisecond), nil
}
