// Package forecast foresees the peak of an engine's key-value memory from the generations it runs.
//
// The generations of a batch advance together, one token a step. At each of a fixed grid of steps ahead, a
// generation either still runs, and then holds what it holds now and one token for each step, or has ended and
// holds nothing. A Load sums the mean and the variance of that over a batch; the lengths are taken as independent.
// The engine stays within its memory over the horizon, with a chance set by the caller, when at every step of the
// grid the mean and some standard deviations are under it.
package forecast

import "math"

// Survival is the length distribution of one generation; length.Curve implements it.
type Survival interface {
	// Reach returns the chance that an output has more than n tokens.
	Reach(n int) float64
}

// Steps is the number of grid points.
const Steps = 20

// Grid holds the steps ahead at which memory is foreseen.
var Grid = [Steps]int{0, 16, 32, 64, 96, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 3072, 4096, 6144, 8192, 12288, 16384}

// Generation is what a Load needs to know of one running generation.
type Generation struct {
	Held   int // tokens of memory it holds now: prompt and output
	Output int // tokens of output so far
	Max    int // bound on its output; 0: none
}

// Load is the memory, in tokens, foreseen at each step of Grid. The zero value is an empty engine.
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

// negligible cuts the tail of a generation whose further steps can't matter.
const negligible = 1e-4

// negligiblePart is the part of what a generation holds now that is no reason to keep it out.
const negligiblePart = 0.05

// AddLoad adds all of other.
func (l *Load) AddLoad(other *Load) {
	for i := range l.Mean {
		l.Mean[i] += other.Mean[i]
		l.Var[i] += other.Var[i]
	}
}

// AddConstant adds memory that stays held, such as that of generations others placed.
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

// Fits reports whether l and other together stay within capacity, at z standard deviations, over the first steps of
// the grid. It is Peak of the sum without the roots. Steps at which other has all but ended are left out: short work
// is not kept waiting for a peak that it has no part in.
func (l *Load) Fits(other *Load, capacity, z float64, steps int) bool {
	for i := range l.Mean[:steps] {
		if other.Mean[i] < negligiblePart*other.Mean[0] {
			return true
		}
		room := capacity - l.Mean[i] - other.Mean[i]
		if room < 0 {
			return false
		}
		if room*room < z*z*(l.Var[i]+other.Var[i]) {
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

// stepsAlike is how many neighbouring steps of the grid break a bound together. A bound that each step keeps with chance
// 1-risk is broken at one of the whole grid far more often: in the test of this package 24 of 100 batches broke a bound
// made for 5.
const stepsAlike = 2.5

// Deviations returns how many standard deviations above the mean keep the peak of a batch, over the first steps of
// the grid, within the bound but for a chance of risk.
func Deviations(risk float64, steps int) float64 {
	risk /= max(1, float64(steps)/stepsAlike)
	if risk <= 0 {
		return maxDeviations
	}
	if risk >= 0.5 {
		return 0
	}
	return min(math.Sqrt2*math.Erfinv(1-2*risk), maxDeviations)
}

// maxDeviations stands for no risk at all.
const maxDeviations = 6
