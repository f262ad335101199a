package poison_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"anvilwick.example/anvilwick/lib/poison"
)

var (
	t0      = time.Unix(1_700_000_000, 0)
	settled = poison.DefaultConfig.SettleTime
)

func verdict(t *poison.Table, now time.Time, f uint64) poison.Verdict {
	v, _ := t.Check(now, f)
	return v
}

// What callers see: the request that kills its engines is refused with its own code after the second death, also under
// another key. Those that ran beside it go on, finish, and are in good standing again.
func TestSecondDeathPoisonsAndInnocentsAreCleared(t *testing.T) {
	tab := poison.New(poison.DefaultConfig)
	const bad, good, later = 1, 2, 3
	now := t0
	tab.Started("engine-1", good)
	tab.TargetDied(now, tab.Started("engine-1", bad), 10)
	must.Eq(t, poison.Suspect, verdict(tab, now, bad))
	must.Eq(t, poison.Suspect, verdict(tab, now, good))

	spared := tab.Started("engine-2", good)
	must.Eq(t, []string{"engine-2"}, tab.TargetsToAvoid(now, bad)) // kept apart
	tab.Started("engine-3", later)
	now = now.Add(time.Second)
	tab.TargetDied(now, tab.Started("engine-3", bad), 11)
	must.Eq(t, poison.Settling, verdict(tab, now, bad))
	now = now.Add(settled)
	must.Eq(t, poison.Poisoned, verdict(tab, now, bad))
	must.Eq(t, poison.Clean, verdict(tab, now, later)) // the suspect aboard is to blame, not the newcomer

	tab.Finished(now, spared)
	must.Eq(t, poison.Clean, verdict(tab, now, good))
	must.Eq(t, poison.Suspect, verdict(tab, now.Add(poison.DefaultConfig.RefusePeriod), bad)) // refused for a while only
}

// What callers see when a target restarts quickly: the late news of its first death, told by each run that was aboard,
// are not laid at what runs there by then, even the same content.
func TestLateNewsOfOneDeathCountOnce(t *testing.T) {
	tab := poison.New(poison.DefaultConfig)
	first, second := tab.Started("engine-1", 1), tab.Started("engine-1", 2)
	tab.TargetDied(t0, first, 5)
	tab.Started("engine-1", 2) // the target has restarted
	tab.Started("engine-1", 3)
	tab.TargetDied(t0, second, 5)
	must.Eq(t, poison.Clean, verdict(tab, t0, 3))
	must.Eq(t, poison.Suspect, verdict(tab, t0.Add(settled), 2))
}

// What callers see when the target restarts faster than its new incarnation is learnt: the second death under the old
// number is a second death all the same, and the request is refused.
func TestSecondDeathUnderUnlearntIncarnation(t *testing.T) {
	tab := poison.New(poison.DefaultConfig)
	for range 2 {
		tab.TargetDied(t0, tab.Started("engine-1", 1), 5)
	}
	must.Eq(t, poison.Poisoned, verdict(tab, t0.Add(settled), 1))
}

// What callers see when two entries tell of the same death: it counts once. Each entry ran the content there, and each
// hears of it from the other as well.
func TestOneDeathCountsOnceWhoeverTells(t *testing.T) {
	a, b := poison.New(poison.DefaultConfig), poison.New(poison.DefaultConfig)
	for _, tab := range []*poison.Table{a, b} {
		tab.TargetDied(t0, tab.Started("engine-1", 7), 3)
	}
	now := exchange(t0.Add(50*time.Millisecond), a, b)
	must.Eq(t, poison.Suspect, verdict(a, now.Add(settled), 7))
	must.Eq(t, poison.Suspect, verdict(b, now.Add(settled), 7))
}

// What callers see of a call that everybody makes, such as a status check, when a rack fails and two targets die with
// it aboard: it is not refused. It finished a moment ago, and content that kills never does. The entry that saw it finish
// tells the one that did not.
func TestContentThatFinishedLatelyIsNotBlamed(t *testing.T) {
	a, b := poison.New(poison.DefaultConfig), poison.New(poison.DefaultConfig)
	const status = 9
	a.Finished(t0, a.Started("dispatch-1", status))
	now := t0.Add(time.Minute)
	for _, target := range []string{"dispatch-1", "dispatch-2"} {
		inA, inB := a.Started(target, status), b.Started(target, status)
		b.TargetDied(now, inB, 1)
		a.TargetDied(now, inA, 1)
	}
	must.Eq(t, poison.Clean, verdict(a, now, status))
	must.Eq(t, poison.Settling, verdict(b, now, status))
	now = exchange(now.Add(50*time.Millisecond), a, b)
	must.Eq(t, poison.Clean, verdict(b, now, status))
}

