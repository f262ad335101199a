// Package forecast forecasts the peak of an engine's key-value memory from the generations it runs.
//
// The generations of a batch advance together, one token per step. At each point of a fixed grid of steps ahead, a generation either still
// runs, holding its current tokens plus one per step, or has ended and holds nothing. A Load sums the mean and variance of that over a
// batch, treating lengths as independent. The engine stays within its memory over the horizon, with a probability set by the caller, if at
// every grid point the mean plus some standard deviations is below the capacity.
package forecast

import "math"

// Survival is the length distribution of one generation; length.Curve implements it.
type Survival interface {
	// Reach returns the probability that an output has more than n tokens.
	Reach(n int) float64
}

// Steps is the number of grid points.
const Steps = 20

// Grid holds the steps ahead at which memory is forecast.
var Grid = [Steps]int{0, 16, 32, 64, 96, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 3072, 4096, 6144, 8192, 12288, 16384}

// Generation is the state of one running generation.
type Generation struct {
	Held   int // tokens of memory held now: prompt and output
	Output int // output tokens so far
	Max    int // limit of its output; 0: none
}

// Load is the forecast memory, in tokens, at each point of Grid. The zero value is an empty engine.
type Load struct {
	Mean [Steps]float64
	Var  [Steps]float64
}

// Add adds one generation.
func (l *Load) Add(g Generation, s Survival) {
	given := s.Reach(g.Output - 1)
	for i, ahead := range Grid {
		if g.Max > 0 && g.Output+ahead >= g.Max && i > 0 {
			return
		}
		p := 1.0
		if i > 0 {
			p = s.Reach(g.Output+ahead) / given
		}
		if !(p >= negligible) { // also when given is 0
			return
		}
		held := float64(g.Held + ahead)
		l.Mean[i] += p * held
		l.Var[i] += p * (1 - p) * held * held
	}
}

// negligible is the survival probability below which the tail of a generation is ignored.
const negligible = 1e-4

// negligibleShare is the share of its current memory below which a generation's forecast no longer counts against admitting it.
const negligibleShare = 0.05

// AddLoad adds all of other.
func (l *Load) AddLoad(other *Load) {
	for i := range l.Mean {
		l.Mean[i] += other.Mean[i]
		l.Var[i] += other.Var[i]
	}
}

// AddConstant adds memory that stays in use, such as that of generations placed by others.
func (l *Load) AddConstant(tokens float64) {
	for i := range l.Mean {
		l.Mean[i] += tokens
	}
}

// Peak returns the highest mean plus z standard deviations over the first steps of the grid.
func (l *Load) Peak(z float64, steps int) float64 {
	var peak float64
	for i := range l.Mean[:steps] {
		peak = max(peak, l.Mean[i]+z*math.Sqrt(l.Var[i]))
	}
	return peak
}

// Fits reports whether l and other together stay within capacity, at z standard deviations, over the first steps of the grid. It
// compares the Peak of the sum without computing roots. Points at which other has all but ended are skipped: short work is not delayed
// by a later peak that it has no part in.
func (l *Load) Fits(other *Load, capacity, z float64, steps int) bool {
	for i := range l.Mean[:steps] {
		if other.Mean[i] < negligibleShare*other.Mean[0] {
			return true
		}
		headroom := capacity - l.Mean[i] - other.Mean[i]
		if headroom < 0 {
			return false
		}
		if headroom*headroom < z*z*(l.Var[i]+other.Var[i]) {
			return false
		}
	}
	return true
}

// StepsWithin returns the number of grid points at most ahead steps away.
func StepsWithin(ahead int) int {
	n := 0
	for n < Steps && Grid[n] <= ahead {
		n++
	}
	return n
}

// correlatedSteps is how many neighbouring grid points tend to exceed a bound together. A bound that each point keeps with probability
// 1-risk is exceeded at some point of the whole grid far more often: in this package's test, 24 of 100 batches exceeded a bound meant
// for 5.
const correlatedSteps = 2.5

// Deviations returns how many standard deviations above the mean keep the peak of a batch, over the first steps of the grid, within the
// bound except with probability risk.
func Deviations(risk float64, steps int) float64 {
	risk /= max(1, float64(steps)/correlatedSteps)
	if risk <= 0 {
		return maxDeviations
	}
	if risk >= 0.5 {
		return 0
	}
	return min(math.Sqrt2*math.Erfinv(1-2*risk), maxDeviations)
}

// maxDeviations stands for zero risk.
const maxDeviations = 6
