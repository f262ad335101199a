package owner

import (
	"time"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/roomforecast"
)

// RefusalCause is why a stream was refused.
type RefusalCause uint8

// Values of RefusalCause.
const (
	NotRefused RefusalCause = iota
	Waited                  // it found no room within its wait
	Forecast                // its wait would certainly have been in vain, according to the forecast of room
	OverLimit               // the rate limits of all engines are used up by requests ahead of it
)

// cannotStartInTime reports whether a stream that would wait can't start before its wait is over: all engines of its shard have rate
// limits, and the requests that wait ahead of it use them up.
//
// When a whole service is overloaded, more streams arrive than it accepts. A stream that waits in vain could have been retried sooner.
func (l *Ledger) cannotStartInTime(now time.Time, s *Shard, req *PlaceRequest) bool {
	perSecond, limited := l.fleet.TotalLimit(s.Engines())
	if !limited || req.Mode != Admit {
		return false
	}
	order, ahead := l.positionOf(s, &req.Stream), 0
	for _, w := range l.waiting {
		if w.shard.Key == s.Key && !w.order.After(order) {
			ahead++
		}
	}
	return float64(ahead+1) > perSecond*req.Stream.WaitDeadline().Sub(now).Seconds()
}

// refuseOnArrival refuses a request that would wait in vain.
func (l *Ledger) refuseOnArrival(now time.Time, s *Shard, req *PlaceRequest) (Answer, bool) {
	if l.cannotStartInTime(now, s, req) {
		return l.refuse(now, s, req, OverLimit), true
	}
	if !mayRefuseEarly(s, req) {
		return Answer{}, false
	}
	r := l.roomOf(s.Key)
	if r == nil || !r.recognizesRetries(now, &req.Stream) || len(l.waiting) > 0 && now.Sub(r.at) >= forecastAge {
		return Answer{}, false // the next pass over the waiting requests, which is due, computes the forecast once for all
	}
	f := l.currentForecast(now, s, r)
	if f == nil {
		return Answer{}, false
	}
	pass := shardPass{shardRoom: r, forecast: f, ahead: l.ahead(now, s, r, l.positionOf(s, &req.Stream))}
	if !l.waitsInVain(now, &pass, req) {
		return Answer{}, false
	}
	return l.refuse(now, s, req, Forecast), true
}

// checkRefusals checks the refusals that are watched against the room that an arriving stream finds. While all streams are refused on
// arrival, none waits and no pass does so; each refusal would count as right.
func (l *Ledger) checkRefusals(now time.Time, s *Shard) {
	if r := l.room[s.Key]; r != nil && r.margin.checkDue(now) {
		l.checkMargin(now, r, s.Engines())
	}
}

// checkMargin checks the refusals that are watched against the room on some engines.
func (l *Ledger) checkMargin(now time.Time, r *shardRoom, engines []string) {
	r.margin.check(now, func(s admit.Stream) bool {
		s.Need.Among, s.Need.Reserved = engines, l.reserved[r.key]
		return l.placer().HasRoom(now, s)
	})
}

// annotate adds what is counted once for a request to its first answer.
func (a *Answer) annotate(now time.Time, req *PlaceRequest) {
	switch {
	case a.Action == admit.RetryLater:
		a.Cause = Waited
	case a.Action == admit.Admit && !req.promisedAt.IsZero():
		a.Returned, a.RoomError = true, now.Sub(req.promisedAt)
	}
}

// refuse refuses a request before its wait is over.
func (l *Ledger) refuse(now time.Time, s *Shard, req *PlaceRequest, cause RefusalCause) Answer {
	answer := l.recordDecision(now, s, req, l.placer().Reject(req.Stream))
	answer.Cause = cause
	if r := l.room[s.Key]; r != nil && cause == Forecast {
		r.margin.watch(now, &req.Stream)
	}
	return answer
}

// mayRefuseEarly reports whether a request may be refused before its wait is over. Room elsewhere is not forecast: a stream whose shard has
// neighbours may still be forwarded to one. A retried stream waits to the end: if refused again, its caller is left with nothing.
func mayRefuseEarly(s *Shard, req *PlaceRequest) bool {
	return req.Mode == Admit && req.Stream.Objective > 0 && !req.Stream.IsRetry && len(s.Neighbours()) == 0
}

