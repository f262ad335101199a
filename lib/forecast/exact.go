package forecast

import "slices"

// Exact foresees the memory of generations whose lengths are known in advance. Between two points of Grid a generation
// grows and ends unseen; Exact looks at each step at which one ends, for it is there that the sum is highest. The zero
// value is an empty engine.
type Exact struct {
	ends []end // those that end last come first
}

// end is a generation that holds so many tokens now and grows by one a step until it ends.
type end struct{ held, left int }

// Reset empties e and keeps its memory.
func (e *Exact) Reset() { e.ends = e.ends[:0] }

// Add adds a generation of total tokens of output.
func (e *Exact) Add(g Generation, total int) {
	n := end{g.Held, max(total-g.Output, 0)}
	i, _ := slices.BinarySearchFunc(e.ends, n, func(a, b end) int { return b.left - a.left })
	e.ends = slices.Insert(e.ends, i, n)
}

// Peak returns the highest sum over so many steps ahead.
func (e *Exact) Peak(ahead int) float64 {
	peak, held := 0, 0
	for i, g := range e.ends {
		held += g.held
		peak = max(peak, held+(i+1)*min(g.left, ahead))
	}
	return float64(peak)
}

// PeakWith returns the highest sum from now on with one generation more.
func (e *Exact) PeakWith(g Generation, total int) float64 {
	one := end{g.Held, max(total-g.Output, 0)}
	peak, held, n := 0, 0, 0
	added := false
	step := func(x end) {
		held += x.held
		n++
		peak = max(peak, held+n*x.left)
	}
	for _, x := range e.ends {
		if !added && x.left <= one.left {
			step(one)
			added = true
		}
		step(x)
	}
	if !added {
		step(one)
	}
	return float64(peak)
}
