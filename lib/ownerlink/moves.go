package ownerlink

import (
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/ownerpb"
)

// plan is one of moves that is about to be made, with those who ask for it.
type plan struct {
	shard   *owner.Shard
	engines []fleet.Info
	asks    []*ownerpb.Datagram
}

// PlanLeaving plans the moves of the runs on engines that leave, where this instance may be asked for them. Engines that leave
// with the first, some milliseconds later, come into the same plan: their runs share the links of the same destinations.
func (l *Link) PlanLeaving(engines []fleet.Info) {
	layout := l.layout.Load()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range engines {
		s := layout.ShardOf(e)
		if s == nil || !s.IsCandidate(l.Self.Name) {
			continue
		}
		p := l.plans[s.Key]
		if p == nil {
			p = &plan{shard: s}
			l.plans[s.Key] = p
			time.AfterFunc(planWait, func() { l.makePlan(p) })
		}
		p.engines = append(p.engines, e)
	}
}

func (l *Link) makePlan(p *plan) {
	if link, ok := l.MoveLink(p.shard.Service); ok {
		for _, r := range l.reports() {
			l.Coordinator.Report(time.Now(), r)
		}
		l.mu.Lock()
		engines := p.engines
		l.mu.Unlock()
		l.Coordinator.Plan(time.Now(), p.shard, engines, link)
		l.tellLeaving(p.shard, engines)
	}
	l.mu.Lock()
	if l.plans[p.shard.Key] == p {
		delete(l.plans, p.shard.Key)
	}
	asks := p.asks
	l.mu.Unlock()
	for _, d := range asks {
		l.tellMoves(p.shard, d)
	}
}

// tellLeaving tells the instances that have runs on engines which leave. While the list of targets is away, they have it
// from nobody else.
func (l *Link) tellLeaving(s *owner.Shard, engines []fleet.Info) {
	var left []*ownerpb.Left
	ids := make(map[string]bool, len(engines))
	for _, e := range engines {
		if l.Fleet.IsPresumedGone(e.ID) {
			continue // others judge the missing entry by themselves, and would take this for the engine's own word
		}
		left = append(left, &ownerpb.Left{Target: e.ID, Born: e.Born})
		ids[e.ID] = true
	}
	if len(left) == 0 {
		return
	}
	d := l.leftTold(left...)
	for _, addr := range l.Coordinator.Users(s.Key, ids) {
		l.send(addr, d)
	}
}

func (l *Link) handleMovesAsk(d *ownerpb.Datagram, a *ownerpb.MovesAsk) {
	if a.Report == nil {
		l.tellBad("moves_ask", errNoBody)
		return
	}
	now := time.Now()
	s := l.layout.Load().Shard(a.Report.Shard)
	if s == nil {
		l.tellMoves(&owner.Shard{}, d)
		return
	}
	if to, ok := l.otherOwner(now, s); ok && !a.PassedOn {
		l.send(to.Addr, &ownerpb.Datagram{
			Instance: d.Instance, Incarnation: d.Incarnation, Addr: d.Addr,
			Body: &ownerpb.Datagram_MovesAsk{MovesAsk: &ownerpb.MovesAsk{Id: a.Id, Left: a.Left, Report: a.Report, PassedOn: true}},
		})
		return
	}
	l.Coordinator.Report(now, decodeReport(d, a.Report))
	for _, e := range a.Left {
		l.OnLeft(e.Target, e.Born)
	}
	l.mu.Lock()
	p := l.plans[s.Key]
	if p != nil {
		p.asks = append(p.asks, d)
	}
	l.mu.Unlock()
	if p == nil {
		l.tellMoves(s, d)
	}
}

func (l *Link) tellMoves(s *owner.Shard, d *ownerpb.Datagram) {
	a := d.GetMovesAsk()
	runs := make([]uint64, len(a.Report.Runs))
	for i, r := range a.Report.Runs {
		runs[i] = r.Id
	}
	out := l.own()
	moves := encodeMoves(l.Coordinator.Moves(time.Now(), s, d.Instance, runs))
	if a.Report.Describe {
		for _, m := range moves {
			to, _ := l.Fleet.Info(m.To)
			m.ToInfo = encodeTarget(&to)
		}
	}
	out.Body = &ownerpb.Datagram_Moves{Moves: &ownerpb.Moves{Id: a.Id, Moves: moves}}
	l.reply(d.Instance, d.Addr, a.Id, out)
}
