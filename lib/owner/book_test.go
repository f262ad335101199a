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

// testBook is an owner's account of n engines of kv tokens.
func testBook(n int) (*Ledger, *fleet.Fleet, *Shard) {
	f := fleet.New("z0")
	f.SetSpecs(map[string]fleet.Spec{"s": {KVTokens: kv}})
	f.SetRandom(func() float64 { return 0 })
	f.Apply(t0, engines(n, 1), nil, 0)
	l := NewLayout(f.Engines(fleet.Ready), instances(3, 1))
	return NewLedger("owner", f, new(admit.PrefillRates)), f, l.HomeShard("s", "z0", "owner")
}

func ask(instance string, id uint64, tokens int) PlaceRequest {
	need := fleet.Need{Service: "s", Tokens: tokens, Unread: tokens, Peak: fleet.Size{Held: tokens}}
	return PlaceRequest{
		Key: Key{Instance: instance, Incarnation: 1, ID: id}, Run: 100 + id,
		Stream: admit.Stream{Arrived: t0, Objective: time.Second, MaxRetryAfter: 10 * time.Second, Need: need},
	}
}

func report(s *Shard, instance string, seq uint64, runs ...Run) Report {
	return Report{Shard: s.Key, Instance: instance, Incarnation: 1, Seq: seq, Runs: runs}
}

// Many instances ask within a millisecond, before any of them can tell what it was given. Each grant counts from the
// moment it is given: the engines are filled evenly and the one too many waits.
func TestGrantsCountAtOnce(t *testing.T) {
	b, f, s := testBook(4)
	given := make(map[string]int)
	for i := range 8 {
		a, ok := b.Place(t0, s, ask(fmt.Sprint("i", i), 1, 4500))
		must.True(t, ok)
		must.Eq(t, admit.Admit, a.Action)
		given[a.Target]++
	}
	for id, n := range given {
		must.Eq(t, 2, n, must.Sprint(id))
	}
	_, ok := b.Place(t0, s, ask("late", 1, 4500))
	must.False(t, ok)
	must.True(t, b.HasWaiting())
	must.Greater(t, 0.8, f.Utilization(s.Engines(), 0))
}

// An answer is lost, and the housekeeping runs before the ask comes again: it is sent every 0.05 s, and after 0.2 s while it waits. A
// second grant would count the run twice until its instance tells of it, and turn away as much as it takes.
func TestAskThatComesAgainLaterIsAnsweredAsBefore(t *testing.T) {
	b, f, s := testBook(1)
	first, ok := b.Place(t0, s, ask("i", 1, 6000))
	must.True(t, ok)
	for _, later := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, time.Second} {
		now := t0.Add(later)
		b.Tick(now)
		again, ok := b.Place(now, s, ask("i", 1, 6000))
		must.True(t, ok, must.Sprint(later))
		must.Eq(t, first.Serial, again.Serial, must.Sprint(later))
		must.Eq(t, first.Target, again.Target, must.Sprint(later))
	}
	must.LessEq(t, 0.61*2+0.61, f.Utilization(s.Engines(), 0)) // one run: its memory and its prompt to read
}

// An answer is lost and the ask comes again. It is answered as before: a second grant would count the run twice.
func TestAskThatComesAgainIsAnsweredAsBefore(t *testing.T) {
	b, f, s := testBook(4)
	first, ok := b.Place(t0, s, ask("i", 1, 4000))
	must.True(t, ok)
	fill := f.Utilization(s.Engines(), 0)
	again, ok := b.Place(t0.Add(50*time.Millisecond), s, ask("i", 1, 4000))
	must.True(t, ok)
	must.Eq(t, first.Target, again.Target)
	must.Eq(t, first.Serial, again.Serial)
	must.Eq(t, fill, f.Utilization(s.Engines(), 0))
	must.True(t, b.Knows(Key{Instance: "i", Incarnation: 1, ID: 1}))
}

