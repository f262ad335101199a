package fairqueue

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1_000_000, 0)

func waiter(workspace uint64) Waiter { return Waiter{Workspace: workspace, Wait: time.Second} }

// One workspace, or several that were granted the same, at one priority: nothing moves, whatever the amounts and times.
func TestEqualAccountsMoveNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a Accounts
		var u Urgencies
		n := rapid.Uint64Range(1, MaxWorkspaces).Draw(t, "workspaces")
		priority := rapid.IntRange(0, 9).Draw(t, "priority")
		u.Include(priority)
		u.Include(priority)
		now := t0
		for range rapid.IntRange(0, 5).Draw(t, "rounds") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "pause")))
			tokens := rapid.IntRange(1, 1<<24).Draw(t, "tokens")
			for w := range n {
				a.Charge(now, w, tokens)
			}
		}
		w := waiter(rapid.Uint64Range(0, n-1).Draw(t, "workspace"))
		w.Priority = priority
		must.Eq(t, 0, Shift(&a, u, w))
		must.False(t, IsUnequal(&a, w))
	})
	must.Eq(t, 0, Shift(nil, Urgencies{}, waiter(1)))
}

// Four workspaces send one to eight parts. Those below their share go ahead, the others back, and a new one goes furthest ahead.
func TestUsageMovesStreams(t *testing.T) {
	var a Accounts
	for workspace, tokens := range map[uint64]int{1: 800, 2: 400, 3: 200, 4: 100} {
		a.Charge(t0, workspace, tokens)
	}
	shifts := make([]time.Duration, 6)
	for w := range uint64(6) {
		shifts[w] = Shift(&a, Urgencies{}, waiter(w))
	}
	must.Greater(t, 0, shifts[1])
	must.Eq(t, 0, shifts[2])
	must.Less(t, 0, shifts[3])
	must.Less(t, shifts[3], shifts[4])
	must.Eq(t, shifts[4], shifts[5])
	must.Eq(t, Back, MoveOf(shifts[1]))
	must.Eq(t, Ahead, MoveOf(shifts[4]))
}

// A workspace with twice the weight was granted twice as much: it has exactly its share.
func TestWeightsScaleShares(t *testing.T) {
	a := Accounts{Weight: func(w uint64) float64 { return float64(w) }}
	a.Charge(t0, 1, 100)
	a.Charge(t0, 2, 200)
	must.InDelta(t, 1, a.Ratio(1), 1e-9)
	must.InDelta(t, 1, a.Ratio(2), 1e-9)
}

// A workspace sends thousands of tiny streams. Their tokens count, not their number: another that was granted the same in two large
// streams stands like it.
func TestManyTinyStreamsCountByTokens(t *testing.T) {
	var a Accounts
	for range 5000 {
		a.Charge(t0, 1, 2)
	}
	a.Charge(t0, 2, 5000)
	a.Charge(t0, 2, 5000)
	must.InDelta(t, a.Ratio(1), a.Ratio(2), 1e-9)
}

// Usage of one half-life ago counts half, and after some minutes nothing is left.
func TestUsageDecays(t *testing.T) {
	var a Accounts
	a.Charge(t0, 1, 2000)
	a.Charge(t0.Add(HalfLife), 2, 1000)
	must.InDelta(t, a.Ratio(1), a.Ratio(2), 1e-9)
	must.False(t, a.Expire(t0.Add(HalfLife)))
	must.Eq(t, 2, a.Len())
	must.True(t, a.Expire(t0.Add(15*HalfLife)))
	must.Eq(t, 1, a.Ratio(1))
}

// The time passed in goes back by an hour, then forward by a year. Usage stays finite and the shares stay in order.
func TestStepsOfTimeAreHarmless(t *testing.T) {
	var a Accounts
	a.Charge(t0, 1, 100)
	a.Charge(t0.Add(-time.Hour), 2, 300)
	must.Less(t, a.Ratio(2), a.Ratio(1))
	a.Charge(t0.Add(365*24*time.Hour), 3, 50)
	must.InDelta(t, 0, a.Ratio(2), 1e-9)
	a.Charge(t0, 1, 100)
	must.Less(t, a.Ratio(1), a.Ratio(3))
	must.False(t, a.Expire(t0))
}

// Requests name ten thousand workspaces, one stream each. The accounts stay bounded and the large ones keep theirs.
func TestAccountsAreBounded(t *testing.T) {
	var a Accounts
	a.Charge(t0, 1<<32, 1_000_000)
	for w := range uint64(10_000) {
		a.Charge(t0, w, 100)
	}
	must.Eq(t, MaxWorkspaces, a.Len())
	must.Greater(t, 100, a.Ratio(1<<32))
	must.LessEq(t, 1, a.Ratio(9_999))
}

// Of streams of equal workspaces the less urgent one moves back, but by less than for one doubling of usage.
func TestUrgencyIsSecondToUsage(t *testing.T) {
	var u Urgencies
	for _, priority := range []int{3, 1, 5} {
		u.Include(priority)
	}
	at := func(priority int) time.Duration {
		w := waiter(1)
		w.Priority = priority
		return Shift(nil, u, w)
	}
	must.Eq(t, 0, at(1))
	must.Greater(t, 0, at(3))
	must.Greater(t, at(3), at(5))
	must.Less(t, time.Duration(usageShift*float64(time.Second)), at(5))
}

// Whatever workspaces were granted and however urgent streams are: two that wait as long differ by at most MaxShift of it, so one that has
// waited so long goes ahead of any that arrives from then on. A returned one keeps its turn.
func TestShiftIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a Accounts
		var u Urgencies
		var shifts []time.Duration
		for w := range rapid.Uint64Range(2, 30).Draw(t, "workspaces") {
			a.Charge(t0, w, rapid.IntRange(0, 1<<24).Draw(t, "tokens"))
		}
		priorities := rapid.SliceOfN(rapid.IntRange(0, 9), 2, 9).Draw(t, "priorities")
		for _, p := range priorities {
			u.Include(p)
		}
		for i, p := range priorities {
			w := waiter(uint64(i))
			w.Priority, w.IsRetry = p, rapid.Bool().Draw(t, "retry")
			shifts = append(shifts, Shift(&a, u, w))
			if w.IsRetry {
				must.Eq(t, 0, Shift(&a, u, w))
				must.Eq(t, 0, SizeShift(w))
			}
		}
		for _, x := range shifts {
			for _, y := range shifts {
				must.LessEq(t, time.Duration(MaxShift*float64(time.Second)), x-y)
			}
		}
	})
}

// A large stream moves ahead by more than a small one, by no more than half of its wait.
func TestLargeStreamsMoveFurtherAhead(t *testing.T) {
	shift := func(size float64) time.Duration { return SizeShift(Waiter{Wait: time.Second, Size: size}) }
	must.Eq(t, 0, shift(0))
	must.Less(t, shift(0.1), shift(0.2))
	must.Eq(t, -500*time.Millisecond, shift(1))
}

// Sums of many accounts are taken anew. They are the same in each run of a program, in whatever order a map lists the accounts: otherwise
// a simulation could not be repeated.
func TestSumsDoNotDependOnMapOrder(t *testing.T) {
	sum := func() float64 {
		var a Accounts
		for w := range uint64(100) {
			a.Charge(t0.Add(time.Duration(w)*77*time.Millisecond), w, 100_003+int(w))
		}
		a.Expire(t0.Add(10 * time.Second))
		return a.total
	}
	first := sum()
	for range 20 {
		must.Eq(t, first, sum())
	}
}
