package ownerlink

import (
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/ownerpb"
)

// plan is a plan of moves in preparation, with the requests that wait for it.
type plan struct {
	shard    *owner.Shard
	engines  []fleet.Info
	requests []*ownerpb.Datagram
}

// PlanLeaving plans the moves of the runs on engines that leave, for shards that this instance is a candidate for. Engines that leave
// some milliseconds after the first are included in the same plan: their runs share the links of the same destinations.
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
			time.AfterFunc(planDelay, func() { l.makePlan(p) })
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
		l.notifyUsers(p.shard, engines)
	}
	l.mu.Lock()
	if l.plans[p.shard.Key] == p {
		delete(l.plans, p.shard.Key)
	}
	requests := p.requests
	l.mu.Unlock()
	for _, d := range requests {
		l.replyMoves(p.shard, d)
	}
}

// notifyUsers informs the instances that have runs on engines that leave. While the target list is unavailable, they learn of it in
// no other way.
func (l *Link) notifyUsers(s *owner.Shard, engines []fleet.Info) {
	var left []*ownerpb.Left
	ids := make(map[string]bool, len(engines))
	for _, e := range engines {
		if t, ok := l.Fleet.Left(e.ID); ok && t.Cause != fleet.Missing {
			left = append(left, encodeLeft(t))
			ids[e.ID] = true
		}
	}
	if len(left) == 0 {
		return
	}
	d := l.newLeftDatagram(left...)
	for _, addr := range l.Coordinator.Users(s.Key, ids) {
		l.send(addr, d)
	}
}

func (l *Link) handleMovesRequest(d *ownerpb.Datagram, req *ownerpb.MovesAsk) {
	if req.Report == nil {
		l.reportBad("moves_ask", errMalformed)
		return
	}
	now := time.Now()
	s := l.layout.Load().Shard(req.Report.Shard)
	if s == nil {
		l.replyMoves(&owner.Shard{}, d)
		return
	}
	if to, ok := l.otherOwner(now, s); ok && !req.PassedOn {
		l.send(to.Addr, &ownerpb.Datagram{
			Instance: d.Instance, Incarnation: d.Incarnation, Addr: d.Addr,
			Body: &ownerpb.Datagram_MovesAsk{MovesAsk: &ownerpb.MovesAsk{Id: req.Id, Left: req.Left, Report: req.Report, PassedOn: true}},
		})
		return
	}
	l.Coordinator.Report(now, decodeReport(d, req.Report))
	for _, e := range req.Left {
		l.OnLeft(decodeLeft(e))
	}
	l.mu.Lock()
	p := l.plans[s.Key]
	if p != nil {
		p.requests = append(p.requests, d)
	}
	l.mu.Unlock()
	if p == nil {
		l.replyMoves(s, d)
	}
}

func (l *Link) replyMoves(s *owner.Shard, d *ownerpb.Datagram) {
	req := d.GetMovesAsk()
	runs := make([]uint64, len(req.Report.Runs))
	for i, r := range req.Report.Runs {
		runs[i] = r.Id
	}
	out := l.newDatagram()
	moves := encodeMoves(l.Coordinator.Moves(time.Now(), s, d.Instance, runs))
	if req.Report.Describe {
		for _, m := range moves {
			to, _ := l.Fleet.Info(m.To)
			m.ToInfo = encodeTarget(&to)
		}
	}
	out.Body = &ownerpb.Datagram_Moves{Moves: &ownerpb.Moves{Id: req.Id, Moves: moves}}
	l.reply(d.Instance, d.Addr, req.Id, out)
}
