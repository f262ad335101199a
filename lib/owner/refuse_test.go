package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/admit"
)

// longRun returns a run of an engine that leaves no room for 3,000 tokens and has thousands of tokens to go, n reports of 0.25 s after its
// start, at 10 ms a token.
func longRun(id uint64, target string, n int) Run {
	return Run{ID: id, Target: target, Tokens: 8000 + 25*n, Remaining: 5000 - 25*n}
}

// fillEngines reports a long run on each engine until their pace is known, to an owner that has decided for long. It returns the time of
// the last report.
func fillEngines(l *Ledger, s *Shard, instance string) time.Time {
	now := t0
	for n := range 5 {
		var runs []Run
		for i, e := range s.Engines() {
			runs = append(runs, longRun(uint64(i+1), e, n))
		}
		now = t0.Add(time.Duration(n) * 250 * time.Millisecond)
		l.Report(now, report(s, instance, uint64(n+1), runs...))
	}
	decideForLong(l, s, now)
	return now
}

// decideForLong makes an instance the owner of a shard that has decided its requests until now, for longer than refused callers stay away.
func decideForLong(l *Ledger, s *Shard, now time.Time) {
	r := l.roomOf(s.Key)
	r.decidingSince, r.arrivedAt = now.Add(-time.Minute), now
}

func requestAt(now time.Time, id uint64, tokens int) PlaceRequest {
	req := placeRequest("i", id, tokens)
	req.Stream.Arrived, req.Fingerprint = now, id
	return req
}

// All engines are full of runs that last for a minute. A stream that would wait in vain is refused when it arrives.
func TestStreamWithoutForecastRoomIsRefusedAtOnce(t *testing.T) {
	l, _, s := newTestLedger(2)
	now := fillEngines(l, s, "i")
	a, ok := l.Place(now, s, requestAt(now, 1, 3000))
	must.True(t, ok)
	must.Eq(t, admit.RetryLater, a.Action)
	must.Eq(t, Forecast, a.Cause)
	must.Between(t, admit.MinRetryAfter, a.After, 10*time.Second)
	again, ok := l.Place(now, s, requestAt(now, 1, 3000))
	must.True(t, ok)
	must.Eq(t, a.After, again.After)
	must.Eq(t, NotRefused, again.Cause) // counted once
}

// The owner is new: it knows of a run, but not yet how fast engines work. A stream without room waits as it would without a forecast.
func TestNewOwnerDoesNotForecast(t *testing.T) {
	l, _, s := newTestLedger(1)
	l.Report(t0, report(s, "i", 1, longRun(1, s.Engines()[0], 0)))
	_, ok := l.Place(t0, s, requestAt(t0, 1, 3000))
	must.False(t, ok)
	must.SliceEmpty(t, l.DecideWaiting(t0.Add(500*time.Millisecond)))
}

// An owner takes over with the reports that the second candidate receives, and without the refusals of the one before. A caller that
// returns looks as if it came first. Refused early it would be left with nothing, so nobody is until all of them have returned.
func TestNewOwnerRefusesNobodyEarly(t *testing.T) {
	l, _, s := newTestLedger(2)
	now := fillEngines(l, s, "i")
	l.room[s.Key].arrivedAt = now.Add(-decisionGap - time.Millisecond)
	_, ok := l.Place(now, s, requestAt(now, 1, 3000))
	must.False(t, ok)
	must.SliceEmpty(t, l.DecideWaiting(now.Add(10*time.Millisecond)))
	l.dropWaiting(requestAt(now, 1, 3000).Key)
	l.room[s.Key].decidingSince = now.Add(-requestAt(now, 2, 3000).Stream.MaxRetryAfter)
	a, ok := l.Place(now, s, requestAt(now, 2, 3000))
	must.True(t, ok)
	must.Eq(t, Forecast, a.Cause)
}

// An instance's reports are lost from some time on. What it had counts as ended, so nothing is refused because of it.
func TestLostReportsRefuseNothing(t *testing.T) {
	l, _, s := newTestLedger(2)
	now := fillEngines(l, s, "silent").Add(reportTTL + time.Millisecond)
	l.Tick(now)
	must.MapEmpty(t, l.room[s.Key].runs)
	a, ok := l.Place(now, s, requestAt(now, 1, 3000))
	must.True(t, ok)
	must.Eq(t, admit.Admit, a.Action)
}

