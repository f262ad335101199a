package fleet

import (
	"cmp"
	"slices"
)

// Size is the engine memory of a run, in tokens.
type Size struct {
	Held      int // held now
	Remaining int // expected to be added before the run ends
}

// Peak returns the largest total memory that runs will hold, assuming that all add tokens at the same rate and none joins. The maximum is
// reached when one of them is about to end. Counting each run at its full size would leave memory unused, since runs at different stages
// don't reach their full sizes together.
func Peak(runs []Size) int {
	slices.SortFunc(runs, func(a, b Size) int { return cmp.Compare(a.Remaining, b.Remaining) })
	held := 0
	for _, r := range runs {
		held += r.Held
	}
	peak := held
	for i, r := range runs {
		peak = max(peak, held+(len(runs)-i)*r.Remaining)
		held -= r.Held // the run has ended; the tokens it added are free as well
	}
	return peak
}

// maxFill is the share of an engine's memory that streams may fill. Load updates are some milliseconds old and length estimates are often
// too low; an engine that runs out of memory preempts a run, whose prompt must be prefilled again.
const maxFill = 0.97

// sizesOn lists the sizes of all runs on an engine, as far as known.
func (f *Fleet) sizesOn(t *Target) []Size { return f.appendSizes(nil, t) }

// appendSizes appends the sizes of all runs on an engine.
func (f *Fleet) appendSizes(out []Size, t *Target) []Size {
	if f.sizes != nil {
		out = append(out, f.sizes(t.ID)...)
	}
	return append(out, f.peerTotal(t).sizes...)
}

// fits reports whether an engine has memory for one more run until it and the runs beside it have ended.
func (f *Fleet) fits(t *Target, size Size, memory int) bool {
	runs := append(f.appendSizes(f.sizesBuf[:0], t), size)
	f.sizesBuf = runs[:0]
	// The length estimate may be absurdly high: an otherwise empty engine takes the run whatever the estimate.
	return len(runs) == 1 || float64(Peak(runs)) <= maxFill*float64(memory)
}
