package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/moveplan"
)

var t0 = time.Unix(1_000_000, 0)

const kv = 10_000

// newTestLedger returns an owner's ledger for n engines of kv tokens.
func newTestLedger(n int) (*Ledger, *fleet.Fleet, *Shard) {
	f := fleet.New("z0")
	f.SetSpecs(map[string]fleet.Spec{"s": {KVTokens: kv}})
	f.SetRandom(func() float64 { return 0 })
	f.Apply(t0, engines(n, 1), nil, 0)
	l := NewLayout(f.Engines(fleet.Ready), instances(3, 1))
	return NewLedger("owner", f, new(admit.PrefillRates)), f, l.HomeShard("s", "z0", "owner")
}

func placeRequest(instance string, id uint64, tokens int) PlaceRequest {
	need := fleet.Need{Service: "s", Tokens: tokens, Unread: tokens, Peak: fleet.Size{Held: tokens}}
	return PlaceRequest{
		Key: Key{Instance: instance, Incarnation: 1, ID: id}, Run: 100 + id,
		Stream: admit.Stream{Arrived: t0, Objective: time.Second, MaxRetryAfter: 10 * time.Second, Need: need},
	}
}

func report(s *Shard, instance string, seq uint64, runs ...Run) Report {
	return Report{Shard: s.Key, Instance: instance, Incarnation: 1, Seq: seq, Runs: runs}
}

// Many instances send requests within a millisecond, before any of them can report its grants. Each grant counts from the decision:
// the engines are filled evenly, and the request that does not fit waits.
func TestGrantsCountFromDecision(t *testing.T) {
	l, f, s := newTestLedger(4)
	given := make(map[string]int)
	for i := range 8 {
		a, ok := l.Place(t0, s, placeRequest(fmt.Sprint("i", i), 1, 4500))
		must.True(t, ok)
		must.Eq(t, admit.Admit, a.Action)
		given[a.Target]++
	}
	for id, n := range given {
		must.Eq(t, 2, n, must.Sprint(id))
	}
	_, ok := l.Place(t0, s, placeRequest("late", 1, 4500))
	must.False(t, ok)
	must.True(t, l.HasWaiting())
	must.Greater(t, 0.8, f.Utilization(s.Engines(), 0))
}

// An answer is lost, and Tick runs before the request is retransmitted, which happens every 0.05 s, and after 0.2 s while it waits. A
// second grant would count the run twice until its instance reports it, and reject as much as it takes.
func TestRetransmittedRequestKeepsAnswerAfterTick(t *testing.T) {
	l, f, s := newTestLedger(1)
	first, ok := l.Place(t0, s, placeRequest("i", 1, 6000))
	must.True(t, ok)
	for _, later := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, time.Second} {
		now := t0.Add(later)
		l.Tick(now)
		again, ok := l.Place(now, s, placeRequest("i", 1, 6000))
		must.True(t, ok, must.Sprint(later))
		must.Eq(t, first.Serial, again.Serial, must.Sprint(later))
		must.Eq(t, first.Target, again.Target, must.Sprint(later))
	}
	must.LessEq(t, 0.61*2+0.61, f.Utilization(s.Engines(), 0)) // one run: its memory and its pending prefill
}

// An answer is lost and the request is retransmitted. It gets the same answer: a second grant would count the run twice.
func TestRetransmittedRequestIsAnsweredOnce(t *testing.T) {
	l, f, s := newTestLedger(4)
	first, ok := l.Place(t0, s, placeRequest("i", 1, 4000))
	must.True(t, ok)
	fill := f.Utilization(s.Engines(), 0)
	again, ok := l.Place(t0.Add(50*time.Millisecond), s, placeRequest("i", 1, 4000))
	must.True(t, ok)
	must.Eq(t, first.Target, again.Target)
	must.Eq(t, first.Serial, again.Serial)
	must.Eq(t, fill, f.Utilization(s.Engines(), 0))
	must.True(t, l.Knows(Key{Instance: "i", Incarnation: 1, ID: 1}))
}

