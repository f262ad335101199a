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
	settled = poison.DefaultConfig.Settle
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
	tab.Started("engine-1", bad)
	tab.Died(now, "engine-1", 10)
	must.Eq(t, poison.Suspect, verdict(tab, now, bad))
	must.Eq(t, poison.Suspect, verdict(tab, now, good))

	tab.Started("engine-2", good)
	must.Eq(t, []string{"engine-2"}, tab.Avoid(now, bad)) // kept apart
	tab.Started("engine-3", later)
	tab.Started("engine-3", bad)
	now = now.Add(time.Second)
	tab.Died(now, "engine-3", 11)
	must.Eq(t, poison.Settling, verdict(tab, now, bad))
	now = now.Add(settled)
	must.Eq(t, poison.Poisoned, verdict(tab, now, bad))
	must.Eq(t, poison.Clean, verdict(tab, now, later)) // the suspect aboard is to blame, not the newcomer

	tab.Finished(now, "engine-2", good)
	must.Eq(t, poison.Clean, verdict(tab, now, good))
	must.Eq(t, poison.Suspect, verdict(tab, now.Add(poison.DefaultConfig.Refuse), bad)) // refused for a while only
}

// What callers see when two entries tell of the same death: it counts once. Each entry ran the content there, and each
// hears of it from the other as well.
func TestOneDeathCountsOnceWhoeverTells(t *testing.T) {
	a, b := poison.New(poison.DefaultConfig), poison.New(poison.DefaultConfig)
	for _, tab := range []*poison.Table{a, b} {
		tab.Started("engine-1", 7)
		tab.Died(t0, "engine-1", 3)
	}
	now := exchange(t0.Add(50*time.Millisecond), a, b)
	must.Eq(t, poison.Suspect, verdict(a, now.Add(settled), 7))
	must.Eq(t, poison.Suspect, verdict(b, now.Add(settled), 7))
}

// What the caller sees who sends the request again through another entry after each death: the third time it is
// refused, though each entry saw one death only.
func TestDeathsAreCountedAcrossInstances(t *testing.T) {
	a, b, c := poison.New(poison.DefaultConfig), poison.New(poison.DefaultConfig), poison.New(poison.DefaultConfig)
	a.Started("engine-1", 7)
	a.Died(t0, "engine-1", 3)
	now := exchange(t0.Add(100*time.Millisecond), a, b, c)
	b.Started("engine-2", 7)
	b.Died(now, "engine-2", 9)
	now = exchange(now.Add(100*time.Millisecond), a, b, c)
	must.Eq(t, poison.Poisoned, verdict(c, now.Add(settled), 7))
}

// What an innocent caller sees when another entry's suspect shares its engine: entry a knows of its own generation only
// and would refuse it for a second death, but b's news of the other suspect comes within Settle.
func TestNewsOfOtherSuspectSpareTheInnocent(t *testing.T) {
	a, b := poison.New(poison.DefaultConfig), poison.New(poison.DefaultConfig)
	a.Started("engine-1", 1)
	b.Started("engine-1", 2)
	a.Died(t0, "engine-1", 3)
	b.Died(t0, "engine-1", 3)
	now := exchange(t0.Add(time.Second), a, b)
	a.Started("engine-2", 1)
	b.Started("engine-2", 2)
	a.Died(now, "engine-2", 4)
	b.Died(now, "engine-2", 4)
	must.Eq(t, poison.Settling, verdict(a, now, 1))
	now = exchange(now.Add(100*time.Millisecond), a, b)
	must.Eq(t, poison.Suspect, verdict(a, now.Add(settled), 1))
}

// A death in which many were aboard: the last started are kept away from all, the others need not be kept from each
// other, or there would be no room for them.
func TestOldGenerationsMayShareAnEngine(t *testing.T) {
	tab := poison.New(poison.DefaultConfig)
	for f := uint64(1); f <= 20; f++ {
		tab.Started("engine-1", f)
	}
	tab.Died(t0, "engine-1", 1)
	tab.Started("engine-2", 1)
	must.SliceEmpty(t, tab.Avoid(t0, 2))
	tab.Started("engine-3", 20)
	must.Eq(t, []string{"engine-3"}, tab.Avoid(t0, 2))
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
// poisoned that did not see two deaths.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		tables := make([]*poison.Table, rapid.IntRange(2, 5).Draw(t, "tables"))
		for i := range tables {
			tables[i] = poison.New(poison.DefaultConfig)
		}
		deaths := make(map[uint64]map[uint64]bool)
		now := t0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(10 * time.Millisecond)
			tab := tables[rng.IntN(len(tables))]
			f, inc := rng.Uint64N(6)+1, rng.Uint64N(4)+1
			target := fmt.Sprintf("engine-%d", rng.IntN(3))
			switch rng.IntN(4) {
			case 0:
				tab.Started(target, f)
				tab.Died(now, target, inc)
				if deaths[f] == nil {
					deaths[f] = make(map[uint64]bool)
				}
				deaths[f][poison.DeathID(target, inc)] = true
			case 1:
				recs, _ := tab.Since(now, uint64(rng.IntN(10)))
				rng.Shuffle(len(recs), func(i, j int) { recs[i], recs[j] = recs[j], recs[i] })
				tables[rng.IntN(len(tables))].Merge(now, recs)
			}
		}
		now = exchange(now, tables...).Add(settled)
		for f := uint64(1); f <= 6; f++ {
			want := verdict(tables[0], now, f)
			if want == poison.Poisoned && len(deaths[f]) < 2 {
				t.Fatalf("content %d is poisoned after %d deaths", f, len(deaths[f]))
			}
			for _, tab := range tables[1:] {
				if got := verdict(tab, now, f); got != want {
					t.Fatalf("content %d: %v and %v", f, want, got)
				}
			}
		}
	})
}

func TestTableIsBounded(t *testing.T) {
	cfg := poison.DefaultConfig
	cfg.MaxSize = 10
	tab := poison.New(cfg)
	for f := uint64(1); f <= 100; f++ {
		now := t0.Add(time.Duration(f) * time.Second)
		tab.Started("engine-1", f)
		tab.Died(now, "engine-1", f)
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
		table.Started("engine-3", f)
		table.Died(now, "engine-3", incarnation)
	}
	v, wait := table.Check(now.Add(time.Second), f)
	fmt.Println(v, wait)
	fmt.Println(slices.Contains(table.Avoid(now, f), "engine-3"))
	// Output:
	// poisoned 14m59s
	// false
}
