package ownerlink

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/ownerpb"
)

const (
	// permitTimeout bounds the wait for a permit: one candidate that is gone, and the answer of the next.
	permitTimeout = tries*tryTimeout + 15*time.Millisecond
	// limitAgain is how often an owner is told again of a limit that holds on, and everybody of one that changes by little.
	limitAgain = 500 * time.Millisecond
	// limitStep is the part by which a limit changes that everybody is told of at once.
	limitStep = 0.2
	// limitsTold bounds the limits that a Link remembers to have told of.
	limitsTold = 4096
)

// toldLimit is what was last told of a target's limit.
type toldLimit struct {
	fleet.Limit
	at time.Time
}

// due reports whether a limit is to be told now.
func (t toldLimit) due(now time.Time, l fleet.Limit) bool {
	if now.Sub(t.at) >= limitAgain || l.On != t.On {
		return true
	}
	return l.PerSecond < (1-limitStep)*t.PerSecond || l.PerSecond > (1+limitStep)*t.PerSecond
}

// RequestPermit asks a target's owner for leave to send it a request. ErrAlone says that none answers, or knows the target.
func (l *Link) RequestPermit(ctx context.Context, t fleet.Info, must bool) (fleet.Permit, error) {
	s := l.layout.Load().PermitShard(t)
	if s == nil {
		return fleet.Permit{}, ErrNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	c := l.newCall(s)
	defer c.close()
	word := encodeLimit(t.ID, l.Fleet.LimitOf(t.ID), c.start)
	c.body.Body = &ownerpb.Datagram_PermitAsk{PermitAsk: &ownerpb.PermitAsk{Id: c.id, Service: t.Service, Word: word, Must: must}}
	d, err := c.do(ctx)
	if err != nil {
		return fleet.Permit{}, err
	}
	p := d.GetPermit()
	if !p.GetKnown() {
		return fleet.Permit{}, ErrNoOwner
	}
	l.takeLimit(time.Now(), p.GetWord())
	return fleet.Permit{Granted: p.GetGiven(), RetryAfter: duration(p.GetAfterMs())}, nil
}

// handlePermitAsk answers for the targets that this instance owns, and passes on what is for another.
func (l *Link) handlePermitAsk(d *ownerpb.Datagram, a *ownerpb.PermitAsk) {
	now := time.Now()
	id := a.GetWord().GetTarget()
	t, known := l.Fleet.Info(id)
	if !known {
		t = fleet.Info{ID: id, Service: a.GetService()}
	}
	if s := l.layout.Load().PermitShard(t); s != nil && !a.GetPassedOn() {
		if to, other := l.otherOwner(now, s); other {
			l.passPermitAsk(d, a, to)
			return
		}
	}
	if l.takeLimit(now, a.GetWord()) {
		l.spread(now, id)
	}
	p, known := l.Fleet.Permit(now, id, d.Instance, a.GetMust())
	out := l.own()
	out.Body = &ownerpb.Datagram_Permit{Permit: &ownerpb.Permit{
		Id: a.GetId(), Known: known, Given: p.Granted, AfterMs: ms(p.RetryAfter), Word: encodeLimit(id, l.Fleet.LimitOf(id), now),
	}}
	l.reply(d.Instance, d.Addr, a.GetId(), out)
}

func (l *Link) passPermitAsk(d *ownerpb.Datagram, a *ownerpb.PermitAsk, to owner.Instance) {
	l.send(to.Addr, &ownerpb.Datagram{
		Instance: d.Instance, Incarnation: d.Incarnation, Addr: d.Addr,
		Body: &ownerpb.Datagram_PermitAsk{PermitAsk: &ownerpb.PermitAsk{
			Id: a.Id, Service: a.Service, Word: a.Word, Must: a.Must, PassedOn: true,
		}},
	})
}

// ReportLimit tells a target's owner of the limit that an answer named, or no longer named. changed says that it is news to this instance.
func (l *Link) ReportLimit(t fleet.Info, changed bool) {
	now := time.Now()
	s := l.layout.Load().PermitShard(t)
	if s == nil {
		return
	}
	word := l.Fleet.LimitOf(t.ID)
	if to, other := l.otherOwner(now, s); other {
		if changed || l.limitDue(now, t.ID, word.Limit) {
			l.send(to.Addr, l.limitsTold(encodeLimit(t.ID, word, now), true))
		}
		return
	}
	if changed {
		l.spread(now, t.ID)
	}
}

// limitDue reports whether a limit is to be told now, and notes that it is.
func (l *Link) limitDue(now time.Time, target string, limit fleet.Limit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limits[target].due(now, limit) {
		return false
	}
	if len(l.limits) >= limitsTold {
		clear(l.limits)
	}
	l.limits[target] = toldLimit{Limit: limit, at: now}
	return true
}

// spread tells all instances of a limit: those that have not been told go on as if there were none.
func (l *Link) spread(now time.Time, target string) {
	word := l.Fleet.LimitOf(target)
	if !l.limitDue(now, target, word.Limit) {
		return
	}
	l.tellAll(l.limitsTold(encodeLimit(target, word, now), false))
}

func (l *Link) limitsTold(w *ownerpb.LimitWord, passOn bool) *ownerpb.Datagram {
	d := l.own()
	d.Body = &ownerpb.Datagram_Limits{Limits: &ownerpb.Limits{Words: []*ownerpb.LimitWord{w}, PassOn: passOn}}
	return d
}

func (l *Link) handleLimits(body *ownerpb.Limits) {
	now := time.Now()
	for _, w := range body.GetWords() {
		if l.takeLimit(now, w) && body.PassOn {
			l.spread(now, w.Target)
		}
	}
}

// takeLimit takes in a word of a limit and reports whether it is news.
func (l *Link) takeLimit(now time.Time, w *ownerpb.LimitWord) bool {
	if w.GetTarget() == "" {
		return false
	}
	return l.Fleet.ApplyLimit(w.Target, fleet.LimitNotice{
		Limit: fleet.Limit{On: w.On, PerSecond: w.PerSecond}, RequestedAt: before(now, w.AskedAgoUs), ReceivedAt: before(now, w.HeardAgoUs), Relayed: true,
	})
}

// agoMax bounds an age that is told, so that a senseless one is not in the future.
const agoMax = 24 * time.Hour

func before(now time.Time, agoUs uint64) time.Time {
	return now.Add(-time.Duration(min(agoUs, uint64(agoMax.Microseconds()))) * time.Microsecond)
}

func ago(now, at time.Time) uint64 { return uint64(min(max(0, now.Sub(at)), agoMax).Microseconds()) }

// encodeLimit tells of a target's limit as it is known here.
func encodeLimit(target string, w fleet.LimitNotice, now time.Time) *ownerpb.LimitWord {
	return &ownerpb.LimitWord{
		Target: target, On: w.On, PerSecond: w.PerSecond, AskedAgoUs: ago(now, w.RequestedAt), HeardAgoUs: ago(now, w.ReceivedAt),
	}
}
