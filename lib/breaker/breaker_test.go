package breaker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/breaker"
)

var t0 = time.Unix(1_700_000_000, 0)

func failAttempts(t *testing.T, s *breaker.Set, now time.Time, n int) {
	t.Helper()
	for range n {
		tk, _, ok := s.Allow(now, "a")
		must.True(t, ok)
		tk.Done(now, breaker.Failure)
	}
}

// openUntil returns when the open link admits a probe.
func openUntil(s *breaker.Set, now time.Time) time.Time {
	_, wait, _ := s.Allow(now, "a")
	return now.Add(wait)
}

// After three failures no more calls go to the target. Once it has recovered, one call probes it, then another, and only then
// do the rest follow. The links of other targets are not affected.
func TestOpensProbesCloses(t *testing.T) {
	s := breaker.New(breaker.DefaultConfig, 1)
	failAttempts(t, s, t0, 3)
	must.Eq(t, breaker.Open, s.State(t0, "a"))
	must.True(t, s.Usable(t0, "b"))
	must.False(t, s.Usable(t0, "a"))

	now := openUntil(s, t0)
	for range 2 {
		must.Eq(t, breaker.HalfOpen, s.State(now, "a"))
		probe, _, ok := s.Allow(now, "a")
		must.True(t, ok)
		_, _, ok = s.Allow(now, "a") // one probe at a time
		must.False(t, ok)
		probe.Done(now, breaker.Success)
	}
	must.Eq(t, breaker.Closed, s.State(now, "a"))
}

func TestFailedProbesLengthenThePeriod(t *testing.T) {
	s := breaker.New(breaker.DefaultConfig, 1)
	failAttempts(t, s, t0, 3)
	now, last := t0, time.Duration(0)
	for range 4 {
		until := openUntil(s, now)
		must.Greater(t, last, until.Sub(now))
		last = until.Sub(now)
		now = until
		failAttempts(t, s, now, 1)
	}
}

// Probes of many instances must reach a recovering target spread over half a period instead of all at once.
func TestProbesOfInstancesAreSpread(t *testing.T) {
	first, last := t0.Add(time.Hour), t0
	for seed := range uint64(50) {
		s := breaker.New(breaker.DefaultConfig, seed)
		failAttempts(t, s, t0, 3)
		at := openUntil(s, t0)
		if at.Before(first) {
			first = at
		}
		if at.After(last) {
			last = at
		}
	}
	must.Greater(t, 400*time.Millisecond, last.Sub(first))
}

// A call sent before the link opened that ends after it closed must not affect the link's current state.
func TestLateOutcomeOfOlderStateIsDropped(t *testing.T) {
	s := breaker.New(breaker.DefaultConfig, 1)
	old, _, _ := s.Allow(t0, "a")
	failAttempts(t, s, t0, 3)
	now := openUntil(s, t0)
	old.Done(now, breaker.Failure)
	must.Eq(t, breaker.HalfOpen, s.State(now, "a"))
}

// A probe whose outcome is never reported must not keep the link open forever.
func TestLostProbeCountsAsFailed(t *testing.T) {
	s := breaker.New(breaker.DefaultConfig, 1)
	failAttempts(t, s, t0, 3)
	now := openUntil(s, t0)
	_, _, ok := s.Allow(now, "a")
	must.True(t, ok)
	now = now.Add(breaker.DefaultConfig.ProbeFor)
	must.Eq(t, breaker.Open, s.State(now, "a"))
	must.True(t, s.Usable(openUntil(s, now), "a"))
}

func TestRatioOpensAndIgnoredDoesNot(t *testing.T) {
	s := breaker.New(breaker.DefaultConfig, 1)
	for i := range 40 {
		tk, _, ok := s.Allow(t0, "a")
		if !ok {
			must.Eq(t, 20, i)
			return
		}
		tk.Done(t0, breaker.Ignored)
		tk, _, ok = s.Allow(t0, "a")
		must.True(t, ok)
		tk.Done(t0, []breaker.Outcome{breaker.Success, breaker.Failure}[i%2])
	}
	t.Fatal("never opened")
}

// Three failures in a row open a link for about a second.
func Example() {
	links := breaker.New(breaker.DefaultConfig, 1)
	now := time.Unix(0, 0)
	for range 4 {
		attempt, _, ok := links.Allow(now, "engine-3")
		if !ok {
			fmt.Println("use another target")
			continue
		}
		attempt.Done(now, breaker.Failure)
	}
	fmt.Println(links.State(now, "engine-3"), links.State(now.Add(2*time.Second), "engine-3"))
	// Output:
	// use another target
	// open half_open
}
