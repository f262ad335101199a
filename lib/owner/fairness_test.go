package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fairqueue"
)

func fullEngine(l *Ledger, s *Shard, now time.Time, seq uint64, tokens int) {
	l.Report(now, report(s, "i", seq, Run{ID: 1, Target: s.Engines()[0], Tokens: tokens}))
}

func requestOf(workspace uint64, instance string, arrived time.Time, tokens int) PlaceRequest {
	a := placeRequest(instance, 1, tokens)
	a.Stream.Workspace, a.Stream.Arrived = workspace, arrived
	return a
}

// One workspace fills the queue of a full engine; then a stream of another one arrives. Capacity that is released goes to the other
// workspace first, before streams that stop waiting sooner, and a newcomer of the large one does not take it in between.
func TestStreamOfSmallWorkspaceGoesAhead(t *testing.T) {
	l, _, s := newTestLedger(1)
	for i := range 3 {
		_, ok := l.Place(t0, s, requestOf(1, fmt.Sprint("granted", i), t0, 3000))
		must.True(t, ok)
	}
	fullEngine(l, s, t0, 1, 9000)
	for i := range 5 {
		_, ok := l.Place(t0, s, requestOf(1, fmt.Sprint("many", i), t0, 3000))
		must.False(t, ok)
	}
	arrived := t0.Add(100 * time.Millisecond)
	_, ok := l.Place(arrived, s, requestOf(2, "few", arrived, 3000))
	must.False(t, ok)
	must.SliceEmpty(t, l.DecideWaiting(arrived))

	l.Tick(t0.Add(grantTTL))
	now := arrived.Add(200 * time.Millisecond)
	l.Report(now, report(s, "i", 2))
	_, ok = l.Place(now, s, requestOf(1, "newcomer", now, 3000))
	must.False(t, ok)
	got := l.DecideWaiting(now)
	must.Positive(t, len(got))
	must.Eq(t, "few", got[0].Instance)
	must.Eq(t, fairqueue.Ahead, got[0].Move)
	must.Eq(t, 200*time.Millisecond, got[0].Waited)
}

// Of two streams whose workspaces are about equal the more urgent goes first, although it stops waiting a little later.
func TestMoreUrgentStreamGoesFirst(t *testing.T) {
	l, _, s := newTestLedger(1)
	fullEngine(l, s, t0, 1, 9000)
	less := requestOf(1, "less", t0, 3000)
	less.Stream.Priority = 2
	more := requestOf(1, "more", t0.Add(50*time.Millisecond), 3000)
	for _, req := range []PlaceRequest{less, more} {
		_, ok := l.Place(req.Stream.Arrived, s, req)
		must.False(t, ok)
	}
	now := t0.Add(60 * time.Millisecond)
	l.Report(now, report(s, "i", 2))
	got := l.DecideWaiting(now)
	must.Len(t, 2, got)
	must.Eq(t, "more", got[0].Instance)
	must.Eq(t, fairqueue.Back, got[1].Move)
}

// A stream of a large workspace has nearly waited out its time when streams of small ones arrive. It is not overtaken any more.
func TestStreamNearItsDeadlineIsNotOvertaken(t *testing.T) {
	l, _, s := newTestLedger(1)
	_, ok := l.Place(t0, s, requestOf(1, "granted", t0, 9000))
	must.True(t, ok)
	fullEngine(l, s, t0, 1, 9000)
	old := requestOf(1, "old", t0, 3000)
	old.Stream.Priority = 1
	_, ok = l.Place(t0, s, old)
	must.False(t, ok)
	wait := old.Stream.WaitDeadline().Sub(t0)
	now := t0.Add(time.Duration(fairqueue.MaxShift*float64(wait)) + time.Millisecond)
	_, ok = l.Place(now, s, old) // retransmitted: it is still wanted
	must.False(t, ok)
	_, ok = l.Place(now, s, requestOf(2, "new", now, 3000))
	must.False(t, ok)
	must.SliceEmpty(t, l.DecideWaiting(now))
	l.Tick(t0.Add(grantTTL))
	l.Report(now, report(s, "i", 2))
	got := l.DecideWaiting(now)
	must.Positive(t, len(got))
	must.Eq(t, "old", got[0].Instance)
	must.True(t, got[0].KeptTurn)
}

// The owner of a shard is lost. The next one has no accounts: it decides waiting streams in the order in which their waits end.
func TestNewOwnerOrdersByDeadline(t *testing.T) {
	l, _, s := newTestLedger(1)
	fullEngine(l, s, t0, 1, 9000)
	for i := range 5 {
		at := t0.Add(time.Duration(i) * 10 * time.Millisecond)
		_, ok := l.Place(at, s, requestOf(uint64(5-i), fmt.Sprint(i), at, 1000))
		must.False(t, ok)
	}
	now := t0.Add(60 * time.Millisecond)
	l.Report(now, report(s, "i", 2))
	got := l.DecideWaiting(now)
	must.Len(t, 5, got)
	for i, a := range got {
		must.Eq(t, fmt.Sprint(i), a.Instance)
		must.Eq(t, admit.Admit, a.Action)
	}
}

// Requests name ten thousand workspaces. The accounts stay bounded, and are gone some time after the requests end.
func TestAccountsOfInventedWorkspacesAreBounded(t *testing.T) {
	l, _, s := newTestLedger(1)
	for i := range uint64(10_000) {
		req := requestOf(i, "i", t0, 10)
		l.charge(t0, s, &req)
	}
	must.Eq(t, fairqueue.MaxWorkspaces, l.fairness[s.Key].accounts.Len())
	l.Tick(t0.Add(time.Minute))
	must.MapEmpty(t, l.fairness)
}

// BenchmarkDecideWaitingOfWorkspaces measures a pass over 64 or the most waiting streams of 24 workspaces, for 32 full engines.
func BenchmarkDecideWaitingOfWorkspaces(b *testing.B) {
	for _, waiting := range []int{64, maxWaiting} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			l, _, s := newTestLedger(32)
			var full []Run
			for i, id := range s.Engines() {
				full = append(full, Run{ID: uint64(i + 1), Target: id, Tokens: 9000})
			}
			l.Report(t0, report(s, "i", 1, full...))
			for i := range waiting {
				req := requestOf(uint64(i%24), fmt.Sprint("w", i), t0.Add(time.Duration(i)*time.Microsecond), 3000)
				req.Stream.Priority = i % 3
				l.Place(t0, s, req)
			}
			for b.Loop() {
				l.DecideWaiting(t0)
			}
			must.Len(b, waiting, l.waiting)
		})
	}
}
