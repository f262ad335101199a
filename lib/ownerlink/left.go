package ownerlink

import (
	"time"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/ownerpb"
)

// NotifyLeaving reports a target that has announced in an answer that it leaves to its owner, which informs all instances. Otherwise
// each of them would send it a request before receiving the announcement from the target.
func (l *Link) NotifyLeaving(t fleet.Info) {
	left := encodeLeft(fleet.LeftTarget{ID: t.ID, Born: t.Born, Cause: fleet.Announced})
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
		t, ok := l.Fleet.Left(target)
		if ok && t.Cause != fleet.Missing && !named[t.ID] {
			named[t.ID] = true
			left = append(left, encodeLeft(t))
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

// BroadcastRestarted informs all instances that engines have restarted, as this instance has learnt before the list said so. Those that still took an
// engine for its earlier incarnation would continue streams there, at another software version.
func (l *Link) BroadcastRestarted(engines []fleet.Info) {
	for _, e := range engines {
		l.broadcast(l.newLeftDatagram(&ownerpb.Left{Target: e.ID, Born: e.Born, Lives: true}))
	}
}

func encodeLeft(t fleet.LeftTarget) *ownerpb.Left {
	return &ownerpb.Left{
		Target: t.ID, Born: t.Born, Presumed: t.Cause == fleet.Delisted || t.Cause == fleet.Missing,
		ListEra: t.ListedOut.Era, ListVersion: t.ListedOut.Version,
	}
}

func decodeLeft(e *ownerpb.Left) fleet.LeftTarget {
	cause := fleet.Announced
	if e.Presumed {
		cause = fleet.Delisted
	}
	return fleet.LeftTarget{
		ID: e.Target, Born: e.Born, Cause: cause, ListedOut: feed.Position{Era: e.ListEra, Version: e.ListVersion},
	}
}

// handleLeft applies another instance's observation, and forwards it to all instances if requested.
func (l *Link) handleLeft(body *ownerpb.LeftTold) {
	for _, e := range body.GetLeft() {
		if e.Lives {
			l.OnRestarted(e.Target, e.Born)
			continue
		}
		if l.OnLeft(decodeLeft(e)) && body.PassOn {
			l.broadcast(l.newLeftDatagram(e))
		}
	}
}
