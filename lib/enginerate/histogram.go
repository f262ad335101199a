package enginerate

import "math"

const (
	// minRatio and maxRatio bound the ratios that the bins of a histogram distinguish.
	minRatio, maxRatio = 0.5, 50
	// binWidth is the width of a bin in logarithms: about 5 %.
	binWidth = 0.05
	// bins is log(maxRatio/minRatio)/binWidth, rounded up.
	bins = 93
	// memory is the number of intervals that a histogram covers: earlier ones lose weight.
	memory = 300
	// minIntervals is the number of intervals from which a histogram is used.
	minIntervals = 20
	// maxWeight is the weight of an interval at which all weights are scaled down.
	maxWeight = 1e12
)

// histogram is a decaying histogram of ratios, with bins of equal width in logarithms.
type histogram struct {
	weights [bins]float64
	total   float64
	next    float64 // weight of the next interval; growing weights spare a multiplication of all bins for each interval
	n       int     // intervals; counts up to minIntervals
}

// binOf returns the position of a ratio among the bins; its integral part is the index of the bin.
func binOf(ratio float64) float64 {
	return math.Log(ratio/minRatio) / binWidth
}

func (h *histogram) add(ratio float64) {
	if h.next == 0 {
		h.next = 1
	}
	i := int(min(max(binOf(ratio), 0), bins-1))
	h.weights[i] += h.next
	h.total += h.next
	h.next *= 1 + 1.0/memory
	h.n = min(h.n+1, minIntervals)
	if h.next > maxWeight {
		h.scale(1 / h.next)
	}
}

func (h *histogram) scale(by float64) {
	h.total = 0
	for i := range h.weights {
		h.weights[i] *= by
		h.total += h.weights[i]
	}
	h.next *= by
}

// share returns the share of the intervals with a ratio of at least the one at a position among the bins. Within a bin, ratios count as
// evenly spread.
func (h *histogram) share(at float64) float64 {
	if h.n < minIntervals || at >= bins {
		return 0
	}
	if at <= 0 {
		return 1
	}
	i := int(at)
	above := h.weights[i] * (1 - (at - float64(i)))
	for _, w := range h.weights[i+1:] {
		above += w
	}
	return min(1, above/h.total)
}
