package breaker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/breaker"
)

var t0 = time.Unix(1_700_000_000, 0)

func fail(t *testing.T, s *breaker.Set, now time.Time, n int) {
	t.Helper()
	for range n {
		tk, _, ok := s.Allow(now, "a")
		must.True(t, ok)
		tk.Done(now, breaker.Failure)
	}
}

// openUntil returns when the open link lets a probe through.
func openUntil(s *breaker.Set, now time.Time) time.Time {
	_, wait, _ := s.Allow(now, "a")
	return now.Add(wait)
}

// What callers see when a target's link fails: after three failures no more calls go there; once it is back, one call
// tries it, then one more, and only then the rest follow. Another target's link is not touched.
func TestOpensProbesCloses(t *testing.T) {
	s := breaker.New(breaker.DefaultConfig, 1)
	fail(t, s, t0, 3)
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
	fail(t, s, t0, 3)
	now, last := t0, time.Duration(0)
	for range 4 {
		until := openUntil(s, now)
		must.Greater(t, last, until.Sub(now))
		last = until.Sub(now)
		now = until
		fail(t, s, now, 1)
	}
}

// What a recovering target sees: probes of many instances spread over half a period, not all in one moment.
func TestInstancesProbeApart(t *testing.T) {
	first, last := t0.Add(time.Hour), t0
	for seed := range uint64(50) {
		s := breaker.New(breaker.DefaultConfig, seed)
		fail(t, s, t0, 3)
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

// A call that was sent before the link opened and ends after it closed says nothing about the link now.
func TestLateOutcomeOfOlderStateIsDropped(t *testing.T) {
	s := breaker.New(breaker.DefaultConfig, 1)
	old, _, _ := s.Allow(t0, "a")
	fail(t, s, t0, 3)
	now := openUntil(s, t0)
	old.Done(now, breaker.Failure)
	must.Eq(t, breaker.HalfOpen, s.State(now, "a"))
}

// A probe whose caller never reports must not keep the link shut for ever.
func TestLostProbeCountsAsFailed(t *testing.T) {
	s := breaker.New(breaker.DefaultConfig, 1)
	fail(t, s, t0, 3)
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

// Three failures in a row shut a link for about a second.
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
