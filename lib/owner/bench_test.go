package owner

import (
	"fmt"
	"testing"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
)

// BenchmarkDecideWaiting measures the decisions on 64 waiting streams for 32 engines with six runs each, reported by 16 instances. All
// have memory for one more stream, but too much to prefill.
func BenchmarkDecideWaiting(b *testing.B) {
	l, s := benchLedger()
	now := t0.Add(time.Millisecond)
	for b.Loop() {
		if out := l.DecideWaiting(now); len(out) != 0 {
			b.Fatalf("%d of the streams were answered", len(out))
		}
	}
	if n := l.waitingTokens(s.Key); n != 64*400 {
		b.Fatalf("%d tokens wait", n)
	}
}

// BenchmarkPlaceWithPauseObjective measures one decision that grants an engine, with 32 engines that have memory for one more stream.
func BenchmarkPlaceWithPauseObjective(b *testing.B) {
	l, s := benchLedger()
	now, id := t0.Add(time.Millisecond), uint64(1000)
	for b.Loop() {
		id++
		req := benchRequest(id)
		req.Stream.Objective = 0
		a, ok := l.Place(now, s, req)
		if !ok || a.Target == "" {
			b.Fatalf("not placed: %+v", a)
		}
		h := l.holders[s.Key][req.Instance]
		h.grants = h.grants[:0]
		l.publish(now, h)
		delete(l.answers, req.Key)
	}
}

func benchRequest(id uint64) PlaceRequest {
	req := placeRequest("requester", id, 400)
	req.Stream.Objective = time.Minute
	req.Stream.GapObjective = 180 * time.Millisecond
	req.Stream.Need.Peak = fleet.Size{Held: 400, Remaining: 200}
	return req
}

func benchLedger() (*Ledger, *Shard) {
	l, f, s := newTestLedger(32)
	for i := range 16 {
		var runs []Run
		for k := range 12 {
			e := s.Engines()[(2*i+k)%32]
			runs = append(runs, Run{ID: uint64(100*i + k), Target: e, Tokens: 1200, Expected: 100, Unread: 50, Remaining: 200 + 10*k})
		}
		l.Report(t0, report(s, fmt.Sprint("i", i), 1, runs...))
	}
	f.SetSpecs(map[string]fleet.Spec{"s": {KVTokens: kv, GapObjective: 180 * time.Millisecond, TokensPerEvent: 4}})
	l.prefillRates.Observe("s", 1, time.Second) // the prompts that wait on any engine take longer than the objective allows
	for id := range uint64(64) {
		l.Place(t0, s, benchRequest(1+id))
	}
	return l, s
}