// A grant is counted until its instance tells of the run, and not beside it. One that its instance has and does not use,
// or that was lost on the way, is free again.
func TestGrantPassesToTheReport(t *testing.T) {
	b, f, s := testBook(1)
	e := s.Engines()[0]
	a, _ := b.Place(t0, s, ask("i", 1, 3000))
	must.Eq(t, 1, f.KnownState(t0, e).Load.Runs)
	run := Run{ID: 101, Target: e, Tokens: 3000}
	must.True(t, b.Report(t0, report(s, "i", 1, run)))
	must.Eq(t, fleet.Load{Runs: 1, Tokens: 3000}, f.KnownState(t0, e).Load)

	a, _ = b.Place(t0, s, ask("i", 2, 2000))
	r := report(s, "i", 2, run)
	r.LastGrant = a.Serial
	must.True(t, b.Report(t0.Add(10*time.Millisecond), r)) // the run is about to be entered
	must.Eq(t, 2, f.KnownState(t0, e).Load.Runs)
	r.Seq = 3
	must.True(t, b.Report(t0.Add(200*time.Millisecond), r))
	must.Eq(t, 1, f.KnownState(t0, e).Load.Runs)

	_, ok := b.Place(t0.Add(200*time.Millisecond), s, ask("lost", 1, 2000))
	must.True(t, ok)
	b.Tick(t0.Add(200*time.Millisecond + grantLife))
	must.Eq(t, 1, f.KnownState(t0, e).Load.Runs)
}

// An engine is full and a stream waits. The runs there end, and the stream goes at the next look, without being asked again.
// One whose caller has left is not heard again and gets nothing.
func TestWaitingStreamTakesWhatFreesUp(t *testing.T) {
	b, _, s := testBook(1)
	b.Report(t0, report(s, "i", 1, Run{ID: 1, Target: s.Engines()[0], Tokens: 9000}))
	_, ok := b.Place(t0, s, ask("a", 1, 3000))
	must.False(t, ok)
	_, ok = b.Place(t0, s, ask("gone", 1, 3000))
	must.False(t, ok)
	must.SliceEmpty(t, b.DecideWaiting(t0.Add(20*time.Millisecond)))
	_, ok = b.Place(t0.Add(200*time.Millisecond), s, ask("a", 1, 3000))
	must.False(t, ok)
	b.Report(t0.Add(210*time.Millisecond), report(s, "i", 2))
	got := b.DecideWaiting(t0.Add(220 * time.Millisecond))
	must.Len(t, 2, got) // both are still within the time in which they are heard again
	must.Eq(t, "a", got[0].Instance)

	b.Report(t0.Add(230*time.Millisecond), report(s, "i", 3, Run{ID: 1, Target: s.Engines()[0], Tokens: 9900}))
	late := ask("late", 1, 3000)
	late.Stream.Arrived = t0.Add(240 * time.Millisecond)
	_, ok = b.Place(t0.Add(240*time.Millisecond), s, late)
	must.False(t, ok)
	b.Report(t0.Add(800*time.Millisecond), report(s, "i", 4))
	must.SliceEmpty(t, b.DecideWaiting(t0.Add(800*time.Millisecond)))
	must.False(t, b.HasWaiting())
}

// What finds no room in its part of the aim is told to come back, with a time from one second to all that its caller keeps
// to.
func TestStreamWithoutRoomIsTurnedAway(t *testing.T) {
	b, _, s := testBook(1)
	b.Report(t0, report(s, "i", 1, Run{ID: 1, Target: s.Engines()[0], Tokens: 9000}))
	late := ask("a", 1, 3000)
	late.Stream.Arrived = t0.Add(-time.Second)
	a, ok := b.Place(t0, s, late)
	must.True(t, ok)
	must.Eq(t, admit.RetryLater, a.Action)
	must.GreaterEq(t, time.Second, a.After)
	must.LessEq(t, 10*time.Second, a.After)
	// A run that an engine has turned back takes the best one, however full; one that moves only one that holds it.
	again := ask("a", 2, 3000)
	again.Mode = Any
	a, ok = b.Place(t0, s, again)
	must.True(t, ok)
	must.Eq(t, admit.Admit, a.Action)
	room := ask("a", 3, 3000)
	room.Mode = MustFit
	a, ok = b.Place(t0, s, room)
	must.True(t, ok)
	must.Eq(t, admit.Fallback, a.Action)
}

// Reports overtake each other, come twice, or come late from a process that was replaced. Only a newer one counts; once an
// instance is silent, any does: its clock may have been set back before it was started again.
func TestOnlyNewerReportsCount(t *testing.T) {
	b, f, s := testBook(1)
	e := s.Engines()[0]
	must.True(t, b.Report(t0, report(s, "i", 5, Run{ID: 1, Target: e, Tokens: 500})))
	must.False(t, b.Report(t0, report(s, "i", 5)))
	must.False(t, b.Report(t0, report(s, "i", 4)))
	newer := report(s, "i", 1)
	newer.Incarnation = 2
	must.True(t, b.Report(t0, newer))
	must.False(t, b.Report(t0, report(s, "i", 9)))
	must.Eq(t, 0, f.KnownState(t0, e).Load.Runs)
	must.True(t, b.Report(t0.Add(reportLife+time.Millisecond), report(s, "i", 1)))
}

