package owner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/roomforecast"
)

const (
	// forecastAge is how long a forecast is used while the number of engines stays the same.
	forecastAge = 50 * time.Millisecond
	// maxRoomShards bounds the shards for which room is forecast.
	maxRoomShards = 256
	// maxPromises bounds the promised retries that a shard's forecast takes into account.
	maxPromises = 512
	// promiseTTL is how long a promised retry is taken into account beyond its time, if its caller does not come.
	promiseTTL = time.Second
	// decisionGap is the time without requests after which another owner may have decided meanwhile.
	decisionGap = 2 * time.Second
	// roomTTL is how long the state of a shard is kept without requests and reports: a service may be idle for some time.
	roomTTL = 10 * time.Minute
)

// promise is a retry time that was given to a caller.
type promise struct {
	fingerprint uint64
	at          time.Time // that the caller was given
	room        time.Time // from which room is kept for it; no later than at
	stream      roomforecast.Stream
}

// shardRoom is what the owner of a shard knows of the room there.
type shardRoom struct {
	*progress
	key    string
	usedAt time.Time // time of the newest request or report
	// decidingSince is the time from which this instance has decided the shard's requests without a gap of decisionGap, arrivedAt that of the
	// newest request.
	decidingSince, arrivedAt time.Time
	promises                 []promise
	inflow                   inflow
	margin                   margin

	waitingDemand roomforecast.Demand // of the waiting requests that probably start in time, as of the last pass over them
	demandAt      time.Time           // of that pass

	forecast  *roomforecast.Forecast
	at        time.Time // of the forecast
	accepting []string  // engines of the forecast
}

// roomOf returns the state of a shard; nil if there are too many.
func (l *Ledger) roomOf(shard string) *shardRoom {
	r := l.room[shard]
	if r == nil && len(l.room) < maxRoomShards && !l.noForecast {
		r = &shardRoom{progress: newProgress(), key: shard}
		l.room[shard] = r
	}
	return r
}

// DisableForecast makes streams wait without a forecast of room, for comparisons.
func (l *Ledger) DisableForecast() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noForecast = true
}

// currentForecast returns a shard's forecast; nil if too little is known.
func (l *Ledger) currentForecast(now time.Time, s *Shard, r *shardRoom) *roomforecast.Forecast {
	if r.pace == 0 {
		return nil // no run has been observed long enough
	}
	n := len(r.accepting)
	r.accepting = l.fleet.Accepting(s.Engines(), r.accepting[:0])
	if r.at.IsZero() || now.Sub(r.at) >= forecastAge || len(r.accepting) != n {
		r.at, r.forecast = now, l.computeForecast(s, r)
	}
	return r.forecast
}

func (l *Ledger) computeForecast(s *Shard, r *shardRoom) *roomforecast.Forecast {
	r.expire(r.accepting)
	memory := l.fleet.UsableMemory(s.Service)
	engines := make([]roomforecast.Engine, len(r.accepting))
	index := make(map[string]*roomforecast.Engine, len(engines))
	for i, id := range r.accepting {
		engines[i] = roomforecast.Engine{Memory: memory, TokenTime: r.tokenTime(id)}
		index[id] = &engines[i]
	}
	for _, h := range l.holders[s.Key] {
		h.addTo(index, r.progress)
	}
	for i := range engines {
		// Sums must not depend on the order of a map, so that a simulation can be repeated.
		slices.SortFunc(engines[i].Runs, func(a, b roomforecast.Run) int {
			return cmp.Or(cmp.Compare(a.Held, b.Held), cmp.Compare(a.Output, b.Output), cmp.Compare(a.Hint, b.Hint))
		})
	}
	return roomforecast.New(engines, l.prefillRates.Duration(s.Service, 1), r.lengths)
}

// addTo adds an instance's runs, copies and grants to the engines that they occupy.
func (h *holder) addTo(engines map[string]*roomforecast.Engine, p *progress) {
	for i := range h.runs {
		if e := engines[h.runs[i].Target]; e != nil {
			e.Runs = append(e.Runs, p.toForecast(&h.runs[i]))
			e.Unread += h.runs[i].Unread
		}
	}
	for _, c := range h.copies {
		if e := engines[c.Target]; e != nil {
			e.Copies += c.Tokens
		}
	}
	for _, g := range h.grants {
		if e := engines[g.target]; e != nil {
			e.Runs = append(e.Runs, roomforecast.Run{Held: g.size.Held, Hint: g.size.Remaining})
			e.Unread += g.load.Unread
		}
	}
}

// atFirst describes a stream with the memory that it takes at first.
func (l *Ledger) atFirst(r *shardRoom, s *admit.Stream) roomforecast.Stream {
	n := &s.Need
	out := roomforecast.Stream{Tokens: n.Peak.Held, Unread: n.Unread}
	if out.Tokens == 0 {
		out.Tokens = n.Tokens
	}
	out.Lasts = l.prefillRates.Duration(n.Service, n.Unread) + time.Duration(clampTokens(n.Peak.Remaining))*r.pace
	return out
}

