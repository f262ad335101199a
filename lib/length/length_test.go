package length

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

func TestBucketsCoverAllLengthsInOrder(t *testing.T) {
	last := -1
	for n := range 70_000 {
		b := bucketOf(n)
		must.GreaterEq(t, lowerEdge(b), n)
		must.Less(t, lowerEdge(b+1), n)
		must.Between(t, last, b, last+1)
		last = b
	}
	must.EqOp(t, numBuckets-1, bucketOf(math.MaxInt))
}

func lognormal(rng *rand.Rand, median, sigma float64) int {
	return max(int(median*math.Exp(sigma*rng.NormFloat64())), 1)
}

func TestCurveMatchesObservedLengths(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	e := New(Options{Memory: 2000})
	g := e.Group("w", "c")
	var all []int
	for range 2000 {
		n := lognormal(rng, 300, 0.8)
		all = append(all, n)
		e.Observe(g, n)
	}
	slices.Sort(all)
	for _, q := range []float64{0.1, 0.5, 0.9, 0.99} {
		want := float64(all[int(q*float64(len(all)))])
		got := float64(e.Quantile(g, 0, q))
		test.InDelta(t, want, got, 0.2*want, test.Sprintf("quantile %v", q))
	}
}

// An output that is already longer than most others must be expected to run longer, not to be nearly done.
func TestRemainingIsConditionalOnTokensSoFar(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	e := New(Options{})
	g := e.Group("w", "c")
	for range 500 {
		// Half are short answers, half are long narratives.
		e.Observe(g, 20+rng.IntN(20))
		e.Observe(g, 1500+rng.IntN(500))
	}
	test.Between(t, 700, e.Mean(g, 0, 0), 1100)
	test.Between(t, 1400, e.Mean(g, 100, 0), 2000)
	test.Between(t, 50, e.Mean(g, 1700, 0), 300)
	test.Between(t, 1, e.Quantile(g, 1900, 0.5), 300)
}

// If only short outputs have ended while long ones still run, the estimate must not take all outputs for short.
func TestRunningOutputsCountWhileCold(t *testing.T) {
	e := New(Options{})
	g := e.Group("w", "c")
	for range 10 {
		e.Observe(g, 50)
	}
	for range 30 {
		e.ObserveProgress(g, 0, 800)
	}
	test.Greater(t, 0.6, e.Curve(g).Reach(700))
}

func TestColdGroupFallsBackToClassThenService(t *testing.T) {
	e := New(Options{})
	known := e.Group("a", "narrative")
	other := e.Group("a", "question")
	for range 300 {
		e.Observe(known, 2000)
		e.Observe(other, 30)
	}
	sameClass := e.Group("b", "narrative")
	test.Between(t, 1500, e.Quantile(sameClass, 0, 0.5), 2500)
	newClass := e.Group("b", "summary")
	test.Less(t, 0.9, e.Curve(newClass).Reach(40))
	test.Greater(t, 0.2, e.Curve(newClass).Reach(40))
}

func TestDistributionShiftIsLearnedWithinMemory(t *testing.T) {
	e := New(Options{Memory: 100})
	g := e.Group("w", "c")
	for range 1000 {
		e.Observe(g, 40)
	}
	for range 200 {
		e.Observe(g, 900)
	}
	test.Greater(t, 500, e.Quantile(g, 0, 0.5))
}

func TestTailStaysHeavyBeyondObservedLengths(t *testing.T) {
	e := New(Options{})
	g := e.Group("w", "c")
	for range 300 {
		e.Observe(g, 200)
	}
	e.ObserveProgress(g, 0, 5000)
	c := e.Curve(g)
	test.Greater(t, 0, c.Survival(5000, 1000))
	test.Less(t, 1, c.Survival(5000, 1000))
	test.Greater(t, 100, c.Mean(5000, 0))
}

func TestMeanRespectsLimit(t *testing.T) {
	e := New(Options{})
	g := e.Group("w", "c")
	test.LessEq(t, 28, e.Mean(g, 100, 128))
	test.EqOp(t, 0, e.Mean(g, 128, 128))
}

func TestFixedLengthIsCertain(t *testing.T) {
	c := Fixed(100)
	test.EqOp(t, 1, c.Survival(60, 39))
	test.EqOp(t, 0, c.Survival(60, 40))
	test.EqOp(t, 40, c.Mean(60, 0))
	test.EqOp(t, 40, c.Quantile(60, 0.5))
}

func TestLookupsDoNotAllocate(t *testing.T) {
	e := New(Options{})
	g := e.Group("w", "c")
	n := testing.AllocsPerRun(100, func() {
		e.Observe(g, 300)
		e.Curve(g).Survival(50, 100)
		e.Mean(e.Group("w", "c"), 10, 0)
	})
	test.EqOp(t, 0, n)
}
