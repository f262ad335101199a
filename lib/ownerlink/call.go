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
	l     *Link
	id    uint64
	shard *owner.Shard
	body  *ownerpb.Datagram
	got   chan *ownerpb.Datagram

	start  time.Time
	waited bool // an owner said that the ask waits
}

// answersKept is the buffer of a call: answers to its first sends may all come late.
const answersKept = 4

func (l *Link) newCall(s *owner.Shard) *call {
	c := &call{l: l, shard: s, body: l.own(), got: make(chan *ownerpb.Datagram, answersKept), start: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	c.id = l.lastID
	l.calls[c.id] = c.got
	return c
}

func (c *call) close() {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	delete(c.l.calls, c.id)
}

// do asks one candidate after another until one answers.
func (c *call) do(ctx context.Context) (*ownerpb.Datagram, error) {
	for _, to := range c.l.Coordinator.QueryOrder(time.Now(), c.shard) {
		d := c.try(ctx, to)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if d != nil {
			return d, nil
		}
		c.l.Coordinator.Suspect(time.Now(), to.Name)
	}
	alone.Inc()
	return nil, ErrNoOwner
}

// try asks one candidate; nil: it does not answer. One that says that the ask waits is asked again now and then.
func (c *call) try(ctx context.Context, to owner.Instance) *ownerpb.Datagram {
	pause := tryTimeout
	t := time.NewTimer(pause)
	defer t.Stop()
	for left := tries; left > 0; left-- {
		c.sendTo(to)
		for again := false; !again; {
			select {
			case <-ctx.Done():
				return nil
			case <-t.C:
				again = true
			case d := <-c.got:
				if !waits(d) {
					return d
				}
				c.waited = true
				left, pause = tries, waitAgain
			}
		}
		t.Reset(pause)
	}
	return nil
}

func waits(d *ownerpb.Datagram) bool {
	a := d.GetAnswer()
	return a != nil && a.Action == uint32(admit.Wait)
}

// observe counts how long the answer took.
func (c *call) observe() {
	h := answeredIn
	if c.waited {
		h = answeredLate
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
	got := l.calls[id]
	l.mu.Unlock()
	if got == nil {
		return false
	}
	select {
	case got <- d:
	default:
	}
	return true
}

// Place asks for an engine for a run of a service. ErrAlone says that this instance decides by itself.
func (l *Link) Place(ctx context.Context, a owner.PlaceRequest) (owner.Answer, error) {
	s := l.home(&a.Stream.Need)
	if s == nil {
		return owner.Answer{}, ErrNoOwner
	}
	c := l.newCall(s)
	defer c.close()
	a.ID, a.Describe = c.id, l.HasPartialList()
	c.body.Body = &ownerpb.Datagram_Ask{Ask: encodeAsk(&a, s.Key, time.Now())}
	d, err := c.do(ctx)
	if err != nil {
		return owner.Answer{}, err
	}
	c.observe()
	answer := decodeAnswer(d.GetAnswer(), s.Service)
	l.granted(answer.TargetInfo, answer.BackupInfo)
	return answer, nil
}

// granted hands on what owners say of targets that this instance may not know.
func (l *Link) granted(targets ...fleet.Info) {
	for _, t := range targets {
		if t.Addr != "" && l.HasPartialList() {
			l.OnGranted(t)
		}
	}
}

// home returns the shard that this instance asks first for a request: one of its own failure domain, unless the request may not go there.
func (l *Link) home(need *fleet.Need) *owner.Shard {
	layout := l.layout.Load()
	domain, own, most := l.Self.Domain, rendezvous.Hash(l.Self.Name), uint64(0)
	if !l.Fleet.DomainAllowed(domain, need.Regions) {
		for _, other := range layout.Domains(need.Service) {
			if rank := rendezvous.Rank(own, rendezvous.Hash(other)); rank > most && l.Fleet.DomainAllowed(other, need.Regions) {
				domain, most = other, rank
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
	var failed error
	for s, list := range left {
		r, ok := reports[s.Key]
		if !ok {
			continue
		}
		some, err := l.planOf(ctx, s, list, &r)
		steps = append(steps, some...)
		failed = errors.Join(failed, err)
	}
	return steps, failed
}

func (l *Link) planOf(ctx context.Context, s *owner.Shard, left []*ownerpb.Left, r *owner.Report) ([]moveplan.Step, error) {
	c := l.newCall(s)
	defer c.close()
	ask := &ownerpb.MovesAsk{Id: c.id, Left: left, Report: l.encodeReport(r, "")}
	c.body.Body = &ownerpb.Datagram_MovesAsk{MovesAsk: ask}
	fit(c.body, ask.Report)
	d, err := c.do(ctx)
	if err != nil {
		return nil, err
	}
	for _, m := range d.GetMoves().GetMoves() {
		l.granted(decodeTarget(m.To, s.Service, m.ToInfo))
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
	d, err := c.do(ctx)
	if err != nil || !d.GetHeard().GetKnown() {
		return time.Time{}, err
	}
	return time.Now().Add(-time.Duration(d.GetHeard().AgoMs) * time.Millisecond), nil
}
