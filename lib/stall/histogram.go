// Package stall tells a generation that no longer makes progress from one that is merely slow, by the gaps between
// tokens that its own target has shown, and a frozen link from a stalled generation.
package stall

import (
	"math"
	"time"
)

const (
	minGap    = 100 * time.Microsecond // lower edge of the first bucket
	growth    = 1.25                   // ratio of neighbouring edges
	numBucket = 64                     // up to about 160 s
)

var logGrowth = math.Log(growth)

// histogram counts gaps in buckets of growing width, with exponential decay over time.
type histogram struct {
	counts [numBucket]float64
	total  float64
	last   time.Time
}

func bucketOf(gap time.Duration) int {
	if gap <= minGap {
		return 0
	}
	i := int(math.Log(float64(gap)/float64(minGap))/logGrowth) + 1
	return min(i, numBucket-1)
}

// upperEdge is the largest gap of bucket i.
func upperEdge(i int) time.Duration {
	return time.Duration(float64(minGap) * math.Pow(growth, float64(i)))
}

func (h *histogram) add(gap time.Duration) {
	h.counts[bucketOf(gap)]++
	h.total++
}

// decayStep bounds how often all buckets are rescaled.
const decayStep = time.Second

func (h *histogram) decay(now time.Time, halfLife time.Duration) {
	if h.last.IsZero() {
		h.last = now
		return
	}
	dt := now.Sub(h.last)
	if dt < decayStep {
		return
	}
	h.last = now
	f := math.Exp2(-dt.Seconds() / halfLife.Seconds())
	for i := range h.counts {
		h.counts[i] *= f
	}
	h.total *= f
}

// quantile returns the upper edge of the bucket that holds quantile q.
func (h *histogram) quantile(q float64) time.Duration {
	left := (1 - q) * h.total
	for i := numBucket - 1; i > 0; i-- {
		left -= h.counts[i]
		if left < 0 {
			return upperEdge(i)
		}
	}
	return minGap
}