// A stream waits for an engine whose run is about to end, and that engine leaves. The stream is refused by the next decision, not when its
// wait ends.
func TestWaitingStreamIsRefusedWhenItsEngineLeaves(t *testing.T) {
	l, f, s := newTestLedger(2)
	now := t0
	for n := range 5 {
		soon := longRun(1, s.Engines()[0], n)
		soon.Remaining = 103 - 25*n
		now = t0.Add(time.Duration(n) * 250 * time.Millisecond)
		l.Report(now, report(s, "i", uint64(n+1), soon, longRun(2, s.Engines()[1], n)))
	}
	decideForLong(l, s, now)
	_, ok := l.Place(now, s, requestAt(now, 1, 3000))
	must.False(t, ok)
	must.SliceEmpty(t, l.DecideWaiting(now.Add(10*time.Millisecond)))
	f.MarkLeaving(now.Add(11*time.Millisecond), s.Engines()[0], 0)
	got := l.DecideWaiting(now.Add(15 * time.Millisecond))
	must.Len(t, 1, got)
	must.Eq(t, admit.RetryLater, got[0].Action)
	must.Eq(t, Forecast, got[0].Cause)
	must.False(t, l.HasWaiting())
}

// A caller comes back at the time it was given. Refused again it would be left with nothing, so it waits to the end.
func TestRetryIsNotRefusedAtOnce(t *testing.T) {
	l, _, s := newTestLedger(2)
	now := fillEngines(l, s, "i")
	a, _ := l.Place(now, s, requestAt(now, 1, 3000))
	later := now.Add(a.After)
	for n, at := 6, now; at.Before(later); n, at = n+1, at.Add(250*time.Millisecond) {
		l.Report(at, report(s, "i", uint64(n), longRun(1, s.Engines()[0], n), longRun(2, s.Engines()[1], n)))
	}
	again := requestAt(later, 2, 3000)
	again.Fingerprint = 1
	_, ok := l.Place(later, s, again)
	must.False(t, ok)
	must.SliceEmpty(t, l.DecideWaiting(later.Add(time.Second)))
}

// Several runs end one after another, and as many streams are refused together. Their retry times follow the releases: nobody comes before
// those who were promised room first, and not all at once.
func TestRetryTimesFollowReleases(t *testing.T) {
	const n = 4
	l, _, s := newTestLedger(n)
	now := fillEngines(l, s, "i")
	var runs []Run
	for i, e := range s.Engines() {
		r := Run{ID: uint64(100 + i), Target: e, Tokens: 8000, Remaining: 60 + 150*i}
		runs = append(runs, r)
		for range 200 {
			l.room[s.Key].lengths.End(r.Remaining, r.Remaining) // hints are right
		}
	}
	l.Report(now, report(s, "i", 9, runs...))
	last := time.Duration(0)
	for id := range uint64(n) {
		l.room[s.Key].inflow = inflow{} // no more are expected
		req := requestAt(now, id+1, 6000)
		req.Stream.Arrived = now.Add(-time.Second) // its wait is over
		req.Stream.Need.Peak.Remaining = 2000
		a, ok := l.Place(now, s, req)
		must.True(t, ok)
		must.Eq(t, Waited, a.Cause)
		must.GreaterEq(t, last, a.After, must.Sprint(id))
		last = a.After
	}
	must.Greater(t, 2*time.Second, last)
	must.Len(t, n, l.room[s.Key].promises)
}

// Room was left for streams that had been refused at once. The margin widens until far fewer are; right refusals restore it slowly.
func TestWrongRefusalsWidenMargin(t *testing.T) {
	var m margin
	stream := placeRequest("i", 1, 3000).Stream
	for range 10 {
		m.watch(t0, &stream)
		m.check(t0, func(admit.Stream) bool { return true })
	}
	must.Eq(t, 10, m.wrong)
	must.Less(t, 400*time.Millisecond, m.applyTo(time.Second))
	for range 300 {
		m.watch(t0, &stream)
		m.expire(stream.WaitDeadline())
	}
	must.Eq(t, 300, m.right)
	must.Eq(t, time.Second, m.applyTo(time.Second))
	for range 10 * maxWatched {
		m.watch(t0, &stream)
	}
	must.Len(t, maxWatched, m.watched)
}

// Thousands of invented runs, shards and callers are reported. What is kept of them is bounded.
func TestForecastStateIsBounded(t *testing.T) {
	l, _, s := newTestLedger(1)
	for i := range maxRoomShards + 10 {
		l.Report(t0, Report{Shard: fmt.Sprint("invented ", i), Instance: "i", Incarnation: 1, Seq: 1})
	}
	must.MapLen(t, maxRoomShards, l.room)
	r := &shardRoom{progress: newProgress()}
	var runs []Run
	for i := range maxTrackedRuns + 10 {
		runs = append(runs, Run{ID: uint64(i + 1), Target: s.Engines()[0], Tokens: 1})
	}
	r.observe(t0, nil, runs, func(string) bool { return false })
	must.MapLen(t, maxTrackedRuns, r.runs)
	for i := range 100 {
		r.paces[fmt.Sprint("gone ", i)] = time.Millisecond
	}
	r.paces["here"] = time.Millisecond
	r.expire([]string{"here"})
	must.MapLen(t, 1, r.paces)
	for i := range uint64(maxPromises + 10) {
		r.addPromise(t0, promise{fingerprint: i, at: t0.Add(time.Second)})
	}
	must.Len(t, maxPromises, r.promises)
	r.addPromise(t0.Add(time.Second+promiseTTL+1), promise{at: t0.Add(time.Minute)})
	must.Len(t, 1, r.promises)
}

