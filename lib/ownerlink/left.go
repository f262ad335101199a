package ownerlink

import (
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/ownerpb"
)

// TellLeft tells others of a target that has said in an answer that it leaves: its owner, which tells all. They would each send it a
// request before they hear it from the target.
func (l *Link) TellLeft(t fleet.Info) {
	left := &ownerpb.Left{Target: t.ID, Born: t.Born}
	s := l.layout.Load().Owning(t)
	if s == nil {
		return
	}
	if to, other := l.otherOwner(time.Now(), s); other {
		d := l.leftTold(left)
		d.GetLeftTold().PassOn = true
		l.send(to.Addr, d)
		return
	}
	l.sendAll(l.leftTold(left))
}

func (l *Link) leftTold(left ...*ownerpb.Left) *ownerpb.Datagram {
	d := l.own()
	d.Body = &ownerpb.Datagram_LeftTold{LeftTold: &ownerpb.LeftTold{Left: left}}
	return d
}

// handleLeft takes in what another instance saw, and tells all if it is asked to.
func (l *Link) handleLeft(body *ownerpb.LeftTold) {
	for _, e := range body.GetLeft() {
		if l.Left(e.Target, e.Born) && body.PassOn {
			l.sendAll(l.leftTold(e))
		}
	}
}
