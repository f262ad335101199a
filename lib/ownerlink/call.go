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

// call is a question to the owner of a shard.
type call struct {
	l       *Link
	id      uint64
	shard   *owner.Shard
	body    *ownerpb.Datagram
	replies chan *ownerpb.Datagram

	start  time.Time
	waited bool // an owner said that the ask waits
}

// replyBuffer is the buffer of a call: answers to its first sends may all come late.
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

// query asks one candidate after another until one answers.
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

// queryOne asks one candidate; nil: it does not answer. One that says that the ask waits is asked again now and then.
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

// observeLatency counts how long the answer took.
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

// deliver hands an answer to the call that it is for.
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

// Place asks for an engine for a run of a service. ErrAlone says that this instance decides by itself.
func (l *Link) Place(ctx context.Context, req owner.PlaceRequest) (owner.Answer, error) {
	s := l.homeShard(&req.Stream.Need)
	if s == nil {
		return owner.Answer{}, ErrNoOwner
	}
	c := l.newCall(s)
	defer c.close()
	req.ID, req.Describe = c.id, l.HasPartialList()
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

// learnTargets hands on what owners say of targets that this instance may not know.
func (l *Link) learnTargets(targets ...fleet.Info) {
	for _, t := range targets {
		if t.Addr != "" && l.HasPartialList() {
			l.OnGranted(t)
		}
	}
}

// homeShard returns the shard that this instance asks first for a request: one of its own failure domain, unless the request may not go there.
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

// RequestMoves asks where this instance's runs go that are on engines which leave. Runs of which nothing is planned are left out;
// an error says that some owner does not answer.
func (l *Link) RequestMoves(ctx context.Context, engines []fleet.Info) ([]moveplan.Step, error) {
	layout := l.layout.Load()
	left := make(map[*owner.Shard][]*ownerpb.Left)
	for _, e := range engines {
		if s := layout.ShardOf(e); s != nil {
			left[s] = append(left[s], &ownerpb.Left{Target: e.ID, Born: e.Born})
		}
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

// LastContact asks when any instance last heard an engine; the zero time: nobody has.
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
