package ownerlink

import (
	"context"
	"errors"
	"time"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/ownerpb"
)

var errMalformed = errors.New("ownerlink: datagram without a sender, or with an unknown or incomplete body")

func (l *Link) handle(d *ownerpb.Datagram) {
	if d.Instance == "" && !l.nameSender(d) {
		l.reportBad("anonymous", errMalformed)
		return
	}
	switch body := d.Body.(type) {
	case *ownerpb.Datagram_Ask:
		l.handlePlaceRequest(d, body.Ask)
	case *ownerpb.Datagram_Answer:
		l.handleAnswer(d, body.Answer)
	case *ownerpb.Datagram_Report:
		l.handleReport(d, body.Report)
	case *ownerpb.Datagram_Beat:
		l.handleHeartbeat(d, body.Beat)
	case *ownerpb.Datagram_Blames:
		l.OnBlames(body.Blames)
	case *ownerpb.Datagram_LeftTold:
		l.handleLeft(body.LeftTold)
	case *ownerpb.Datagram_MovesAsk:
		l.handleMovesRequest(d, body.MovesAsk)
	case *ownerpb.Datagram_Moves:
		l.handleReply(d, body.Moves.Id)
	case *ownerpb.Datagram_HeardAsk:
		l.handleContactRequest(d, body.HeardAsk)
	case *ownerpb.Datagram_Heard:
		l.handleReply(d, body.Heard.Id)
	case *ownerpb.Datagram_Counts:
		l.handleCounts(d, body.Counts)
	case *ownerpb.Datagram_Suspects:
		l.handleSuspects(body.Suspects)
	case *ownerpb.Datagram_PermitAsk:
		l.handlePermitRequest(d, body.PermitAsk)
	case *ownerpb.Datagram_Permit:
		l.handleReply(d, body.Permit.Id)
	case *ownerpb.Datagram_Limits:
		l.handleLimits(body.Limits)
	case *ownerpb.Datagram_StreamRecords:
		l.handleStreamRecords(d, body.StreamRecords)
	case *ownerpb.Datagram_StreamRecordsAck:
		l.handleReply(d, body.StreamRecordsAck.Id)
	case *ownerpb.Datagram_StreamQuery:
		l.handleStreamQuery(d, body.StreamQuery)
	case *ownerpb.Datagram_StreamFound:
		l.handleReply(d, body.StreamFound.Id)
	default:
		l.reportBad("unknown", errMalformed)
	}
}

// handlePlaceRequest decides a request for a shard that this instance owns, and forwards others.
func (l *Link) handlePlaceRequest(d *ownerpb.Datagram, req *ownerpb.Ask) {
	layout := l.layout.Load()
	s := layout.Shard(req.Shard)
	if s == nil {
		// The requesting instance's target list is slightly older or newer.
		s = layout.HomeShard(req.Service, l.Self.Domain, d.Instance)
	}
	now := time.Now()
	if s == nil {
		l.answer(&owner.Answer{Key: owner.Key{Instance: d.Instance, ID: req.Id}, ReplyAddr: d.Addr, Action: admit.Fallback})
		return
	}
	l.respond(l.Coordinator.Handle(now, s, decodePlaceRequest(d, now)))
}

// respond answers a request or forwards it.
func (l *Link) respond(r owner.Disposition) {
	if r.Forward {
		l.forward(r)
		return
	}
	if r.Answer.Action == admit.Wait {
		l.notifyWaiting()
	}
	l.answer(&r.Answer)
}

// otherOwner returns the acting owner of a shard, and whether that is another instance.
func (l *Link) otherOwner(now time.Time, s *owner.Shard) (owner.Instance, bool) {
	to, ok := l.Coordinator.ActingOwner(now, s)
	return to, ok && to.Name != l.Self.Name
}

// forward sends a request to the owner that should decide it, which answers the requesting instance.
func (l *Link) forward(r owner.Disposition) {
	l.send(r.To.Addr, &ownerpb.Datagram{
		Instance: r.Request.Instance, Incarnation: r.Request.Incarnation, Addr: r.Request.ReplyAddr,
		Body: &ownerpb.Datagram_Ask{Ask: encodePlaceRequest(&r.Request, r.Shard.Key, time.Now())},
	})
}

func (l *Link) answer(a *owner.Answer) {
	countRoom(a)
	if a.Describe {
		a.TargetInfo, _ = l.Fleet.Info(a.Target)
		a.BackupInfo, _ = l.Fleet.Info(a.Backup)
	}
	d := l.newDatagram()
	d.Body = &ownerpb.Datagram_Answer{Answer: encodeAnswer(a)}
	l.reply(a.Instance, a.ReplyAddr, a.ID, d)
}

// reply sends an answer, or delivers it to this instance's own call.
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
	l.lastGrants[d.Instance] = max(l.lastGrants[d.Instance], a.Serial)
	l.mu.Unlock()
	if !l.deliver(a.Id, d) && a.Serial > 0 {
		l.ScheduleReport() // nobody uses the grant; the next report tells the owner
	}
}

func (l *Link) handleReply(d *ownerpb.Datagram, id uint64) {
	l.Coordinator.ClearSuspect(d.Instance)
	l.deliver(id, d)
}

func (l *Link) handleContactRequest(d *ownerpb.Datagram, req *ownerpb.HeardAsk) {
	heard := &ownerpb.Heard{Id: req.Id}
	if at := l.Fleet.LastContact(req.Target); !at.IsZero() {
		heard.Known, heard.AgoMs = true, ms(time.Since(at))
	}
	out := l.newDatagram()
	out.Body = &ownerpb.Datagram_Heard{Heard: heard}
	l.reply(d.Instance, d.Addr, req.Id, out)
}

func (l *Link) notifyWaiting() { notify(l.waitingAdded) }

// decideLoop decides waiting requests periodically while there are any.
func (l *Link) decideLoop(ctx context.Context) {
	t := time.NewTicker(decideInterval)
	defer t.Stop()
	var lastForward time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.waitingAdded:
		}
		t.Reset(decideInterval)
		for l.Coordinator.HasWaiting() {
			select {
			case <-ctx.Done():
				return
			case now := <-t.C:
				for _, a := range l.Coordinator.DecideWaiting(now) {
					observeWait(&a)
					l.answer(&a)
				}
				if now.Sub(lastForward) >= owner.ForwardInterval {
					lastForward = now
					l.forwardWaiting(now)
				}
			}
		}
		t.Stop()
	}
}

func (l *Link) forwardWaiting(now time.Time) {
	for _, r := range l.Coordinator.ForwardWaiting(now) {
		l.forward(r)
	}
}