// Reports that claim absurd sums, engines that nobody knows, or come from thousands of made-up instances make choices
// worse; they overflow nothing, and what is kept of them is bounded.
func TestAbsurdReportsAreBounded(t *testing.T) {
	b, f, s := testBook(2)
	e := s.Engines()[0]
	huge := Run{ID: 1, Target: e, Tokens: 1 << 62, Expected: 1 << 62, Unread: -5, Remaining: 1 << 62}
	must.True(t, b.Report(t0, report(s, "liar", 1, huge, Run{ID: 2, Target: "nobody", Tokens: 5})))
	load := f.KnownState(t0, e).Load
	must.Eq(t, 2*tokensMax, load.Tokens)
	must.Eq(t, 0, load.Unread)
	a, ok := b.Place(t0, s, ask("i", 1, 3000))
	must.True(t, ok)
	must.Eq(t, s.Engines()[1], a.Target)
	for i := range holdersMax + 10 {
		b.Report(t0, report(s, fmt.Sprint("made up ", i), 1))
	}
	must.MapLen(t, holdersMax, b.holders[s.Key])
	b.Tick(t0.Add(2 * reportLife))
	must.MapEmpty(t, b.holders[s.Key])
	must.Eq(t, 0, f.KnownState(t0, e).Load.Runs)
}

// Hundreds of instances send a stream to one engine every minute each: none could learn alone that it fails what it is sent.
// The owner learns from all of them, and sends less there after a few failures.
func TestOwnerLearnsFromAllOutcomes(t *testing.T) {
	b, _, s := testBook(2)
	bad := s.Engines()[0]
	for i := range 12 {
		r := report(s, fmt.Sprint("i", i), 1)
		r.Outcomes = []Outcomes{{Target: bad, Failed: 1}}
		must.True(t, b.Report(t0, r))
		r.Seq = 2 // told again for a lost datagram, it counts no second time
		must.True(t, b.Report(t0, r))
	}
	for i := range 3 {
		a, _ := b.Place(t0, s, ask("i", uint64(i), 1000))
		must.Eq(t, s.Engines()[1], a.Target)
	}
}

// Two instances have runs on an engine that leaves. The owner plans them together, so that no link carries two copies at a
// time, and room counts where they go before they are there.
func TestMovesArePlannedForAllInstances(t *testing.T) {
	b, f, s := testBook(3)
	e := s.Engines()[0]
	b.Report(t0, report(s, "a", 1, Run{ID: 1, Target: e, Tokens: 2000, Expected: 1000}, Run{ID: 3, Target: e, Tokens: 10, Pinned: true}))
	b.Report(t0, report(s, "b", 1, Run{ID: 2, Target: e, Tokens: 3000, Expected: 1000}))
	leaving := f.MarkLeaving(t0, e, 0).Leaving
	link := moveplan.Link{TokensPerSecond: 10_000, CrossDomainFactor: 2}
	b.Plan(t0, s, leaving, link)
	now := t0.Add(10 * time.Millisecond)
	first := b.Moves(now, s, "a", []uint64{1, 3})
	second := b.Moves(now, s, "b", []uint64{2, 77})
	must.Len(t, 1, first)
	must.Len(t, 1, second)
	must.Eq(t, 0, first[0].Start)
	must.Greater(t, 200*time.Millisecond, second[0].Start)
	must.Eq(t, 3000, f.KnownState(now, first[0].To).Load.Tokens)
	must.Eq(t, first, b.Moves(now, s, "a", []uint64{1})) // asked again, it counts no second time
	must.Eq(t, 3000, f.KnownState(now, first[0].To).Load.Tokens)
	must.Eq(t, []string{"addr"}, users(b, s, e))
}

func users(b *Ledger, s *Shard, engine string) []string {
	r := report(s, "c", 1, Run{ID: 9, Target: engine})
	r.ReplyAddr = "addr"
	b.Report(t0, r)
	var out []string
	for _, addr := range b.Users(s.Key, map[string]bool{engine: true}) {
		if addr != "" {
			out = append(out, addr)
		}
	}
	return out
}

