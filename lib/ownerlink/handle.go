package ownerlink

import (
	"context"
	"errors"
	"time"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/ownerpb"
)

var errNoBody = errors.New("ownerlink: datagram of an unknown kind")

func (l *Link) handle(d *ownerpb.Datagram) {
	if d.Instance == "" {
		l.tellBad("anonymous", errNoBody)
		return
	}
	switch body := d.Body.(type) {
	case *ownerpb.Datagram_Ask:
		l.handleAsk(d, body.Ask)
	case *ownerpb.Datagram_Answer:
		l.handleAnswer(d, body.Answer)
	case *ownerpb.Datagram_Report:
		l.handleReport(d, body.Report)
	case *ownerpb.Datagram_Beat:
		l.handleBeat(d, body.Beat)
	case *ownerpb.Datagram_Blames:
		l.OnBlames(body.Blames.Blames)
	case *ownerpb.Datagram_LeftTold:
		l.handleLeft(body.LeftTold)
	case *ownerpb.Datagram_MovesAsk:
		l.handleMovesAsk(d, body.MovesAsk)
	case *ownerpb.Datagram_Moves:
		l.handleOther(d, body.Moves.Id)
	case *ownerpb.Datagram_HeardAsk:
		l.handleHeardAsk(d, body.HeardAsk)
	case *ownerpb.Datagram_Heard:
		l.handleOther(d, body.Heard.Id)
	case *ownerpb.Datagram_Counts:
		l.handleCounts(d, body.Counts)
	case *ownerpb.Datagram_Suspects:
		l.handleSuspects(body.Suspects)
	case *ownerpb.Datagram_PermitAsk:
		l.handlePermitAsk(d, body.PermitAsk)
	case *ownerpb.Datagram_Permit:
		l.handleOther(d, body.Permit.Id)
	case *ownerpb.Datagram_Limits:
		l.handleLimits(body.Limits)
	default:
		l.tellBad("unknown", errNoBody)
	}
}

// handleAsk decides an ask for a shard that this instance owns, and passes on one for another's.
func (l *Link) handleAsk(d *ownerpb.Datagram, a *ownerpb.Ask) {
	layout := l.layout.Load()
	s := layout.Shard(a.Shard)
	if s == nil {
		// The asker's list of targets is a little older or newer.
		s = layout.HomeShard(a.Service, l.Self.Domain, d.Instance)
	}
	now := time.Now()
	if s == nil {
		l.answer(&owner.Answer{Key: owner.Key{Instance: d.Instance, ID: a.Id}, Addr: d.Addr, Action: admit.Fallback})
		return
	}
	l.settle(l.Coordinator.Handle(now, s, decodeAsk(d, now)))
}

// settle answers an ask or passes it on.
func (l *Link) settle(r owner.Disposition) {
	if r.Forward {
		l.passOn(r)
		return
	}
	if r.Answer.Action == admit.Wait {
		l.waiting()
	}
	l.answer(&r.Answer)
}

// otherOwner returns the instance that decides for a shard, if it is another.
func (l *Link) otherOwner(now time.Time, s *owner.Shard) (owner.Instance, bool) {
	to, ok := l.Coordinator.ActingOwner(now, s)
	return to, ok && to.Name != l.Self.Name
}

// passOn sends an ask to the owner that should decide it, which answers the asker.
func (l *Link) passOn(r owner.Disposition) {
	l.send(r.To.Addr, &ownerpb.Datagram{
		Instance: r.Request.Instance, Incarnation: r.Request.Incarnation, Addr: r.Request.ReplyAddr,
		Body: &ownerpb.Datagram_Ask{Ask: encodeAsk(&r.Request, r.Shard.Key, time.Now())},
	})
}

func (l *Link) answer(a *owner.Answer) {
	if a.Describe {
		a.TargetInfo, _ = l.Fleet.Info(a.Target)
		a.BackupInfo, _ = l.Fleet.Info(a.Backup)
	}
	d := l.own()
	d.Body = &ownerpb.Datagram_Answer{Answer: encodeAnswer(a)}
	l.reply(a.Instance, a.Addr, a.ID, d)
}

// reply sends an answer, or hands it to this instance's own call.
func (l *Link) reply(instance, addr string, id uint64, d *ownerpb.Datagram) {
	if instance == l.Self.Name {
		l.deliver(id, d)
		return
	}
	l.send(addr, d)
}

func (l *Link) handleAnswer(d *ownerpb.Datagram, a *ownerpb.Answer) {
	l.Coordinator.ClearSuspect(d.Instance)
	l.mu.Lock()
	l.seen[d.Instance] = max(l.seen[d.Instance], a.Serial)
	l.mu.Unlock()
	if !l.deliver(a.Id, d) && a.Serial > 0 {
		l.ScheduleReport() // nobody uses what was granted: the next report says so
	}
}

func (l *Link) handleOther(d *ownerpb.Datagram, id uint64) {
	l.Coordinator.ClearSuspect(d.Instance)
	l.deliver(id, d)
}

func (l *Link) handleHeardAsk(d *ownerpb.Datagram, a *ownerpb.HeardAsk) {
	heard := &ownerpb.Heard{Id: a.Id}
	if at := l.Fleet.LastContact(a.Target); !at.IsZero() {
		heard.Known, heard.AgoMs = true, ms(time.Since(at))
	}
	out := l.own()
	out.Body = &ownerpb.Datagram_Heard{Heard: heard}
	l.reply(d.Instance, d.Addr, a.Id, out)
}

func (l *Link) waiting() { notify(l.waits) }

// step looks at the asks that wait here for as long as there are any.
func (l *Link) step(ctx context.Context) {
	t := time.NewTicker(stepEvery)
	defer t.Stop()
	var passed time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.waits:
		}
		t.Reset(stepEvery)
		for l.Coordinator.HasWaiting() {
			select {
			case <-ctx.Done():
				return
			case now := <-t.C:
				for _, a := range l.Coordinator.DecideWaiting(now) {
					l.answer(&a)
				}
				if now.Sub(passed) >= owner.ForwardInterval {
					passed = now
					l.passWaiting(now)
				}
			}
		}
		t.Stop()
	}
}

func (l *Link) passWaiting(now time.Time) {
	for _, r := range l.Coordinator.ForwardWaiting(now) {
		l.passOn(r)
	}
}
