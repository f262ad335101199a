package forecast

import "slices"

// Exact forecasts the memory of generations whose lengths are known in advance. Between two points of Grid a generation can grow and end
// unnoticed; Exact looks at each step at which one ends, where the sum is highest. The zero value is an empty engine.
type Exact struct {
	active []activeGeneration // ordered by end, latest first
}

// activeGeneration holds held tokens now and grows by one per step until it ends after remaining steps.
type activeGeneration struct{ held, remaining int }

// Reset empties e, keeping its allocated memory.
func (e *Exact) Reset() { e.active = e.active[:0] }

// Add adds a generation of total output tokens.
func (e *Exact) Add(g Generation, total int) {
	n := activeGeneration{g.Held, max(total-g.Output, 0)}
	i, _ := slices.BinarySearchFunc(e.active, n, func(a, b activeGeneration) int { return b.remaining - a.remaining })
	e.active = slices.Insert(e.active, i, n)
}

// Peak returns the highest sum over the given number of steps ahead.
func (e *Exact) Peak(ahead int) float64 {
	peak, held := 0, 0
	for i, g := range e.active {
		held += g.held
		peak = max(peak, held+(i+1)*min(g.remaining, ahead))
	}
	return float64(peak)
}

// PeakWith returns the highest sum over all steps ahead if one more generation is added.
func (e *Exact) PeakWith(g Generation, total int) float64 {
	candidate := activeGeneration{g.Held, max(total-g.Output, 0)}
	peak, held, n := 0, 0, 0
	added := false
	step := func(x activeGeneration) {
		held += x.held
		n++
		peak = max(peak, held+n*x.remaining)
	}
	for _, x := range e.active {
		if !added && x.remaining <= candidate.remaining {
			step(candidate)
			added = true
		}
		step(x)
	}
	if !added {
		step(candidate)
	}
	return float64(peak)
}
