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

// A request that kills its engines is refused with its own code after the second death, also under another key. Contents that
// ran beside it continue, finish, and are cleared.
func TestSecondDeathPoisonsAndInnocentsAreCleared(t *testing.T) {
	tab := poison.New(poison.DefaultConfig)
	const bad, good, later = 1, 2, 3
	now := t0
	tab.Started("engine-1", good)
	tab.TargetDied(now, tab.Started("engine-1", bad), 10)
	must.Eq(t, poison.Suspect, verdict(tab, now, bad))
	must.Eq(t, poison.Suspect, verdict(tab, now, good))

	innocent := tab.Started("engine-2", good)
	must.Eq(t, []string{"engine-2"}, tab.TargetsToAvoid(now, bad)) // suspects are separated
	tab.Started("engine-3", later)
	now = now.Add(time.Second)
	tab.TargetDied(now, tab.Started("engine-3", bad), 11)
	must.Eq(t, poison.Settling, verdict(tab, now, bad))
	now = now.Add(settled)
	must.Eq(t, poison.Poisoned, verdict(tab, now, bad))
	must.Eq(t, poison.Clean, verdict(tab, now, later)) // the suspect is to blame, not the content seen for the first time

	tab.Finished(now, innocent)
	must.Eq(t, poison.Clean, verdict(tab, now, good))
	must.Eq(t, poison.Suspect, verdict(tab, now.Add(poison.DefaultConfig.RefusePeriod), bad)) // the refusal expires
}

// A target restarts quickly, and each run on it reports the first death, some late. A late report must not blame the contents that
// run there by then, even the same content.
func TestLateReportsOfOneDeathCountOnce(t *testing.T) {
	tab := poison.New(poison.DefaultConfig)
	first, second := tab.Started("engine-1", 1), tab.Started("engine-1", 2)
	tab.TargetDied(t0, first, 5)
	tab.Started("engine-1", 2) // the target has restarted
	tab.Started("engine-1", 3)
	tab.TargetDied(t0, second, 5)
	must.Eq(t, poison.Clean, verdict(tab, t0, 3))
	must.Eq(t, poison.Suspect, verdict(tab, t0.Add(settled), 2))
}

// A target restarts faster than its new incarnation is learnt. The second death reported under the old incarnation still counts
// as a second death, and the request is refused.
func TestSecondDeathCountsUnderStaleIncarnation(t *testing.T) {
	tab := poison.New(poison.DefaultConfig)
	for range 2 {
		tab.TargetDied(t0, tab.Started("engine-1", 1), 5)
	}
	must.Eq(t, poison.Poisoned, verdict(tab, t0.Add(settled), 1))
}

// Two entries report the same death, which counts once. Each entry ran the content on the engine, and each receives the other's
// report as well.
func TestDeathReportedByTwoEntriesCountsOnce(t *testing.T) {
	a, b := poison.New(poison.DefaultConfig), poison.New(poison.DefaultConfig)
	for _, tab := range []*poison.Table{a, b} {
		tab.TargetDied(t0, tab.Started("engine-1", 7), 3)
	}
	now := exchangeRecords(t0.Add(50*time.Millisecond), a, b)
	must.Eq(t, poison.Suspect, verdict(a, now.Add(settled), 7))
	must.Eq(t, poison.Suspect, verdict(b, now.Add(settled), 7))
}

// A rack fails and two targets die while running a call that everybody makes, such as a status check. The call is not refused: it
// finished shortly before, and content that kills engines never does. The entry that saw it finish reports that to the other.
func TestRecentlyFinishedContentIsNotBlamed(t *testing.T) {
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
	now = exchangeRecords(now.Add(50*time.Millisecond), a, b)
	must.Eq(t, poison.Clean, verdict(b, now, status))
}

// A peer's report of a death arrives before this instance sees the death. That death must not make a content a suspect before
// itself, so the other contents running on the engine get the same blame.
func TestDeathDoesNotRaiseItsOwnSuspicionLevel(t *testing.T) {
	a, b := poison.New(poison.DefaultConfig), poison.New(poison.DefaultConfig)
	inA, inB := a.Started("engine-1", 1), b.Started("engine-1", 1)
	b.Started("engine-1", 2)
	a.TargetDied(t0, inA, 3)
	now := exchangeRecords(t0.Add(10*time.Millisecond), a, b)
	b.TargetDied(now, inB, 3)
	must.Eq(t, poison.Suspect, verdict(b, now, 2))
}

// Fractional blame adds up regardless of the order: three thirds make a second death.
func TestFractionalBlameAddsUp(t *testing.T) {
	cfg := poison.DefaultConfig
	cfg.NewestSuspects = 3
	for range 50 {
		tab := poison.New(cfg)
		for incarnation := range uint64(4) {
			tab.Started("engine-1", 2)
			tab.Started("engine-1", 3)
			tab.TargetDied(t0, tab.Started("engine-1", 1), incarnation)
		}
		must.Eq(t, poison.Poisoned, verdict(tab, t0.Add(settled), 1))
	}
}

