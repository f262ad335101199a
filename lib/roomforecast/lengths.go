package roomforecast

import (
	"math/bits"

	"anvilwick.example/anvilwick/lib/length"
)

const (
	// hintUnits is the length that stands for an output as long as its hint. Without observations, half of the outputs are assumed to be
	// longer (the prior of lib/length).
	hintUnits = 200
	// maxUnits bounds an output in units.
	maxUnits = length.MaxLength
	// classBits is the number of doublings of a hint that share a class: hints of short outputs are off by other factors than those of long
	// ones.
	classBits = 3
	// maxClass is the class of the longest hints.
	maxClass = 5
)

// Lengths estimates how the outputs of a service compare with their hints. It is not safe for concurrent use.
type Lengths struct {
	estimator *length.Estimator
	groups    [maxClass + 1]length.Group
}

// NewLengths returns a Lengths without observations.
func NewLengths() *Lengths {
	l := &Lengths{estimator: length.New(length.Options{})}
	for class := range l.groups {
		l.groups[class] = l.estimator.Group("", string(rune('0'+class)))
	}
	return l
}

func (l *Lengths) groupOf(hint int) length.Group {
	return l.groups[min(bits.Len(uint(max(hint, 0)))/classBits, maxClass)]
}

// units converts an output of n tokens to units of its hint.
func units(hint, n int) int { return min(n*hintUnits/max(hint, 1), maxUnits) }

// Progress records that a run, last observed with from tokens of output, now has to tokens.
func (l *Lengths) Progress(hint, from, to int) {
	l.estimator.ObserveProgress(l.groupOf(hint), units(hint, from), units(hint, to))
}

// End records that a run, last observed with from tokens of output, has ended.
func (l *Lengths) End(hint, from int) {
	n := units(hint, from)
	l.estimator.ObserveEnd(l.groupOf(hint), n, n)
}

// scaled is the length distribution of outputs with the same hint.
type scaled struct {
	curve *length.Curve
	hint  int
}

// Reach returns the probability that an output has more than n tokens.
func (s scaled) Reach(n int) float64 { return s.curve.Reach(units(s.hint, n)) }

func (l *Lengths) survival(hint int) scaled {
	return scaled{curve: l.estimator.Curve(l.groupOf(hint)), hint: hint}
}
