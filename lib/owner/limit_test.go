package owner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fleet"
)

// All engines of a shard take two streams a second, and thirty come at once. Those that can't have their turn before they would be
// late are told so when they come; those told to wait are served, and no limit is passed.
func TestStreamsThatLimitsLeaveNoTurnAreRefusedAtOnce(t *testing.T) {
	const n, perSecond, asked = 3, 2.0, 30
	b, f, s := testBook(n)
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
	for id := range uint64(asked) {
		if a, ok := b.Place(t0, s, ask("i", id, 100)); ok {
			count(a)
		}
	}
	atOnce := refused
	for at := 10 * time.Millisecond; b.HasWaiting() && at < 2*time.Second; at += 10 * time.Millisecond {
		for id := range uint64(asked) {
			b.Place(t0.Add(at), s, ask("i", id, 100)) // they are still wanted
		}
		for _, a := range b.DecideWaiting(t0.Add(at)) {
			count(a)
		}
	}
	must.Eq(t, asked, began+refused)
	must.GreaterEq(t, 2*n, began)
	must.LessEq(t, n*(2+2), began)
	must.LessEq(t, 3, refused-atOnce)
}

// One engine of a shard has no limit: streams wait for room as always.
func TestStreamsWaitWhereAnEngineHasNoLimit(t *testing.T) {
	b, f, s := testBook(2)
	f.ApplyLimit(s.Engines()[0], fleet.LimitNotice{Limit: fleet.Limit{On: true}, RequestedAt: t0, ReceivedAt: t0})
	for id := range uint64(6) {
		a, ok := b.Place(t0, s, ask("i", id, 9000))
		if ok {
			must.Eq(t, admit.Admit, a.Action)
		}
	}
	must.True(t, b.HasWaiting())
}