// expected describes a stream with the memory that it takes on average.
func (l *Ledger) expected(r *shardRoom, s *admit.Stream) roomforecast.Stream {
	out := l.atFirst(r, s)
	out.Tokens += s.Need.Peak.Remaining / 2
	return out
}

// ahead returns the demand of the requests that wait for a shard, probably start in time and go before a new one with the given order, as
// of the last pass over them. Most requests arrive in about their order, so that few are to be subtracted.
func (l *Ledger) ahead(now time.Time, s *Shard, r *shardRoom, before time.Time) roomforecast.Demand {
	if now.Sub(r.demandAt) >= forecastAge {
		return roomforecast.Demand{} // nothing has waited lately
	}
	d := r.waitingDemand
	for _, w := range slices.Backward(l.waiting) {
		if !w.order.After(before) {
			break
		}
		if w.shard.Key == s.Key && w.likely {
			d.Remove(&w.stream)
		}
	}
	return d
}

// promisedTime returns when a stream that is refused now is expected to find room: behind what waits, what was promised before and what is
// yet to arrive. ok is false if there is no forecast, or no room within the time that its caller respects.
func (l *Ledger) promisedTime(now time.Time, s *Shard, req *PlaceRequest) (d time.Duration, ok bool) {
	r := l.roomOf(s.Key)
	if r == nil {
		return 0, false
	}
	f := l.currentForecast(now, s, r)
	if f == nil {
		return 0, false
	}
	var demand roomforecast.Demand
	for _, w := range l.waiting {
		if w.shard.Key == s.Key && w.likely && w.Key != req.Key {
			stream := l.expected(r, &w.Stream)
			demand.AddWaiting(&stream)
		}
	}
	for i := range r.promises {
		demand.AddPromised(r.promises[i].room.Sub(now), &r.promises[i].stream)
	}
	r.inflow.addTo(now, &demand)
	stream, again := l.expected(r, &req.Stream), req.Stream
	again.IsRetry = true
	stream.Budget = func(time.Duration) time.Duration { return again.PrefillBudget(now) }
	return f.Time(&stream, &demand, retryConfidence)
}

// retryConfidence is the confidence with which room is expected at the retry time.
const retryConfidence = roomforecast.Likely

// addPromise records a retry time that was given.
func (r *shardRoom) addPromise(now time.Time, p promise) {
	r.promises = slices.DeleteFunc(r.promises, func(old promise) bool { return now.Sub(old.at) > promiseTTL })
	if len(r.promises) < maxPromises {
		r.promises = append(r.promises, p)
	}
}

// removePromise removes the promise to a stream that has returned.
func (r *shardRoom) removePromise(fingerprint uint64) {
	if fingerprint == 0 {
		return // unknown
	}
	r.promises = slices.DeleteFunc(r.promises, func(p promise) bool { return p.fingerprint == fingerprint })
}

// expireRoom drops the state of shards without requests and reports.
func (l *Ledger) expireRoom(now time.Time) {
	maps.DeleteFunc(l.room, func(_ string, r *shardRoom) bool { return now.Sub(r.usedAt) > roomTTL })
}

// observeProgress learns from a report on the runs of an instance, before it is applied.
func (l *Ledger) observeProgress(now time.Time, h *holder, rep *Report) {
	r := l.roomOf(rep.Shard)
	if r == nil {
		return
	}
	r.usedAt = now
	if rep.Incarnation != h.incarnation {
		r.forget(h.runs)
	}
	r.observe(now, h.runs, rep.Runs, l.fleet.IsLeaving)
}

// forgetProgress drops what is tracked of the runs of an instance that reports no more.
func (l *Ledger) forgetProgress(h *holder) {
	if r := l.room[h.shard]; r != nil {
		r.forget(h.runs)
	}
}

// recognizesRetries reports whether this instance has decided for as long as a refused caller stays away. A new owner doesn't know whom the
// one before refused. If it refused a returning caller early, like one who comes first, that caller would be left with nothing.
func (r *shardRoom) recognizesRetries(now time.Time, s *admit.Stream) bool {
	return now.Sub(r.decidingSince) >= s.MaxRetryAfter
}

// observeArrival counts a new request.
func (l *Ledger) observeArrival(now time.Time, s *Shard, req *PlaceRequest) {
	r := l.roomOf(s.Key)
	if r == nil || req.Mode != Admit {
		return
	}
	r.usedAt = now
	if now.Sub(r.arrivedAt) > decisionGap {
		r.decidingSince = now
	}
	r.arrivedAt = now
	if req.Stream.IsRetry {
		r.removePromise(req.Fingerprint)
		return
	}
	stream := l.expected(r, &req.Stream)
	r.inflow.add(now, &stream)
}

// finish keeps the demand for requests that arrive until the next pass, and checks the refusals that are watched against the room that is
// left once the waiting requests are decided.
func (p *waitingPass) finish() {
	for _, sp := range p.shards {
		if sp != nil {
			sp.waitingDemand, sp.demandAt = sp.ahead, p.now
			p.l.checkMargin(p.now, sp.shardRoom, sp.accepting)
		}
	}
}