// A grant counts until its instance reports the run, and not in addition to the report. One that the instance received but does not
// use, or that was lost on the way, is released.
func TestReportReplacesGrant(t *testing.T) {
	l, f, s := newTestLedger(1)
	e := s.Engines()[0]
	a, _ := l.Place(t0, s, placeRequest("i", 1, 3000))
	must.Eq(t, 1, f.KnownState(t0, e).Load.Runs)
	run := Run{ID: 101, Target: e, Tokens: 3000}
	must.True(t, l.Report(t0, report(s, "i", 1, run)))
	must.Eq(t, fleet.Load{Runs: 1, Tokens: 3000}, f.KnownState(t0, e).Load)

	a, _ = l.Place(t0, s, placeRequest("i", 2, 2000))
	r := report(s, "i", 2, run)
	r.LastGrant = a.Serial
	must.True(t, l.Report(t0.Add(10*time.Millisecond), r)) // the run may not have been reported yet
	must.Eq(t, 2, f.KnownState(t0, e).Load.Runs)
	r.Seq = 3
	must.True(t, l.Report(t0.Add(200*time.Millisecond), r))
	must.Eq(t, 1, f.KnownState(t0, e).Load.Runs)

	_, ok := l.Place(t0.Add(200*time.Millisecond), s, placeRequest("lost", 1, 2000))
	must.True(t, ok)
	l.Tick(t0.Add(200*time.Millisecond + grantTTL))
	must.Eq(t, 1, f.KnownState(t0, e).Load.Runs)
}

// An engine is full and a stream waits. When the runs there end, the stream is placed without a retransmission. A request whose
// caller has left is not retransmitted and gets nothing.
func TestWaitingStreamGetsFreedCapacity(t *testing.T) {
	l, _, s := newTestLedger(1)
	l.Report(t0, report(s, "i", 1, Run{ID: 1, Target: s.Engines()[0], Tokens: 9000}))
	_, ok := l.Place(t0, s, placeRequest("a", 1, 3000))
	must.False(t, ok)
	_, ok = l.Place(t0, s, placeRequest("gone", 1, 3000))
	must.False(t, ok)
	must.SliceEmpty(t, l.DecideWaiting(t0.Add(20*time.Millisecond)))
	_, ok = l.Place(t0.Add(200*time.Millisecond), s, placeRequest("a", 1, 3000))
	must.False(t, ok)
	l.Report(t0.Add(210*time.Millisecond), report(s, "i", 2))
	got := l.DecideWaiting(t0.Add(220 * time.Millisecond))
	must.Len(t, 2, got) // requestTTL has not expired for either
	must.Eq(t, "a", got[0].Instance)

	l.Report(t0.Add(230*time.Millisecond), report(s, "i", 3, Run{ID: 1, Target: s.Engines()[0], Tokens: 9900}))
	late := placeRequest("late", 1, 3000)
	late.Stream.Arrived = t0.Add(240 * time.Millisecond)
	_, ok = l.Place(t0.Add(240*time.Millisecond), s, late)
	must.False(t, ok)
	l.Report(t0.Add(800*time.Millisecond), report(s, "i", 4))
	must.SliceEmpty(t, l.DecideWaiting(t0.Add(800*time.Millisecond)))
	must.False(t, l.HasWaiting())
}

// A stream that finds no capacity in its share of the latency objective is rejected with a retry time between one second and its
// caller's maximum.
func TestStreamWithoutCapacityIsRejected(t *testing.T) {
	l, _, s := newTestLedger(1)
	l.Report(t0, report(s, "i", 1, Run{ID: 1, Target: s.Engines()[0], Tokens: 9000}))
	late := placeRequest("a", 1, 3000)
	late.Stream.Arrived = t0.Add(-time.Second)
	a, ok := l.Place(t0, s, late)
	must.True(t, ok)
	must.Eq(t, admit.RetryLater, a.Action)
	must.GreaterEq(t, time.Second, a.After)
	must.LessEq(t, 10*time.Second, a.After)
	// A run that an engine rejected gets the best engine, however full; a run that is moved needs an engine that holds it.
	again := placeRequest("a", 2, 3000)
	again.Mode = Any
	a, ok = l.Place(t0, s, again)
	must.True(t, ok)
	must.Eq(t, admit.Admit, a.Action)
	move := placeRequest("a", 3, 3000)
	move.Mode = MustFit
	a, ok = l.Place(t0, s, move)
	must.True(t, ok)
	must.Eq(t, admit.Fallback, a.Action)
}

// Reports overtake each other, are duplicated, or arrive late from a process that was replaced. Only newer ones count. Once an
// instance is silent, any does: its clock may have been set back before it restarted.
func TestStaleReportsAreIgnored(t *testing.T) {
	l, f, s := newTestLedger(1)
	e := s.Engines()[0]
	must.True(t, l.Report(t0, report(s, "i", 5, Run{ID: 1, Target: e, Tokens: 500})))
	must.False(t, l.Report(t0, report(s, "i", 5)))
	must.False(t, l.Report(t0, report(s, "i", 4)))
	newer := report(s, "i", 1)
	newer.Incarnation = 2
	must.True(t, l.Report(t0, newer))
	must.False(t, l.Report(t0, report(s, "i", 9)))
	must.Eq(t, 0, f.KnownState(t0, e).Load.Runs)
	must.True(t, l.Report(t0.Add(reportTTL+time.Millisecond), report(s, "i", 1)))
}