// What callers see when a peer's news of a death come before one's own: a content aboard is no suspect by that very
// death, so the others aboard are blamed like it.
func TestDeathIsNoSuspicionBeforeItself(t *testing.T) {
	a, b := poison.New(poison.DefaultConfig), poison.New(poison.DefaultConfig)
	inA, inB := a.Started("engine-1", 1), b.Started("engine-1", 1)
	b.Started("engine-1", 2)
	a.TargetDied(t0, inA, 3)
	now := exchange(t0.Add(10*time.Millisecond), a, b)
	b.TargetDied(now, inB, 3)
	must.Eq(t, poison.Suspect, verdict(b, now, 2))
}

// Parts of blame add up to the whole, in whatever order: a third thrice makes a second death.
func TestPartsOfBlameAddUp(t *testing.T) {
	cfg := poison.DefaultConfig
	cfg.NewestSuspects = 3
	for range 50 {
		tab := poison.New(cfg)
		for life := range uint64(4) {
			tab.Started("engine-1", 2)
			tab.Started("engine-1", 3)
			tab.TargetDied(t0, tab.Started("engine-1", 1), life)
		}
		must.Eq(t, poison.Poisoned, verdict(tab, t0.Add(settled), 1))
	}
}

// What the caller sees who sends the request again through another entry after each death: the third time it is
// refused, though each entry saw one death only.
func TestDeathsAreCountedAcrossInstances(t *testing.T) {
	a, b, c := poison.New(poison.DefaultConfig), poison.New(poison.DefaultConfig), poison.New(poison.DefaultConfig)
	a.TargetDied(t0, a.Started("engine-1", 7), 3)
	now := exchange(t0.Add(100*time.Millisecond), a, b, c)
	b.TargetDied(now, b.Started("engine-2", 7), 9)
	now = exchange(now.Add(100*time.Millisecond), a, b, c)
	must.Eq(t, poison.Poisoned, verdict(c, now.Add(settled), 7))
}

// What an innocent caller sees when another entry's suspect shares its engine: entry a knows of its own generation only
// and would refuse it for a second death, but b's news of the other suspect comes within Settle.
func TestNewsOfOtherSuspectSpareTheInnocent(t *testing.T) {
	a, b := poison.New(poison.DefaultConfig), poison.New(poison.DefaultConfig)
	inA, inB := a.Started("engine-1", 1), b.Started("engine-1", 2)
	a.TargetDied(t0, inA, 3)
	b.TargetDied(t0, inB, 3)
	now := exchange(t0.Add(time.Second), a, b)
	inA, inB = a.Started("engine-2", 1), b.Started("engine-2", 2)
	a.TargetDied(now, inA, 4)
	b.TargetDied(now, inB, 4)
	must.Eq(t, poison.Settling, verdict(a, now, 1))
	now = exchange(now.Add(100*time.Millisecond), a, b)
	must.Eq(t, poison.Suspect, verdict(a, now.Add(settled), 1))
}

// A death in which many were aboard: the last started are kept away from all, the others need not be kept from each
// other, or there would be no room for them.
func TestOldGenerationsMayShareAnEngine(t *testing.T) {
	tab := poison.New(poison.DefaultConfig)
	var run poison.Run
	for f := uint64(1); f <= 20; f++ {
		run = tab.Started("engine-1", f)
	}
	tab.TargetDied(t0, run, 1)
	tab.Started("engine-2", 1)
	must.SliceEmpty(t, tab.TargetsToAvoid(t0, 2))
	tab.Started("engine-3", 20)
	must.Eq(t, []string{"engine-3"}, tab.TargetsToAvoid(t0, 2))
}

// exchange gives each table the news of all others, and returns the time.
func exchange(now time.Time, tables ...*poison.Table) time.Time {
	for range 2 {
		for i, from := range tables {
			recs, _ := from.Since(now, 0)
			for j, to := range tables {
				if i != j {
					to.Merge(now, recs)
				}
			}
		}
	}
	return now
}

