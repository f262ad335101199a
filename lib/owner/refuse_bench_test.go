package owner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// crowdedLedger returns the ledger of 32 engines with eight runs each, for which 64 requests wait that no engine has room for.
func crowdedLedger(b *testing.B, noForecast bool) (*Ledger, *Shard, time.Time) {
	const engineCount, runsEach, waiting = 32, 8, 64
	l, _, s := newTestLedger(engineCount)
	l.noForecast = noForecast
	now := t0
	for n := range 5 {
		var runs []Run
		for i := range engineCount * runsEach {
			runs = append(runs, Run{ID: uint64(i + 1), Target: s.Engines()[i%engineCount], Tokens: 1150 + 25*n, Remaining: 5*i + 200 - 25*n})
		}
		now = t0.Add(time.Duration(n) * 250 * time.Millisecond)
		l.Report(now, report(s, "i", uint64(n+1), runs...))
	}
	for id := range uint64(waiting) {
		req := requestAt(now, id+1, 800+10*int(id))
		req.Stream.Objective = time.Hour
		l.Place(now, s, req)
	}
	must.Len(b, waiting, l.waiting)
	return l, s, now
}

func benchmarkBoth(b *testing.B, run func(b *testing.B, noForecast bool)) {
	b.Run("forecast", func(b *testing.B) { run(b, false) })
	b.Run("no-forecast", func(b *testing.B) { run(b, true) })
}

// BenchmarkDecideWaitingWithForecast measures a pass over the waiting requests, 10 ms after the last.
func BenchmarkDecideWaitingWithForecast(b *testing.B) {
	benchmarkBoth(b, func(b *testing.B, noForecast bool) {
		l, _, now := crowdedLedger(b, noForecast)
		for b.Loop() {
			now = now.Add(10 * time.Millisecond)
			for _, w := range l.waiting {
				w.lastSeen = now
			}
			l.DecideWaiting(now)
		}
		must.Len(b, 64, l.waiting)
	})
}

// BenchmarkPlaceWithoutRoom measures the decision on one more request, 10 ms after the last.
func BenchmarkPlaceWithoutRoom(b *testing.B) {
	benchmarkBoth(b, func(b *testing.B, noForecast bool) {
		l, s, now := crowdedLedger(b, noForecast)
		l.DecideWaiting(now)
		id := uint64(1000)
		for b.Loop() {
			now = now.Add(10 * time.Millisecond)
			id++
			if r := l.room[s.Key]; r != nil {
				r.at, r.demandAt = now, now // the passes over the waiting requests keep it current
			}
			req := requestAt(now, id, 900)
			req.Stream.Objective = time.Hour
			l.Place(now, s, req)
			l.dropWaiting(req.Key)
		}
		must.Len(b, 64, l.waiting)
	})
}

// BenchmarkReport measures a report of twelve runs.
func BenchmarkReport(b *testing.B) {
	benchmarkBoth(b, func(b *testing.B, noForecast bool) {
		l, _, s := newTestLedger(12)
		l.noForecast = noForecast
		now, seq := t0, uint64(0)
		for b.Loop() {
			now, seq = now.Add(20*time.Millisecond), seq+1
			runs := make([]Run, 0, 12)
			for i, e := range s.Engines() {
				runs = append(runs, Run{ID: uint64(i), Target: e, Tokens: 1000 + 2*int(seq%1000), Remaining: 500})
			}
			l.Report(now, report(s, "i", seq, runs...))
		}
	})
}