// The last engine of a shard leaves during a pass over the waiting requests, after the forecast for the pass was computed. The retry time
// of one request notices that no engine is left to forecast; the next request is still decided.
func TestPassOutlastsItsForecast(t *testing.T) {
	l, f, s := newTestLedger(1)
	now := fillEngines(l, s, "i")
	pass := l.newWaitingPass(now)
	must.NotNil(t, pass.shard(s))
	f.MarkLeaving(now, s.Engines()[0], 0)
	req := requestAt(now, 1, 3000)
	l.retryAfter(now, s, &req, admit.MinRetryAfter)
	must.Nil(t, l.room[s.Key].forecast)
	a, ok := pass.refuse(&waitingRequest{PlaceRequest: requestAt(now, 2, 3000), shard: s})
	must.True(t, ok)
	must.Eq(t, admit.RetryLater, a.Action)
}

// An instance starts anew and requests a placement before its first report. Its earlier runs are no longer tracked: with each start they
// would take more of the bounded table, until the progress of no run is observed.
func TestRunsOfEarlierIncarnationAreNotTracked(t *testing.T) {
	l, _, s := newTestLedger(2)
	l.Report(t0, report(s, "i", 1, Run{ID: 1, Target: s.Engines()[0], Tokens: 10}, Run{ID: 2, Target: s.Engines()[1], Tokens: 10}))
	must.MapLen(t, 2, l.room[s.Key].runs)
	req := requestAt(t0, 1, 10)
	req.Incarnation = 2
	a, ok := l.Place(t0, s, req)
	must.True(t, ok)
	must.Eq(t, admit.Admit, a.Action)
	must.MapEmpty(t, l.room[s.Key].runs)
}

// A caller ignores its retry time and comes again at once, many times. Room is kept for it once, not for each refusal.
func TestRepeatedRefusalsOfACallerKeepRoomOnce(t *testing.T) {
	l, _, s := newTestLedger(2)
	now := fillEngines(l, s, "i")
	for id := range uint64(10) {
		req := requestAt(now, id+1, 3000)
		req.Fingerprint = 7
		a, ok := l.Place(now, s, req)
		must.True(t, ok)
		must.Eq(t, Forecast, a.Cause)
	}
	must.Len(t, 1, l.room[s.Key].promises)
}

// Every stream is refused on arrival, so that none waits and no pass looks for room. Room comes before the wait of a refused stream would
// have ended, and a smaller stream takes a part of it: the refusal counts as wrong.
func TestRefusalIsCheckedWhileNothingWaits(t *testing.T) {
	l, _, s := newTestLedger(2)
	now := fillEngines(l, s, "i")
	a, _ := l.Place(now, s, requestAt(now, 1, 3000))
	must.Eq(t, Forecast, a.Cause)
	must.False(t, l.HasWaiting())
	now = now.Add(200 * time.Millisecond)
	l.Report(now, report(s, "i", 9)) // all runs have ended
	a, _ = l.Place(now, s, requestAt(now, 2, 3000))
	must.Eq(t, admit.Admit, a.Action)
	must.Eq(t, 1, l.room[s.Key].margin.wrong)
	must.Eq(t, 0, l.room[s.Key].margin.right)
}

// Shards that this instance was a candidate for have filled the table of those that room is forecast for. Those without requests and
// reports are dropped, so that new shards are observed.
func TestUnusedShardsAreDropped(t *testing.T) {
	l, _, s := newTestLedger(2)
	for i := range maxRoomShards {
		l.Report(t0, Report{Shard: fmt.Sprint("earlier ", i), Instance: "i", Incarnation: 1, Seq: 1})
	}
	l.Tick(t0.Add(roomTTL))
	must.MapLen(t, maxRoomShards, l.room)
	now := t0.Add(roomTTL + time.Second)
	l.Tick(now)
	l.Report(now, report(s, "i", 1, longRun(1, s.Engines()[0], 0)))
	must.MapLen(t, 1, l.room)
	must.MapLen(t, 1, l.holders)
	must.MapLen(t, 1, l.room[s.Key].runs)
}

// A request names an implausibly long output while engines are slow. The time for which it takes memory stays positive: otherwise it would
// count as room for others.
func TestImplausibleLengthKeepsDemandPositive(t *testing.T) {
	l, _, s := newTestLedger(1)
	r := l.roomOf(s.Key)
	r.pace = 5 * time.Second
	req := requestAt(t0, 1, 3000)
	req.Stream.Need.Peak.Remaining = 1 << 31
	must.Positive(t, l.expected(r, &req.Stream).Lasts)
}
