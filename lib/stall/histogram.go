// Package stall detects generations that no longer make progress. It distinguishes them from slow ones by the gaps between
// tokens observed on the same target, and from streams on a frozen link by the silence of the link's other streams.
package stall

import (
	"math"
	"time"
)

const (
	minGap     = 100 * time.Microsecond // upper edge of the first bucket
	growth     = 1.25                   // ratio of neighbouring edges
	numBuckets = 64                     // up to about 160 s
)

var logGrowth = math.Log(growth)

// histogram counts gaps in buckets of growing width, with exponential decay over time.
type histogram struct {
	counts    [numBuckets]float64
	total     float64
	lastDecay time.Time
}

func bucketOf(gap time.Duration) int {
	if gap <= minGap {
		return 0
	}
	i := int(math.Log(float64(gap)/float64(minGap))/logGrowth) + 1
	return min(i, numBuckets-1)
}

// upperEdge returns the largest gap counted in bucket i.
func upperEdge(i int) time.Duration {
	return time.Duration(float64(minGap) * math.Pow(growth, float64(i)))
}

func (h *histogram) add(gap time.Duration) {
	h.counts[bucketOf(gap)]++
	h.total++
}

// decayStep is the shortest interval at which the buckets are rescaled.
const decayStep = time.Second

func (h *histogram) decay(now time.Time, halfLife time.Duration) {
	if h.lastDecay.IsZero() {
		h.lastDecay = now
		return
	}
	dt := now.Sub(h.lastDecay)
	if dt < decayStep {
		return
	}
	h.lastDecay = now
	f := math.Exp2(-dt.Seconds() / halfLife.Seconds())
	for i := range h.counts {
		h.counts[i] *= f
	}
	h.total *= f
}

// quantile returns the upper edge of the bucket that holds quantile q.
func (h *histogram) quantile(q float64) time.Duration {
	left := (1 - q) * h.total
	for i := numBuckets - 1; i > 0; i-- {
		left -= h.counts[i]
		if left < 0 {
			return upperEdge(i)
		}
	}
	return minGap
}