// Reports with implausible sums, unknown engines, or from thousands of invented instances make choices worse, but overflow nothing,
// and the state kept of them is bounded.
func TestImplausibleReportsAreBounded(t *testing.T) {
	l, f, s := newTestLedger(2)
	e := s.Engines()[0]
	implausible := Run{ID: 1, Target: e, Tokens: 1 << 62, Expected: 1 << 62, Unread: -5, Remaining: 1 << 62}
	must.True(t, l.Report(t0, report(s, "liar", 1, implausible, Run{ID: 2, Target: "nobody", Tokens: 5})))
	load := f.KnownState(t0, e).Load
	must.Eq(t, 2*maxTokens, load.Tokens)
	must.Eq(t, 0, load.Unread)
	a, ok := l.Place(t0, s, placeRequest("i", 1, 3000))
	must.True(t, ok)
	must.Eq(t, s.Engines()[1], a.Target)
	for i := range maxHolders + 10 {
		l.Report(t0, report(s, fmt.Sprint("made up ", i), 1))
	}
	must.MapLen(t, maxHolders, l.holders[s.Key])
	l.Tick(t0.Add(2 * reportTTL))
	must.MapEmpty(t, l.holders[s.Key])
	must.Eq(t, 0, f.KnownState(t0, e).Load.Runs)
}

// Hundreds of instances each send a stream to one engine every minute: none could learn alone that the engine fails. The owner
// combines the outcomes of all, and sends less there after a few failures.
func TestOwnerCombinesOutcomesOfAllInstances(t *testing.T) {
	l, _, s := newTestLedger(2)
	bad := s.Engines()[0]
	for i := range 12 {
		r := report(s, fmt.Sprint("i", i), 1)
		r.Outcomes = []Outcomes{{Target: bad, Failed: 1}}
		must.True(t, l.Report(t0, r))
		r.Seq = 2 // a repeated report does not count again
		must.True(t, l.Report(t0, r))
	}
	for i := range 3 {
		a, _ := l.Place(t0, s, placeRequest("i", uint64(i), 1000))
		must.Eq(t, s.Engines()[1], a.Target)
	}
}

// Two instances have runs on an engine that leaves. The owner plans their moves together, so that no link carries two copies at a
// time, and capacity at the destinations is reserved before they arrive.
func TestMovesArePlannedAcrossInstances(t *testing.T) {
	l, f, s := newTestLedger(3)
	e := s.Engines()[0]
	l.Report(t0, report(s, "a", 1, Run{ID: 1, Target: e, Tokens: 2000, Expected: 1000}, Run{ID: 3, Target: e, Tokens: 10, Pinned: true}))
	l.Report(t0, report(s, "b", 1, Run{ID: 2, Target: e, Tokens: 3000, Expected: 1000}))
	leaving := f.MarkLeaving(t0, e, 0).Leaving
	link := moveplan.Link{TokensPerSecond: 10_000, CrossDomainFactor: 2}
	l.Plan(t0, s, leaving, link)
	now := t0.Add(10 * time.Millisecond)
	movesA := l.Moves(now, s, "a", []uint64{1, 3})
	movesB := l.Moves(now, s, "b", []uint64{2, 77})
	must.Len(t, 1, movesA)
	must.Len(t, 1, movesB)
	must.Eq(t, 0, movesA[0].Start)
	must.Greater(t, 200*time.Millisecond, movesB[0].Start)
	must.Eq(t, 3000, f.KnownState(now, movesA[0].To).Load.Tokens)
	must.Eq(t, movesA, l.Moves(now, s, "a", []uint64{1})) // a repeated request does not count again
	must.Eq(t, 3000, f.KnownState(now, movesA[0].To).Load.Tokens)
	must.Eq(t, []string{"addr"}, users(l, s, e))
}

func users(l *Ledger, s *Shard, engine string) []string {
	r := report(s, "c", 1, Run{ID: 9, Target: engine})
	r.ReplyAddr = "addr"
	l.Report(t0, r)
	var out []string
	for _, addr := range l.Users(s.Key, map[string]bool{engine: true}) {
		if addr != "" {
			out = append(out, addr)
		}
	}
	return out
}

