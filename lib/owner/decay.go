package owner

import (
	"math"
	"time"
)

// decay returns the weight that is left of what a sum contained at a time, when it is averaged over memory. Times may be a little out of
// order: the passes over waiting requests get theirs from a ticker.
func decay(at, now time.Time, memory time.Duration) float64 {
	return math.Exp(-float64(max(0, now.Sub(at))) / float64(memory))
}
