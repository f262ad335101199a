package capacity

import (
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Bounds the bytes that one generation sends to its owner. MEASURE=1 runs several rates and intervals and logs the slopes.
func TestPlacementsOverSockets(t *testing.T) {
	t.Parallel()
	rates, intervals, d, lifetime := []int{50}, []time.Duration{50 * time.Millisecond}, time.Second, 200*time.Millisecond
	if os.Getenv("MEASURE") != "" {
		rates, d, lifetime = []int{30, 58, 120}, 5*time.Second, 2*time.Second
		intervals = append(intervals, 200*time.Millisecond, time.Second)
	}
	for _, interval := range intervals {
		var cpu, bytes []Point
		for _, rate := range rates {
			p, err := MeasurePlacements(t.Context(), PlacementLoad{Rate: rate, Duration: d, Lifetime: lifetime, Prefixes: 8, Progress: interval})
			must.NoError(t, err)
			t.Logf("progress=%v rate=%d generations=%d up_bytes=%.0f down_bytes=%.0f cpu_per_generation=%v", interval, rate, p.Generations, p.UpBytes, p.DownBytes, p.CPUPerGen)
			must.Less(t, 2000, p.UpBytes)
			cpu = append(cpu, Point{float64(rate), float64(rate) * p.CPUPerGen.Seconds() * 100})
			bytes = append(bytes, Point{float64(rate), float64(rate) * (p.UpBytes + p.DownBytes)})
		}
		if len(rates) > 2 {
			t.Logf("progress=%v by generations a second: percent of a core: %v; bytes a second: %v", interval, Fit(cpu), Fit(bytes))
		}
	}
}