// Another instance's run receives events from an engine while this one's are silent: the engine is under load, not dark.
func TestEngineContactThroughAnyInstance(t *testing.T) {
	l, f, s := newTestLedger(1)
	e := s.Engines()[0]
	l.Report(t0, report(s, "a", 1, Run{ID: 1, Target: e, SinceContact: 900 * time.Millisecond}))
	l.Report(t0, report(s, "b", 1, Run{ID: 2, Target: e, SinceContact: 20 * time.Millisecond}, Run{ID: 3, Target: e, Unread: 10}))
	must.Eq(t, t0.Add(-20*time.Millisecond), f.LastContact(e))
}

// BenchmarkPlace measures one placement by the owner of 32 engines on which 60 instances have five runs each.
func BenchmarkPlace(b *testing.B) {
	ledger, f, s := newTestLedger(32)
	f.SetSpecs(map[string]fleet.Spec{"s": {KVTokens: 1 << 20}})
	for i := range 60 {
		var runs []Run
		for j := range 5 {
			runs = append(runs, Run{ID: uint64(10*i + j), Target: s.Engines()[(i+j)%32], Tokens: 3000, Remaining: 300})
		}
		ledger.Report(t0, report(s, fmt.Sprint("i", i), 1, runs...))
	}
	b.ResetTimer()
	id := uint64(1000)
	for b.Loop() {
		id++
		a := placeRequest("x", id, 3000)
		a.Stream.Arrived = t0
		ledger.Place(t0, s, a)
		ledger.answers = make(map[Key]sentAnswer)
		ledger.holders[s.Key]["x"].grants = nil
		ledger.publish(t0, ledger.holders[s.Key]["x"])
	}
}

// Engines are nearly full, and a large prompt waits for the memory of two small ones. Later small streams would take each piece of memory
// that is released. One engine is reserved for the large prompt until it fits; the small ones use the others.
func TestEngineIsReservedForFirstWaitingStream(t *testing.T) {
	l, _, s := newTestLedger(2)
	reserved, other := s.Engines()[0], s.Engines()[1]
	runs := []Run{{ID: 1, Target: reserved, Tokens: 3000}, {ID: 2, Target: reserved, Tokens: 3000}, {ID: 3, Target: other, Tokens: 7000}}
	l.Report(t0, report(s, "i", 1, runs...))
	_, ok := l.Place(t0, s, placeRequest("large", 1, 6000))
	must.False(t, ok)
	must.SliceEmpty(t, l.DecideWaiting(t0))
	a, ok := l.Place(t0, s, placeRequest("small", 1, 2000))
	must.True(t, ok)
	must.Eq(t, other, a.Target)
	_, ok = l.Place(t0, s, placeRequest("small", 2, 2000))
	must.False(t, ok)
	l.Report(t0.Add(50*time.Millisecond), report(s, "i", 2, runs[1:]...))
	got := l.DecideWaiting(t0.Add(60 * time.Millisecond))
	must.Len(t, 1, got)
	must.Eq(t, "large", got[0].Instance)
	must.Eq(t, reserved, got[0].Target)
}

// Two large prompts wait for a shard of many engines. Small streams that arrive meanwhile leave the two engines with the most free memory
// to them and use the others; in a shard of half the engines they leave one.
func TestLargeShardsKeepMoreEngines(t *testing.T) {
	for engines, left := range map[int]int{2 * enginesPerReserved: 2, 2*enginesPerReserved - 1: 1} {
		l, _, s := newTestLedger(engines)
		var full []Run
		for i, id := range s.Engines() {
			full = append(full, Run{ID: uint64(i + 1), Target: id, Tokens: 6000})
		}
		l.Report(t0, report(s, "i", 1, full...))
		for i := range uint64(2) {
			_, ok := l.Place(t0, s, placeRequest("large", 1+i, 5000))
			must.False(t, ok)
		}
		must.SliceEmpty(t, l.DecideWaiting(t0))
		small := 0
		for i := range uint64(2 * engines) {
			if _, ok := l.Place(t0, s, placeRequest("small", 1+i, 3000)); ok {
				small++
			}
		}
		must.Eq(t, engines-left, small)
	}
}

