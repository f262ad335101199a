package capacity

import (
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// What asking an owner costs for each generation. MEASURE=1 takes several rates, for the slope.
func TestPlacementsOverSockets(t *testing.T) {
	rates, d := []int{100}, time.Second
	if os.Getenv("MEASURE") != "" {
		rates, d = []int{30, 58, 120, 240}, 5*time.Second
	}
	var cpu, up []Point
	for _, rate := range rates {
		p, err := MeasurePlacements(t.Context(), PlacementLoad{Rate: rate, Duration: d, Life: 2 * time.Second, Prefixes: 8})
		must.NoError(t, err)
		t.Logf("rate=%.0f generations=%d up_bytes=%.0f down_bytes=%.0f cpu_per_generation=%v", p.Rate, p.Generations, p.UpBytes, p.DownBytes, p.CPUPerGen)
		must.Less(t, 2000, p.UpBytes)
		cpu = append(cpu, Point{float64(rate), float64(rate) * p.CPUPerGen.Seconds() * 100})
		up = append(up, Point{float64(rate), float64(rate) * (p.UpBytes + p.DownBytes)})
	}
	if len(rates) > 2 {
		t.Logf("percent of a core by generations a second: %v; bytes a second: %v", Fit(cpu), Fit(up))
	}
}