// waitsInVain reports whether even if lengths turn out as in the fast quarter of outcomes, room comes after the request's wait.
func (l *Ledger) waitsInVain(now time.Time, sp *shardPass, req *PlaceRequest) bool {
	left := req.Stream.WaitDeadline().Sub(now)
	stream := l.atFirst(sp.shardRoom, &req.Stream)
	stream.Budget = func(d time.Duration) time.Duration { return req.Stream.PrefillBudget(now.Add(d)) }
	at, ok := sp.forecast.Time(&stream, &sp.ahead, roomforecast.Fast)
	return left > minSaved && (!ok || sp.margin.applyTo(at) > left+minSaved)
}

// minSaved is the least time that a refusal must save its caller. It covers what the forecast doesn't resolve.
const minSaved = 100 * time.Millisecond

// startsInTime reports whether a waiting request is more likely than not to be placed within its wait. Others leave the queue without
// taking room from those behind them.
func (l *Ledger) startsInTime(now time.Time, sp *shardPass, w *waitingRequest) bool {
	w.stream = l.atFirst(sp.shardRoom, &w.Stream)
	w.stream.Budget = func(d time.Duration) time.Duration { return w.Stream.PrefillBudget(now.Add(d)) }
	at, ok := sp.forecast.Time(&w.stream, &sp.ahead, roomforecast.Even)
	return ok && at <= w.Stream.WaitDeadline().Sub(now)
}

// waitingPass is the state of one pass over the waiting requests.
type waitingPass struct {
	l      *Ledger
	now    time.Time
	shards map[string]*shardPass
}

// shardPass is the state of a shard during one pass.
type shardPass struct {
	*shardRoom
	forecast *roomforecast.Forecast // that of the shard may be replaced during the pass, and be missing then
	ahead    roomforecast.Demand    // of the requests decided so far that still wait
}

func (l *Ledger) newWaitingPass(now time.Time) waitingPass {
	return waitingPass{l: l, now: now, shards: make(map[string]*shardPass)}
}

// shard returns the state of a shard in this pass; nil if there is no forecast.
func (p *waitingPass) shard(s *Shard) *shardPass {
	sp, known := p.shards[s.Key]
	if known {
		return sp
	}
	if r := p.l.roomOf(s.Key); r != nil {
		if f := p.l.currentForecast(p.now, s, r); f != nil {
			sp = &shardPass{shardRoom: r, forecast: f}
		}
	}
	p.shards[s.Key] = sp
	return sp
}

// refuse refuses a request that still waits, if the forecast has become such that it waits in vain.
func (p *waitingPass) refuse(w *waitingRequest) (Answer, bool) {
	sp := p.shard(w.shard)
	if sp == nil {
		return Answer{}, false
	}
	early := mayRefuseEarly(w.shard, &w.PlaceRequest) && sp.recognizesRetries(p.now, &w.Stream)
	if early && p.l.waitsInVain(p.now, sp, &w.PlaceRequest) {
		return p.l.refuse(p.now, w.shard, &w.PlaceRequest, Forecast), true
	}
	if w.likely = p.l.startsInTime(p.now, sp, w); w.likely {
		sp.ahead.AddWaiting(&w.stream)
	}
	return Answer{}, false
}

// lateShare is the part of the time that a caller respects, at its end, over which retries are spread when no room is expected before.
const lateShare = 0.25

// retryAfter returns the retry time of a refused stream: when room for it is expected, behind what waits and the retries promised before,
// so that callers return in order along the time in which room is released. Without a forecast it is the given time.
func (l *Ledger) retryAfter(now time.Time, s *Shard, req *PlaceRequest, otherwise time.Duration) time.Duration {
	longest := req.Stream.MaxRetryAfter
	r := l.roomOf(s.Key)
	if r == nil || l.currentForecast(now, s, r) == nil || longest <= admit.MinRetryAfter {
		return otherwise
	}
	r.removePromise(req.Fingerprint) // a caller that comes too early gets a new time
	after, ok := l.promisedTime(now, s, req)
	if !ok || after > longest {
		// otherwise is spread over the whole time; the same draw spreads the retry over the last part.
		span := float64(longest - admit.MinRetryAfter)
		drawn := float64(otherwise-admit.MinRetryAfter) / span
		after = longest - time.Duration(lateShare*(1-drawn)*span)
	}
	room := now.Add(after)
	after = max(after, admit.MinRetryAfter)
	r.addPromise(now, promise{fingerprint: req.Fingerprint, at: now.Add(after), room: room, stream: l.expected(r, &req.Stream)})
	return after
}
