package fleet

import (
	"cmp"
	"slices"
)

// Size is a run's part of an engine's memory, in tokens.
type Size struct {
	Held      int // it holds
	Remaining int // it is expected to add before it ends
}

// Peak returns the most memory that runs will take together, if all add tokens at one pace and none joins them: it is
// reached when one of them is about to end. Counting each at its full size would leave room unused, since runs that are
// at different places don't reach it together.
func Peak(runs []Size) int {
	slices.SortFunc(runs, func(a, b Size) int { return cmp.Compare(a.Remaining, b.Remaining) })
	held := 0
	for _, r := range runs {
		held += r.Held
	}
	most := held
	for i, r := range runs {
		most = max(most, held+(len(runs)-i)*r.Remaining)
		held -= r.Held // it has ended, and what it had added is free, too
	}
	return most
}

// fillShare is the part of an engine's memory that streams are sent to fill. News is some milliseconds old and guesses of
// length are often short; an engine that runs out preempts a run, whose prompt is read again.
const fillShare = 0.97

// sizesOn lists the sizes of all runs on an engine, as far as this instance knows.
func (f *Fleet) sizesOn(t *Target) []Size {
	var out []Size
	if f.sizes != nil {
		out = append(out, f.sizes(t.ID)...)
	}
	return append(out, f.toldOf(t).sizes...)
}

// fits tells whether an engine has memory for one more run until it and those beside it have ended.
func (f *Fleet) fits(t *Target, s Size, kv int) bool {
	runs := append(f.sizesOn(t), s)
	// A guess of length may be absurd: an engine with nothing else on it has room, whatever the guess says.
	return len(runs) == 1 || float64(Peak(runs)) <= fillShare*float64(kv)
}