// Small streams have waited a little longer than a large one, and capacity for either is released now and then. Ordered by deadline, the
// small ones would take it each time until the large one is rejected; so the large one is decided first. Of two of the same size, the
// one that stops waiting sooner goes first.
func TestLargeStreamsAreDecidedFirst(t *testing.T) {
	l, _, s := newTestLedger(1)
	l.Report(t0, report(s, "i", 1, Run{ID: 1, Target: s.Engines()[0], Tokens: 9000}))
	for i, tokens := range []int{1000, 1000, 9000} {
		a := placeRequest(fmt.Sprint("s", i), 1, tokens)
		a.Stream.Arrived = t0.Add(time.Duration(i) * 100 * time.Millisecond)
		_, ok := l.Place(a.Stream.Arrived, s, a)
		must.False(t, ok)
	}
	now := t0.Add(300 * time.Millisecond)
	l.Report(now, report(s, "i", 2))
	got := l.DecideWaiting(now)
	must.Len(t, 1, got)
	must.Eq(t, "s2", got[0].Instance)
	l.Report(now, report(s, "s2", 1, Run{ID: 101, Target: s.Engines()[0], Tokens: 8000}))
	l.Tick(now)
	l.Report(now.Add(time.Millisecond), report(s, "s2", 2))
	got = l.DecideWaiting(now.Add(2 * time.Second / 10))
	must.Eq(t, "s0", got[0].Instance)
}

// A rejected stream is retried as told while another waits that arrived later and can still start in time. That one takes the capacity
// that is released first; the retried one is past its latency objective, so it waits longer and is placed in the end instead of
// rejected again. One that is retried too early is treated like any other: callers gain nothing by retrying at once.
func TestStreamRetriedOnTimeWaitsLonger(t *testing.T) {
	for wait, asTold := range map[time.Duration]bool{0: true, -time.Second: false} {
		l, _, s := newTestLedger(1)
		full := Run{ID: 1, Target: s.Engines()[0], Tokens: 9000}
		l.Report(t0, report(s, "i", 1, full))
		first := placeRequest("turned away", 1, 5000)
		first.Fingerprint = 77
		first.Stream.Arrived = t0.Add(-time.Second)
		a, _ := l.Place(t0, s, first)
		must.Eq(t, admit.RetryLater, a.Action)

		now := t0.Add(a.After + wait)
		l.Report(now, report(s, "i", 2, full))
		back := placeRequest("back", 1, 5000)
		back.Fingerprint = 77
		back.Stream.Arrived = now
		_, ok := l.Place(now, s, back)
		must.False(t, ok)
		other := placeRequest("other", 1, 5000)
		other.Stream.Arrived = now.Add(10 * time.Millisecond)
		_, ok = l.Place(now.Add(10*time.Millisecond), s, other)
		must.False(t, ok)

		l.Report(now, report(s, "i", 3))
		got := l.DecideWaiting(now.Add(20 * time.Millisecond))
		if !asTold {
			must.Eq(t, "back", got[0].Instance) // it arrived first and is treated like a new request
			continue
		}
		must.Eq(t, "other", got[0].Instance)
		var last []Answer
		for at := now; at.Before(now.Add(2 * time.Second)); at = at.Add(200 * time.Millisecond) {
			l.Report(at, report(s, "i", 4+uint64(at.Sub(now)), full))
			must.SliceEmpty(t, last)
			_, ok = l.Place(at, s, back) // retransmitted: it is still wanted
			last = l.DecideWaiting(at)
			must.False(t, ok)
		}
		end := now.Add(2 * time.Second)
		l.Tick(end)
		l.Report(end, report(s, "i", 1<<40))
		got = l.DecideWaiting(end)
		must.Len(t, 1, got)
		must.Eq(t, "back", got[0].Instance)
		must.Eq(t, admit.Admit, got[0].Action)
	}
}

// A retried stream is about to be rejected again when another arrives that can wait longer. The capacity that is released goes to the
// retried one.
func TestEarlierDeadlineGoesFirst(t *testing.T) {
	l, _, s := newTestLedger(1)
	l.Report(t0, report(s, "i", 1, Run{ID: 1, Target: s.Engines()[0], Tokens: 9000}))
	fresh := placeRequest("fresh", 1, 6000)
	_, ok := l.Place(t0, s, fresh)
	must.False(t, ok)
	back := placeRequest("back", 1, 6000)
	back.Stream.IsRetry = true
	back.Stream.Arrived = t0.Add(-2500 * time.Millisecond)
	_, ok = l.Place(t0, s, back)
	must.False(t, ok)
	l.Report(t0, report(s, "i", 2))
	got := l.DecideWaiting(t0.Add(10 * time.Millisecond))
	must.Len(t, 1, got)
	must.Eq(t, "back", got[0].Instance)
}
