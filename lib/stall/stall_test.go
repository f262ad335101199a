package stall_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/stall"
)

var t0 = time.Unix(1_700_000_000, 0)

// feed gives n tokens to one stream, about gap apart.
func feed(m *stall.Monitor, now time.Time, id uint64, gap time.Duration, n int) time.Time {
	rng := rand.New(rand.NewPCG(id, 1))
	for range n {
		now = now.Add(gap/2 + time.Duration(rng.Int64N(int64(gap))))
		m.Token(now, id)
	}
	return now
}

// A fast and a slow engine each get a timeout of their own, between floor and cap; a new one is given more time.
func TestTimeoutFollowsTarget(t *testing.T) {
	m := stall.New(stall.DefaultConfig)
	m.Start(t0, 1, "fast")
	m.Start(t0, 2, "slow")
	m.Start(t0, 3, "frozen-often")
	must.Eq(t, stall.DefaultConfig.Cold, m.Timeout("fast"))
	feed(m, t0, 1, 20*time.Millisecond, 1000)
	feed(m, t0, 2, 400*time.Millisecond, 1000)
	feed(m, t0, 3, 3*time.Second, 1000)
	must.Eq(t, stall.DefaultConfig.Floor, m.Timeout("fast"))
	must.Between(t, 2*time.Second, m.Timeout("slow"), 4*time.Second)
	must.Eq(t, stall.DefaultConfig.Cap, m.Timeout("frozen-often"))
}

// An engine that was slow under load and is fast again gets its short timeout back as old gaps decay.
func TestOldGapsDecay(t *testing.T) {
	m := stall.New(stall.DefaultConfig)
	m.Start(t0, 1, "a")
	now := feed(m, t0, 1, time.Second, 500)
	slow := m.Timeout("a")
	now = feed(m, now, 1, 20*time.Millisecond, 60_000)
	must.Less(t, slow/2, m.Timeout("a"))
	must.True(t, now.Sub(t0) < time.Hour)
}

// What the caller sees: its stream goes on elsewhere within half a second of silence. One stream of four on the engine
// stops, so the generation is at fault and not the link.
func TestOneSilentStreamIsAGenerationStall(t *testing.T) {
	m := stall.New(stall.DefaultConfig)
	now := warm(m, 4)
	silent := now
	for range 60 {
		now = now.Add(10 * time.Millisecond)
		for id := uint64(2); id <= 4; id++ {
			m.Token(now, id)
		}
	}
	stalls := m.Check(now, nil)
	must.Len(t, 1, stalls)
	must.Eq(t, stall.Stall{Stream: 1, Target: "a", Kind: stall.Generation, Silent: now.Sub(silent)}, stalls[0])
	must.Len(t, 0, m.Check(now, nil)) // told once
}

// What callers see when a link freezes without a reset: all their streams go on elsewhere, and no generation is blamed.
// The streams' last tokens came some milliseconds apart, so they time out one after the other.
func TestFrozenLinkIsToldFromTheFirstStream(t *testing.T) {
	m := stall.New(stall.DefaultConfig)
	now := warm(m, 4)
	m.Start(now, 9, "a") // in prefill: says nothing about the link
	for id := uint64(1); id <= 4; id++ {
		now = now.Add(8 * time.Millisecond)
		m.Token(now, id)
	}
	seen := 0
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		for _, st := range m.Check(now, nil) {
			must.Eq(t, stall.Link, st.Kind)
			seen++
		}
	}
	must.Eq(t, 4, seen)
}

// warm runs n streams on target a until its histogram is warm.
func warm(m *stall.Monitor, n uint64) time.Time {
	now := t0
	for id := uint64(1); id <= n; id++ {
		m.Start(now, id, "a")
	}
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		for id := uint64(1); id <= n; id++ {
			m.Token(now, id)
		}
	}
	return now
}

func BenchmarkToken(b *testing.B) {
	m := stall.New(stall.DefaultConfig)
	m.Start(t0, 1, "a")
	now := t0
	for b.Loop() {
		now = now.Add(20 * time.Millisecond)
		m.Token(now, 1)
	}
}

// A stream that falls silent for longer than its engine's habit is reported.
func Example() {
	m := stall.New(stall.DefaultConfig)
	now := time.Unix(0, 0)
	m.Start(now, 1, "engine-3")
	for range 300 {
		now = now.Add(20 * time.Millisecond)
		m.Token(now, 1)
	}
	for _, s := range m.Check(now.Add(600*time.Millisecond), nil) {
		fmt.Println(s.Kind, "stall on", s.Target, "after", s.Silent)
	}
	// Output: generation stall on engine-3 after 600ms
}
