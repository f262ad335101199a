package enginemodel

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// stepTime returns how long a step of one decoding sequence takes that starts at a time.
func stepTime(t *testing.T, c Config, stepFactor float64, at time.Duration) time.Duration {
	t.Helper()
	e := New(c)
	e.SetStepFactor(stepFactor)
	must.NoError(t, e.Add(at, Seq{Gen: gen(1), Prompt: 1, Length: 9}))
	first, _ := e.Next()
	e.Step(first, nil)
	next, busy := e.Next()
	must.True(t, busy)
	return next - first
}

// An engine that is slow by itself, slowed down for a moment, and slowed down by a fault: the factors multiply.
func TestSpeedNoiseAndStepFactorCompose(t *testing.T) {
	c := small()
	usual := stepTime(t, c, 1, 0)
	c.Speed, c.Noise = 1.5, Noise{Share: 1, Factor: 2, Window: time.Second}
	must.InDelta(t, 1.5*2*3*usual.Seconds(), stepTime(t, c, 3, 0).Seconds(), 1e-6)
}

// A simulation is only repeatable if slowdowns depend on the seed and the time alone. They last whole windows, take their share of the
// time, and differ between engines: engines that are all slowed down at once would leave no choice among them.
func TestNoiseFollowsSeedAndTime(t *testing.T) {
	const window = 600 * time.Millisecond
	c := small()
	c.Noise = Noise{Share: 0.15, Factor: 2.5, Window: window}
	slow, both, runs, n := 0, 0, 0, 100_000
	c.Seed = 1
	first, again := New(c), New(c)
	c.Seed = 2
	other := New(c)
	last := 1.0
	for i := range n {
		at := time.Duration(i) * 20 * time.Millisecond
		f := first.Slowdown(at)
		must.Eq(t, f, again.Slowdown(at))
		if f > 1 {
			must.Eq(t, 2.5, f)
			slow++
			if other.Slowdown(at) > 1 {
				both++
			}
			if last == 1 {
				runs++
			}
		}
		last = f
	}
	must.InDelta(t, 0.15, float64(slow)/float64(n), 0.02)
	must.InDelta(t, 0.15, float64(both)/float64(slow), 0.03)
	must.InDelta(t, window.Seconds()/0.85, 0.02*float64(slow)/float64(runs), 0.1) // neighbouring windows may both be slow
	must.Eq(t, 1, New(small()).Slowdown(0))
}
