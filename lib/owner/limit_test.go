package owner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fleet"
)

// Every engine of a shard accepts two streams a second, and thirty arrive at once. Those that can't be served in time are rejected at
// once; those that wait are served, and no limit is exceeded.
func TestStreamsBeyondEngineLimitsAreRefusedAtOnce(t *testing.T) {
	const n, perSecond, requests = 3, 2.0, 30
	l, f, s := newTestLedger(n)
	for _, id := range s.Engines() {
		f.ApplyLimit(id, fleet.LimitNotice{Limit: fleet.Limit{On: true, PerSecond: perSecond}, RequestedAt: t0, ReceivedAt: t0})
	}
	began, refused := 0, 0
	count := func(a Answer) {
		if a.Action == admit.Admit {
			began++
			return
		}
		must.Eq(t, admit.RetryLater, a.Action)
		must.Positive(t, a.After)
		refused++
	}
	for id := range uint64(requests) {
		if a, ok := l.Place(t0, s, placeRequest("i", id, 100)); ok {
			count(a)
		}
	}
	atOnce := refused
	for at := 10 * time.Millisecond; l.HasWaiting() && at < 2*time.Second; at += 10 * time.Millisecond {
		for id := range uint64(requests) {
			l.Place(t0.Add(at), s, placeRequest("i", id, 100)) // retransmitted: they are still wanted
		}
		for _, a := range l.DecideWaiting(t0.Add(at)) {
			count(a)
		}
	}
	must.Eq(t, requests, began+refused)
	must.GreaterEq(t, 2*n, began)
	must.LessEq(t, n*(2+2), began)
	must.LessEq(t, 3, refused-atOnce)
}

// One engine of a shard has no limit: streams wait for capacity as usual.
func TestStreamsWaitWhereAnEngineHasNoLimit(t *testing.T) {
	l, f, s := newTestLedger(2)
	f.ApplyLimit(s.Engines()[0], fleet.LimitNotice{Limit: fleet.Limit{On: true}, RequestedAt: t0, ReceivedAt: t0})
	for id := range uint64(6) {
		a, ok := l.Place(t0, s, placeRequest("i", id, 9000))
		if ok {
			must.Eq(t, admit.Admit, a.Action)
		}
	}
	must.True(t, l.HasWaiting())
}
