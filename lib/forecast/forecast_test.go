package forecast

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test"

	"anvilwick.example/anvilwick/lib/length"
)

func TestPeakOfKnownLengths(t *testing.T) {
	var l Load
	short, long := length.Fixed(64), length.Fixed(512)
	l.Add(Generation{Held: 1000}, &short)
	l.Add(Generation{Held: 100}, &long)
	// The short one is last counted at 32 more tokens on the grid; then it frees more than 1,000.
	test.EqOp(t, 1100+2*32, l.Peak(0, Steps))
	test.EqOp(t, 0, l.Var[3])
	test.EqOp(t, 100+384, l.Mean[8])
	test.EqOp(t, 0, l.Mean[9])
}

func TestMaxBoundsForecast(t *testing.T) {
	var l Load
	c := length.Fixed(10_000)
	l.Add(Generation{Held: 150, Output: 50, Max: 100}, &c)
	test.EqOp(t, 182, l.Peak(0, Steps))
}

func TestFitsAgreesWithPeak(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	e := length.New(length.Options{})
	g := e.Group("w", "c")
	for range 300 {
		e.Observe(g, 1+rng.IntN(1500))
	}
	var l, candidate Load
	for range 30 {
		l.Add(Generation{Held: 200 + rng.IntN(500), Output: rng.IntN(200)}, e.Curve(g))
	}
	candidate.Add(Generation{Held: 400}, e.Curve(g))
	sum := l
	sum.AddLoad(&candidate)
	peak := sum.Peak(2, Steps)
	test.True(t, l.Fits(&candidate, peak+1, 2, Steps))
	test.False(t, l.Fits(&candidate, peak-1, 2, Steps))
}

// The share of batches that exceed the forecast must be close to the accepted risk.
func TestPeakIsExceededAtAcceptedRisk(t *testing.T) {
	const risk, trials, batch = 0.05, 400, 30
	rng := rand.New(rand.NewPCG(5, 6))
	e := length.New(length.Options{Memory: 5000})
	g := e.Group("w", "c")
	draw := func() int { return max(int(300*math.Exp(0.9*rng.NormFloat64())), 1) }
	for range 5000 {
		e.Observe(g, draw())
	}
	var l Load
	for range batch {
		l.Add(Generation{Held: 300}, e.Curve(g))
	}
	bound := l.Peak(Deviations(risk, Steps), Steps)
	over := 0
	for range trials {
		var lengths [batch]int
		for i := range lengths {
			lengths[i] = draw()
		}
		if peakOf(lengths[:], 300) > bound {
			over++
		}
	}
	// Lengths are skewed, which the normal approximation ignores: up to 1.5 times the risk is allowed.
	test.Between(t, 0, over, 1.5*risk*trials)
}

func peakOf(lengths []int, held int) float64 {
	peak := 0
	for _, at := range lengths {
		sum := 0
		for _, n := range lengths {
			if n >= at {
				sum += held + at
			}
		}
		peak = max(peak, sum)
	}
	return float64(peak)
}

func TestDeviations(t *testing.T) {
	test.InDelta(t, 1.645, Deviations(0.05, 1), 0.001)
	test.Greater(t, Deviations(0.05, 8), Deviations(0.05, Steps))
	test.EqOp(t, 0, Deviations(0.7, 1))
	test.EqOp(t, maxDeviations, Deviations(0, 1))
}
