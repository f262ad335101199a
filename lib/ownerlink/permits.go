package ownerlink

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/ownerpb"
)

const (
	// permitTimeout bounds the wait for a permit: the time-out of one dead candidate, and the answer of the next.
	permitTimeout = maxTries*answerTimeout + 15*time.Millisecond
	// limitResend is the interval at which an unchanged limit is repeated to its owner, and a slightly changed one to all instances.
	limitResend = 500 * time.Millisecond
	// limitStep is the relative change of a limit that is announced at once.
	limitStep = 0.2
	// maxSentLimits bounds the limits that a Link remembers as announced.
	maxSentLimits = 4096
)

// sentLimit is the last announced limit of a target.
type sentLimit struct {
	fleet.Limit
	at time.Time
}

// due reports whether a limit is to be announced now.
func (t sentLimit) due(now time.Time, l fleet.Limit) bool {
	if now.Sub(t.at) >= limitResend || l.On != t.On {
		return true
	}
	return l.PerSecond < (1-limitStep)*t.PerSecond || l.PerSecond > (1+limitStep)*t.PerSecond
}

// RequestPermit requests a permit to send a request to a target from its owner. ErrNoOwner means that none answers or knows the target.
func (l *Link) RequestPermit(ctx context.Context, t fleet.Info, must bool) (fleet.Permit, error) {
	s := l.layout.Load().PermitShard(t)
	if s == nil {
		return fleet.Permit{}, ErrNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	c := l.newCall(s)
	defer c.close()
	report := encodeLimit(t.ID, l.Fleet.LimitOf(t.ID), c.start)
	c.body.Body = &ownerpb.Datagram_PermitAsk{PermitAsk: &ownerpb.PermitAsk{Id: c.id, Service: t.Service, Word: report, Must: must}}
	d, err := c.query(ctx)
	if err != nil {
		return fleet.Permit{}, err
	}
	p := d.GetPermit()
	if !p.GetKnown() {
		return fleet.Permit{}, ErrNoOwner
	}
	l.applyLimit(time.Now(), p.GetWord())
	return fleet.Permit{Granted: p.GetGiven(), RetryAfter: duration(p.GetAfterMs())}, nil
}

// handlePermitRequest answers for the targets that this instance owns, and forwards other requests.
func (l *Link) handlePermitRequest(d *ownerpb.Datagram, req *ownerpb.PermitAsk) {
	now := time.Now()
	id := req.GetWord().GetTarget()
	t, known := l.Fleet.Info(id)
	if !known {
		t = fleet.Info{ID: id, Service: req.GetService()}
	}
	if s := l.layout.Load().PermitShard(t); s != nil && !req.GetPassedOn() {
		if to, other := l.otherOwner(now, s); other {
			l.forwardPermitRequest(d, req, to)
			return
		}
	}
	if l.applyLimit(now, req.GetWord()) {
		l.broadcastLimit(now, id)
	}
	p, known := l.Fleet.Permit(now, id, d.Instance, req.GetMust())
	out := l.newDatagram()
	out.Body = &ownerpb.Datagram_Permit{Permit: &ownerpb.Permit{
		Id: req.GetId(), Known: known, Given: p.Granted, AfterMs: ms(p.RetryAfter), Word: encodeLimit(id, l.Fleet.LimitOf(id), now),
	}}
	l.reply(d.Instance, d.Addr, req.GetId(), out)
}

func (l *Link) forwardPermitRequest(d *ownerpb.Datagram, req *ownerpb.PermitAsk, to owner.Instance) {
	l.send(to.Addr, &ownerpb.Datagram{
		Instance: d.Instance, Incarnation: d.Incarnation, Addr: d.Addr,
		Body: &ownerpb.Datagram_PermitAsk{PermitAsk: &ownerpb.PermitAsk{
			Id: req.Id, Service: req.Service, Word: req.Word, Must: req.Must, PassedOn: true,
		}},
	})
}

// ReportLimit reports the limit that a target's answer stated, or stated no longer, to its owner. changed means that it is new here.
func (l *Link) ReportLimit(t fleet.Info, changed bool) {
	now := time.Now()
	s := l.layout.Load().PermitShard(t)
	if s == nil {
		return
	}
	report := l.Fleet.LimitOf(t.ID)
	if to, other := l.otherOwner(now, s); other {
		if changed || l.limitDue(now, t.ID, report.Limit) {
			l.send(to.Addr, l.newLimitsDatagram(encodeLimit(t.ID, report, now), true))
		}
		return
	}
	if changed {
		l.broadcastLimit(now, t.ID)
	}
}

// limitDue reports whether a limit is to be announced now, and records that it is.
func (l *Link) limitDue(now time.Time, target string, limit fleet.Limit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.sentLimits[target].due(now, limit) {
		return false
	}
	if len(l.sentLimits) >= maxSentLimits {
		clear(l.sentLimits)
	}
	l.sentLimits[target] = sentLimit{Limit: limit, at: now}
	return true
}

// broadcastLimit sends a limit to all instances: those that do not know of it send as if there were none.
func (l *Link) broadcastLimit(now time.Time, target string) {
	report := l.Fleet.LimitOf(target)
	if !l.limitDue(now, target, report.Limit) {
		return
	}
	l.broadcast(l.newLimitsDatagram(encodeLimit(target, report, now), false))
}

func (l *Link) newLimitsDatagram(w *ownerpb.LimitWord, passOn bool) *ownerpb.Datagram {
	d := l.newDatagram()
	d.Body = &ownerpb.Datagram_Limits{Limits: &ownerpb.Limits{Words: []*ownerpb.LimitWord{w}, PassOn: passOn}}
	return d
}

func (l *Link) handleLimits(body *ownerpb.Limits) {
	now := time.Now()
	for _, w := range body.GetWords() {
		if l.applyLimit(now, w) && body.PassOn {
			l.broadcastLimit(now, w.Target)
		}
	}
}

// applyLimit applies a received limit and reports whether it is new.
func (l *Link) applyLimit(now time.Time, w *ownerpb.LimitWord) bool {
	if w.GetTarget() == "" {
		return false
	}
	return l.Fleet.ApplyLimit(w.Target, fleet.LimitNotice{
		Limit:       fleet.Limit{On: w.On, PerSecond: w.PerSecond},
		RequestedAt: timeBefore(now, w.AskedAgoUs), ReceivedAt: timeBefore(now, w.HeardAgoUs), Relayed: true, Brittle: w.Brittle,
	})
}

// maxAge bounds an age on the wire, so that an invalid one does not become a time in the future.
const maxAge = 24 * time.Hour

func timeBefore(now time.Time, agoUs uint64) time.Time {
	return now.Add(-time.Duration(min(agoUs, uint64(maxAge.Microseconds()))) * time.Microsecond)
}

func ageMicros(now, at time.Time) uint64 {
	return uint64(min(max(0, now.Sub(at)), maxAge).Microseconds())
}

// encodeLimit encodes a target's limit as it is known here.
func encodeLimit(target string, w fleet.LimitNotice, now time.Time) *ownerpb.LimitWord {
	return &ownerpb.LimitWord{
		Target: target, On: w.On, PerSecond: w.PerSecond, AskedAgoUs: ageMicros(now, w.RequestedAt), HeardAgoUs: ageMicros(now, w.ReceivedAt),
		Brittle: w.Brittle,
	}
}