// A caller sends its request again through another entry after each death. The third time it is refused, although each entry saw
// only one death.
func TestDeathsAreCountedAcrossInstances(t *testing.T) {
	a, b, c := poison.New(poison.DefaultConfig), poison.New(poison.DefaultConfig), poison.New(poison.DefaultConfig)
	a.TargetDied(t0, a.Started("engine-1", 7), 3)
	now := exchangeRecords(t0.Add(100*time.Millisecond), a, b, c)
	b.TargetDied(now, b.Started("engine-2", 7), 9)
	now = exchangeRecords(now.Add(100*time.Millisecond), a, b, c)
	must.Eq(t, poison.Poisoned, verdict(c, now.Add(settled), 7))
}

// Another entry's suspect shares the engine with an innocent content. Entry a knows only its own generation and would refuse it
// for a second death, but b's report of the other suspect arrives within SettleTime.
func TestReportOfOtherSuspectPreventsWrongRefusal(t *testing.T) {
	a, b := poison.New(poison.DefaultConfig), poison.New(poison.DefaultConfig)
	inA, inB := a.Started("engine-1", 1), b.Started("engine-1", 2)
	a.TargetDied(t0, inA, 3)
	b.TargetDied(t0, inB, 3)
	now := exchangeRecords(t0.Add(time.Second), a, b)
	inA, inB = a.Started("engine-2", 1), b.Started("engine-2", 2)
	a.TargetDied(now, inA, 4)
	b.TargetDied(now, inB, 4)
	must.Eq(t, poison.Settling, verdict(a, now, 1))
	now = exchangeRecords(now.Add(100*time.Millisecond), a, b)
	must.Eq(t, poison.Suspect, verdict(a, now.Add(settled), 1))
}

// Many contents run on an engine that dies: the last started ones are separated from all others. The others need not be separated
// from each other, as there would not be enough capacity.
func TestWeakSuspectsMayShareAnEngine(t *testing.T) {
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

// exchangeRecords merges each table's records into all others, and returns the time.
func exchangeRecords(now time.Time, tables ...*poison.Table) time.Time {
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

// In whatever order records arrive, repeated or lost at first, instances that have all records agree, and no content is poisoned
// that was not running at two deaths, however many generations and instances report each.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "tables"))
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			w.step()
		}
		now := exchangeRecords(w.now, w.tables...).Add(settled)
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

// simulation is the tables of some entries, and the engines that they send to.
type simulation struct {
	rng          *rand.Rand
	now          time.Time
	tables       []*poison.Table
	incarnations [engines]uint64
	running      [engines][]activeRun
	lateReports  []func() // reports of deaths that are still outstanding
	deaths       [contents]int
}

type activeRun struct {
	table       *poison.Table
	fingerprint uint64
	run         poison.Run
}

func newSimulation(seed uint64, n int) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), now: t0}
	for range n {
		w.tables = append(w.tables, poison.New(poison.DefaultConfig))
	}
	return w
}

func (w *simulation) step() {
	w.now = w.now.Add(10 * time.Millisecond)
	tab, e := w.tables[w.rng.IntN(len(w.tables))], w.rng.IntN(engines)
	switch w.rng.IntN(7) {
	case 0, 1, 2:
		f := w.rng.Uint64N(contents)
		w.running[e] = append(w.running[e], activeRun{tab, f, tab.Started(fmt.Sprint("engine-", e), f)})
	case 3:
		w.kill(e)
	case 4:
		recs, _ := tab.Since(w.now, w.rng.Uint64N(10))
		w.rng.Shuffle(len(recs), func(i, j int) { recs[i], recs[j] = recs[j], recs[i] })
		w.tables[w.rng.IntN(len(w.tables))].Merge(w.now, recs)
	case 5:
		w.reportLate()
	case 6:
		w.finishOne(e)
	}
}

// kill ends an engine. Each instance reports the death for the first of its generations at once, for the others later.
func (w *simulation) kill(e int) {
	incarnation := w.incarnations[e]
	seen := make(map[uint64]bool)
	reported := make(map[*poison.Table]bool)
	for _, a := range w.running[e] {
		if !seen[a.fingerprint] {
			w.deaths[a.fingerprint]++
		}
		seen[a.fingerprint] = true
		report := func() { a.table.TargetDied(w.now, a.run, incarnation) }
		if reported[a.table] {
			w.lateReports = append(w.lateReports, report)
			continue
		}
		reported[a.table] = true
		report()
	}
	w.running[e] = nil
	w.incarnations[e]++
}

// finishOne finishes the oldest run on an engine.
func (w *simulation) finishOne(e int) {
	if len(w.running[e]) > 0 {
		a := w.running[e][0]
		w.running[e] = w.running[e][1:]
		a.table.Finished(w.now, a.run)
	}
}

func (w *simulation) reportLate() {
	if len(w.lateReports) > 0 {
		w.lateReports[0]()
		w.lateReports = w.lateReports[1:]
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

// A content that killed two engines is refused, whichever key it is sent under.
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