// Whatever the order, the repetition and the loss of first news, instances that have heard all agree, and no content is
// poisoned that was not aboard at two deaths of engines, however many generations and instances tell of each.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "tables"))
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			w.step()
		}
		now := exchange(w.now, w.tables...).Add(settled)
		for f := range uint64(contents) {
			want := verdict(w.tables[0], now, f)
			if want == poison.Poisoned && w.deaths[f] < 2 {
				t.Fatalf("content %d is poisoned after %d deaths", f, w.deaths[f])
			}
			for _, tab := range w.tables[1:] {
				if got := verdict(tab, now, f); got != want {
					t.Fatalf("content %d: %v and %v", f, want, got)
				}
			}
		}
	})
}

const contents, engines = 6, 3

// world is some entries' tables and the engines that they send to.
type world struct {
	rng    *rand.Rand
	now    time.Time
	tables []*poison.Table
	lives  [engines]uint64
	aboard [engines][]aboard
	late   []func() // deaths that are still to be told
	deaths [contents]int
}

type aboard struct {
	table       *poison.Table
	fingerprint uint64
	run         poison.Run
}

func newWorld(seed uint64, n int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), now: t0}
	for range n {
		w.tables = append(w.tables, poison.New(poison.DefaultConfig))
	}
	return w
}

func (w *world) step() {
	w.now = w.now.Add(10 * time.Millisecond)
	tab, e := w.tables[w.rng.IntN(len(w.tables))], w.rng.IntN(engines)
	switch w.rng.IntN(7) {
	case 0, 1, 2:
		f := w.rng.Uint64N(contents)
		w.aboard[e] = append(w.aboard[e], aboard{tab, f, tab.Started(fmt.Sprint("engine-", e), f)})
	case 3:
		w.kill(e)
	case 4:
		recs, _ := tab.Since(w.now, w.rng.Uint64N(10))
		w.rng.Shuffle(len(recs), func(i, j int) { recs[i], recs[j] = recs[j], recs[i] })
		w.tables[w.rng.IntN(len(w.tables))].Merge(w.now, recs)
	case 5:
		w.tellLate()
	case 6:
		w.finishOne(e)
	}
}

// kill ends an engine. Each instance tells for the first of its generations at once, for the others later.
func (w *world) kill(e int) {
	life := w.lives[e]
	seen := make(map[uint64]bool)
	told := make(map[*poison.Table]bool)
	for _, a := range w.aboard[e] {
		if !seen[a.fingerprint] {
			w.deaths[a.fingerprint]++
		}
		seen[a.fingerprint] = true
		tell := func() { a.table.TargetDied(w.now, a.run, life) }
		if told[a.table] {
			w.late = append(w.late, tell)
			continue
		}
		told[a.table] = true
		tell()
	}
	w.aboard[e] = nil
	w.lives[e]++
}

// finishOne lets the oldest run on an engine finish.
func (w *world) finishOne(e int) {
	if len(w.aboard[e]) > 0 {
		a := w.aboard[e][0]
		w.aboard[e] = w.aboard[e][1:]
		a.table.Finished(w.now, a.run)
	}
}

func (w *world) tellLate() {
	if len(w.late) > 0 {
		w.late[0]()
		w.late = w.late[1:]
	}
}

func TestTableIsBounded(t *testing.T) {
	cfg := poison.DefaultConfig
	cfg.MaxSize = 10
	tab := poison.New(cfg)
	for f := uint64(1); f <= 100; f++ {
		now := t0.Add(time.Duration(f) * time.Second)
		tab.TargetDied(now, tab.Started("engine-1", f), f)
	}
	suspects := 0
	for f := uint64(1); f <= 100; f++ {
		if verdict(tab, t0.Add(101*time.Second), f) != poison.Clean {
			suspects++
		}
	}
	must.Eq(t, 10, suspects)
}

// A content that killed two engines is refused, whichever key it comes under.
func Example() {
	table := poison.New(poison.DefaultConfig)
	now := time.Unix(0, 0)
	f := poison.Fingerprint("roads", []byte(`{"prompt":"..."}`))
	for incarnation := range uint64(2) {
		table.TargetDied(now, table.Started("engine-3", f), incarnation)
	}
	v, wait := table.Check(now.Add(time.Second), f)
	fmt.Println(v, wait)
	fmt.Println(slices.Contains(table.TargetsToAvoid(now, f), "engine-3"))
	// Output:
	// poisoned 14m59s
	// false
}