// An engine is heard by some instance's run although this one's are silent: it is busy, not dark.
func TestEngineIsHeardByAnyInstance(t *testing.T) {
	b, f, s := testBook(1)
	e := s.Engines()[0]
	b.Report(t0, report(s, "a", 1, Run{ID: 1, Target: e, SinceContact: 900 * time.Millisecond}))
	b.Report(t0, report(s, "b", 1, Run{ID: 2, Target: e, SinceContact: 20 * time.Millisecond}, Run{ID: 3, Target: e, Unread: 10}))
	must.Eq(t, t0.Add(-20*time.Millisecond), f.LastContact(e))
}

// BenchmarkPlace is one placement by the owner of 32 engines that 60 instances have five runs each on.
func BenchmarkPlace(b *testing.B) {
	book, f, s := testBook(32)
	f.SetSpecs(map[string]fleet.Spec{"s": {KVTokens: 1 << 20}})
	for i := range 60 {
		var runs []Run
		for j := range 5 {
			runs = append(runs, Run{ID: uint64(10*i + j), Target: s.Engines()[(i+j)%32], Tokens: 3000, Remaining: 300})
		}
		book.Report(t0, report(s, fmt.Sprint("i", i), 1, runs...))
	}
	b.ResetTimer()
	id := uint64(1000)
	for b.Loop() {
		id++
		a := ask("x", id, 3000)
		a.Stream.Arrived = t0
		book.Place(t0, s, a)
		book.done = make(map[Key]answered)
		book.holders[s.Key]["x"].grants = nil
		book.tell(t0, book.holders[s.Key]["x"])
	}
}

// Engines are nearly full, and a large prompt waits for the room of two small ones. Small streams that come later would take
// each piece of room as it frees up. One engine is kept for the large one until it fits; the small ones take the others.
func TestRoomIsKeptForTheFirstThatWaits(t *testing.T) {
	b, _, s := testBook(2)
	roomy, other := s.Engines()[0], s.Engines()[1]
	runs := []Run{{ID: 1, Target: roomy, Tokens: 3000}, {ID: 2, Target: roomy, Tokens: 3000}, {ID: 3, Target: other, Tokens: 7000}}
	b.Report(t0, report(s, "i", 1, runs...))
	_, ok := b.Place(t0, s, ask("large", 1, 6000))
	must.False(t, ok)
	must.SliceEmpty(t, b.DecideWaiting(t0))
	a, ok := b.Place(t0, s, ask("small", 1, 2000))
	must.True(t, ok)
	must.Eq(t, other, a.Target)
	_, ok = b.Place(t0, s, ask("small", 2, 2000))
	must.False(t, ok)
	b.Report(t0.Add(50*time.Millisecond), report(s, "i", 2, runs[1:]...))
	got := b.DecideWaiting(t0.Add(60 * time.Millisecond))
	must.Len(t, 1, got)
	must.Eq(t, "large", got[0].Instance)
	must.Eq(t, roomy, got[0].Target)
}

// Two large prompts wait for a shard of many engines. Small streams that come meanwhile leave the two roomiest engines to them, and
// take the others' room; in a shard of half the engines they leave one.
func TestLargeShardsKeepMoreEngines(t *testing.T) {
	for engines, left := range map[int]int{2 * keepPer: 2, 2*keepPer - 1: 1} {
		b, _, s := testBook(engines)
		var full []Run
		for i, id := range s.Engines() {
			full = append(full, Run{ID: uint64(i + 1), Target: id, Tokens: 6000})
		}
		b.Report(t0, report(s, "i", 1, full...))
		for i := range uint64(2) {
			_, ok := b.Place(t0, s, ask("large", 1+i, 5000))
			must.False(t, ok)
		}
		must.SliceEmpty(t, b.DecideWaiting(t0))
		small := 0
		for i := range uint64(2 * engines) {
			if _, ok := b.Place(t0, s, ask("small", 1+i, 3000)); ok {
				small++
			}
		}
		must.Eq(t, engines-left, small)
	}
}

