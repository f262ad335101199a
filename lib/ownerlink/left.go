package ownerlink

import (
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/ownerpb"
)

// NotifyLeaving tells others of a target that has said in an answer that it leaves: its owner, which tells all. They would each send it a
// request before they hear it from the target.
func (l *Link) NotifyLeaving(t fleet.Info) {
	left := &ownerpb.Left{Target: t.ID, Born: t.Born}
	s := l.layout.Load().PermitShard(t)
	if s == nil {
		return
	}
	if to, other := l.otherOwner(time.Now(), s); other {
		d := l.leftTold(left)
		d.GetLeftTold().PassOn = true
		l.send(to.Addr, d)
		return
	}
	l.tellAll(l.leftTold(left))
}

func (l *Link) leftTold(left ...*ownerpb.Left) *ownerpb.Datagram {
	d := l.own()
	d.Body = &ownerpb.Datagram_LeftTold{LeftTold: &ownerpb.LeftTold{Left: left}}
	return d
}

// handleReport takes in what an instance has on engines, and tells it of those that have left if it may not hear that from the list. What
// it was told before may have been lost.
func (l *Link) handleReport(d *ownerpb.Datagram, r *ownerpb.Report) {
	l.Coordinator.Report(time.Now(), decodeReport(d, r))
	if !r.Describe {
		return
	}
	var left []*ownerpb.Left
	told := make(map[string]bool)
	look := func(target string) {
		t, known := l.Fleet.Info(target)
		if known && !told[t.ID] && l.Fleet.IsLeaving(t.ID) && !l.Fleet.IsPresumedGone(t.ID) {
			told[t.ID] = true
			left = append(left, &ownerpb.Left{Target: t.ID, Born: t.Born})
		}
	}
	for _, run := range r.Runs {
		look(run.Target)
	}
	for _, held := range r.Held {
		look(held.Target)
	}
	if len(left) > 0 {
		l.send(d.Addr, l.leftTold(left...))
	}
}

// NotifyRestarted tells the instances that have runs on engines that these have started again, which ends the runs.
func (l *Link) NotifyRestarted(engines []fleet.Info) {
	layout := l.layout.Load()
	for _, e := range engines {
		s := layout.ShardOf(e)
		if s == nil || !s.IsCandidate(l.Self.Name) {
			continue
		}
		d := l.leftTold(&ownerpb.Left{Target: e.ID, Born: e.Born, Lives: true})
		for _, addr := range l.Coordinator.Users(s.Key, map[string]bool{e.ID: true}) {
			l.send(addr, d)
		}
	}
}

// handleLeft takes in what another instance saw, and tells all if it is asked to.
func (l *Link) handleLeft(body *ownerpb.LeftTold) {
	for _, e := range body.GetLeft() {
		if e.Lives {
			l.OnRestarted(e.Target, e.Born)
			continue
		}
		if l.OnLeft(e.Target, e.Born) && body.PassOn {
			l.tellAll(l.leftTold(e))
		}
	}
}
