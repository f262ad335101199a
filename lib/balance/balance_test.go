package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/balance"
)

var t0 = time.Unix(1_700_000_000, 0)

func table(now time.Time, running ...int) *balance.Table {
	tab := balance.New(balance.DefaultConfig)
	var specs []balance.Target
	for i := range running {
		specs = append(specs, balance.Target{Name: fmt.Sprint("t", i), FailureDomain: fmt.Sprint("d", i%2)})
	}
	tab.SetTargets(specs)
	for i, n := range running {
		tab.Report(now, fmt.Sprint("t", i), balance.Report{Running: n, Capacity: 10})
	}
	return tab
}

func picks(tab *balance.Table, now time.Time, q balance.Query, n int) map[string]int {
	rng := rand.New(rand.NewPCG(1, 1))
	out := make(map[string]int)
	for range n {
		if name, ok := tab.Pick(now, rng, q); ok {
			out[name]++
		}
	}
	return out
}

// With reports five seconds old, the target that looked idle is not overloaded, since each call sent since the report is
// counted.
func TestLocalCallsCorrectStaleReports(t *testing.T) {
	tab := table(t0, 0, 4, 4, 4)
	rng := rand.New(rand.NewPCG(1, 1))
	sent := make(map[string]int)
	for i := range 40 {
		now := t0.Add(time.Duration(i) * 100 * time.Millisecond)
		name, ok := tab.Pick(now, rng, balance.Query{})
		must.True(t, ok)
		tab.CallStarted(now, name)
		sent[name]++
	}
	must.Between(t, 10, sent["t0"], 16)
	must.Between(t, 7, sent["t1"], 13)
}

// A report older than a call does not include it; a younger one does.
func TestReportAgeDecidesWhichCallsItIncludes(t *testing.T) {
	tab := table(t0, 0, 3)
	for range 4 {
		tab.CallStarted(t0.Add(time.Second), "t0")
	}
	now := t0.Add(2 * time.Second)
	tab.Report(now, "t0", balance.Report{Running: 0, Capacity: 10, Age: 1500 * time.Millisecond})
	must.Eq(t, 20, picks(tab, now, balance.Query{}, 20)["t1"]) // 0 reported + 4 sent since, against 3
	for range 4 {
		tab.CallDone(now, "t0")
	}
	now = now.Add(time.Second)
	tab.Report(now, "t0", balance.Report{Running: 1, Capacity: 10})
	must.Eq(t, 20, picks(tab, now, balance.Query{}, 20)["t0"])
}

func TestPrefersLocalDomainUnlessMuchMoreLoaded(t *testing.T) {
	tab := table(t0, 4, 3, 4, 3)
	got := picks(tab, t0, balance.Query{FailureDomain: "d0"}, 50)
	must.Eq(t, 50, got["t0"]+got["t2"])
	tab = table(t0, 9, 3, 9, 3)
	got = picks(tab, t0, balance.Query{FailureDomain: "d0"}, 50)
	must.Eq(t, 50, got["t1"]+got["t3"])
}

// No call goes to targets that leave, drain, failed or have an open circuit breaker; if none is left, Pick returns
// none rather than an unusable one.
func TestNeverPicksUnusableTargets(t *testing.T) {
	tab := table(t0, 0, 0, 0, 0)
	tab.SetTargets([]balance.Target{{Name: "t0", Draining: true}, {Name: "t1"}, {Name: "t2"}, {Name: "t3"}})
	tab.Report(t0, "t1", balance.Report{Capacity: 10, Leaving: true})
	q := balance.Query{Avoid: []string{"t2"}, Usable: func(name string) bool { return name != "t3" }}
	must.MapEmpty(t, picks(tab, t0, q, 20))
	q.Usable = nil
	must.Eq(t, map[string]int{"t3": 20}, picks(tab, t0, q, 20))
}

// A target whose reports have stopped must not attract calls for ever: once the report is stale, only local calls count.
func TestStaleReportIsIgnored(t *testing.T) {
	tab := table(t0, 0, 9)
	now := t0.Add(balance.DefaultConfig.StaleAfter + time.Second)
	for range 2 {
		tab.CallStarted(now, "t0")
	}
	must.Eq(t, 20, picks(tab, now, balance.Query{}, 20)["t1"])
}

// A call goes to the less loaded of two targets.
func Example() {
	targets := balance.New(balance.DefaultConfig)
	targets.SetTargets([]balance.Target{{Name: "dispatch-1", FailureDomain: "leith-hall"}, {Name: "dispatch-2", FailureDomain: "leith-hall"}})
	now := time.Unix(0, 0)
	targets.Report(now, "dispatch-1", balance.Report{Running: 7, Capacity: 8})
	targets.Report(now, "dispatch-2", balance.Report{Running: 2, Capacity: 8})
	name, _ := targets.Pick(now, rand.New(rand.NewPCG(1, 1)), balance.Query{FailureDomain: "leith-hall"})
	targets.CallStarted(now, name)
	fmt.Println(name)
	// Output: dispatch-2
}

// A target rejects this instance for a stated time. It gets no call until then, even if there is no other target.
func TestPausedTargetGetsNoCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	tab := table(now, 0, 5)
	busy := picks(tab, now, balance.Query{}, 50)
	var idle string
	for name, n := range busy {
		if n > 25 {
			idle = name
		}
	}
	tab.PauseUntil(idle, now.Add(2*time.Second))
	tab.PauseUntil(idle, now.Add(time.Second))
	must.MapNotContainsKey(t, picks(tab, now.Add(1900*time.Millisecond), balance.Query{}, 50), idle)
	must.MapContainsKey(t, picks(tab, now.Add(2*time.Second), balance.Query{}, 50), idle)
	one := table(now, 0)
	for name := range picks(one, now, balance.Query{}, 1) {
		one.PauseUntil(name, now.Add(time.Second))
	}
	must.MapEmpty(t, picks(one, now, balance.Query{}, 5))
}