// Small streams have waited a little longer than a large one, and room for either frees up now and then. In the order of their ends the
// small ones would take it each time, until the large one is told to come back; it is looked at first. Between two of a size
// the one that stops waiting sooner goes first.
func TestLargeStreamsAreLookedAtSooner(t *testing.T) {
	b, _, s := testBook(1)
	b.Report(t0, report(s, "i", 1, Run{ID: 1, Target: s.Engines()[0], Tokens: 9000}))
	for i, tokens := range []int{1000, 1000, 9000} {
		a := ask(fmt.Sprint("s", i), 1, tokens)
		a.Stream.Arrived = t0.Add(time.Duration(i) * 100 * time.Millisecond)
		_, ok := b.Place(a.Stream.Arrived, s, a)
		must.False(t, ok)
	}
	now := t0.Add(300 * time.Millisecond)
	b.Report(now, report(s, "i", 2))
	got := b.DecideWaiting(now)
	must.Len(t, 1, got)
	must.Eq(t, "s2", got[0].Instance)
	b.Report(now, report(s, "s2", 1, Run{ID: 101, Target: s.Engines()[0], Tokens: 8000}))
	b.Tick(now)
	b.Report(now.Add(time.Millisecond), report(s, "s2", 2))
	got = b.DecideWaiting(now.Add(2 * time.Second / 10))
	must.Eq(t, "s0", got[0].Instance)
}

// A stream was told to come back, and does so while one waits that came after it and can still begin in time. That one takes the
// room that frees up first; the one that came back is past its aim, so it waits for longer, and has room in the end in place of
// a second refusal. One that comes back sooner than told is refused as any other: who asks again at once gains nothing by it.
func TestWhoComesBackAsToldWaitsForLonger(t *testing.T) {
	for wait, asTold := range map[time.Duration]bool{0: true, -time.Second: false} {
		b, _, s := testBook(1)
		full := Run{ID: 1, Target: s.Engines()[0], Tokens: 9000}
		b.Report(t0, report(s, "i", 1, full))
		first := ask("turned away", 1, 5000)
		first.Fingerprint = 77
		first.Stream.Arrived = t0.Add(-time.Second)
		a, _ := b.Place(t0, s, first)
		must.Eq(t, admit.RetryLater, a.Action)

		now := t0.Add(a.After + wait)
		b.Report(now, report(s, "i", 2, full))
		back := ask("back", 1, 5000)
		back.Fingerprint = 77
		back.Stream.Arrived = now
		_, ok := b.Place(now, s, back)
		must.False(t, ok)
		other := ask("other", 1, 5000)
		other.Stream.Arrived = now.Add(10 * time.Millisecond)
		_, ok = b.Place(now.Add(10*time.Millisecond), s, other)
		must.False(t, ok)

		b.Report(now, report(s, "i", 3))
		got := b.DecideWaiting(now.Add(20 * time.Millisecond))
		if !asTold {
			must.Eq(t, "back", got[0].Instance) // it came first, and stands as one that came now
			continue
		}
		must.Eq(t, "other", got[0].Instance)
		var last []Answer
		for at := now; at.Before(now.Add(2 * time.Second)); at = at.Add(200 * time.Millisecond) {
			b.Report(at, report(s, "i", 4+uint64(at.Sub(now)), full))
			must.SliceEmpty(t, last)
			_, ok = b.Place(at, s, back) // it is still wanted
			last = b.DecideWaiting(at)
			must.False(t, ok)
		}
		end := now.Add(2 * time.Second)
		b.Tick(end)
		b.Report(end, report(s, "i", 1<<40))
		got = b.DecideWaiting(end)
		must.Len(t, 1, got)
		must.Eq(t, "back", got[0].Instance)
		must.Eq(t, admit.Admit, got[0].Action)
	}
}

// A stream that came back is about to be refused a second time when one comes that can wait for longer. Room that frees up is
// for the first.
func TestWhoIsRefusedSoonerGoesFirst(t *testing.T) {
	b, _, s := testBook(1)
	b.Report(t0, report(s, "i", 1, Run{ID: 1, Target: s.Engines()[0], Tokens: 9000}))
	fresh := ask("fresh", 1, 6000)
	_, ok := b.Place(t0, s, fresh)
	must.False(t, ok)
	back := ask("back", 1, 6000)
	back.Stream.IsRetry = true
	back.Stream.Arrived = t0.Add(-2500 * time.Millisecond)
	_, ok = b.Place(t0, s, back)
	must.False(t, ok)
	b.Report(t0, report(s, "i", 2))
	got := b.DecideWaiting(t0.Add(10 * time.Millisecond))
	must.Len(t, 1, got)
	must.Eq(t, "back", got[0].Instance)
}
