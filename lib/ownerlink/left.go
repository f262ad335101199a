package ownerlink

import (
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/ownerpb"
)

// NotifyLeaving reports a target that has announced in an answer that it leaves to its owner, which informs all instances. Otherwise
// each of them would send it a request before receiving the announcement from the target.
func (l *Link) NotifyLeaving(t fleet.Info) {
	left := &ownerpb.Left{Target: t.ID, Born: t.Born}
	s := l.layout.Load().PermitShard(t)
	if s == nil {
		return
	}
	if to, other := l.otherOwner(time.Now(), s); other {
		d := l.newLeftDatagram(left)
		d.GetLeftTold().PassOn = true
		l.send(to.Addr, d)
		return
	}
	l.broadcast(l.newLeftDatagram(left))
}

func (l *Link) newLeftDatagram(left ...*ownerpb.Left) *ownerpb.Datagram {
	d := l.newDatagram()
	d.Body = &ownerpb.Datagram_LeftTold{LeftTold: &ownerpb.LeftTold{Left: left}}
	return d
}

// handleReport applies an instance's report, and informs the instance of targets that left if its target list is partial. An earlier
// message may have been lost.
func (l *Link) handleReport(d *ownerpb.Datagram, r *ownerpb.Report) {
	l.Coordinator.Report(time.Now(), decodeReport(d, r))
	if !r.Describe {
		return
	}
	var left []*ownerpb.Left
	named := make(map[string]bool)
	addIfLeft := func(target string) {
		t, known := l.Fleet.Info(target)
		if known && !named[t.ID] && l.Fleet.IsLeaving(t.ID) && !l.Fleet.IsPresumedGone(t.ID) {
			named[t.ID] = true
			left = append(left, &ownerpb.Left{Target: t.ID, Born: t.Born})
		}
	}
	for _, run := range r.Runs {
		addIfLeft(run.Target)
	}
	for _, held := range r.Held {
		addIfLeft(held.Target)
	}
	if len(left) > 0 {
		l.send(d.Addr, l.newLeftDatagram(left...))
	}
}

// NotifyRestarted informs the instances that have runs on engines that these have restarted, which ends the runs.
func (l *Link) NotifyRestarted(engines []fleet.Info) {
	layout := l.layout.Load()
	for _, e := range engines {
		s := layout.ShardOf(e)
		if s == nil || !s.IsCandidate(l.Self.Name) {
			continue
		}
		d := l.newLeftDatagram(&ownerpb.Left{Target: e.ID, Born: e.Born, Lives: true})
		for _, addr := range l.Coordinator.Users(s.Key, map[string]bool{e.ID: true}) {
			l.send(addr, d)
		}
	}
}

// handleLeft applies another instance's observation, and forwards it to all instances if requested.
func (l *Link) handleLeft(body *ownerpb.LeftTold) {
	for _, e := range body.GetLeft() {
		if e.Lives {
			l.OnRestarted(e.Target, e.Born)
			continue
		}
		if l.OnLeft(e.Target, e.Born) && body.PassOn {
			l.broadcast(l.newLeftDatagram(e))
		}
	}
}
