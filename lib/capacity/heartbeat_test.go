package capacity

import (
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// With more than 16 nodes each sends to eight others, so the bytes and messages of a node must not grow with the number of
// nodes. With a slope, a node would exceed the bound of 29 KB a second below the design size of 430 nodes.
func TestHeartbeatsDoNotGrowWithNodes(t *testing.T) {
	var bytes, cpu []Point
	for _, n := range []int{32, 64, 128, 430} {
		h := HeartbeatsInMemory(n, 500*time.Millisecond, 2*time.Second)
		t.Logf("nodes=%d msgs_per_s=%.1f bytes_per_s=%.0f cpu=%.5f", h.Nodes, h.MsgsPerSec, h.SentPerSec, h.CPUFraction)
		bytes = append(bytes, Point{float64(n), h.SentPerSec})
		cpu = append(cpu, Point{float64(n), h.CPUFraction * 1e6})
		must.LessEq(t, 33, h.MsgsPerSec)
	}
	l := Fit(bytes)
	t.Logf("bytes per second of a node: %v; cpu, millionths of a core: %v", l, Fit(cpu))
	must.Less(t, 0.5, l.Slope)
	must.Less(t, 5_000, l.At(430))
}

// By default a short run at one size. All sizes take half a minute: MEASURE=1 go test -run OverSockets -v ./lib/capacity
func TestHeartbeatsOverSockets(t *testing.T) {
	t.Parallel()
	sizes, d := []int{4}, time.Second
	if os.Getenv("MEASURE") != "" {
		sizes, d = []int{4, 8, 16, 32, 64}, 5*time.Second
	}
	var small, large []Point
	for _, n := range sizes {
		h, err := HeartbeatsOverSockets(t.Context(), n, 500*time.Millisecond, d, nil)
		must.NoError(t, err)
		must.Positive(t, h.SentPerSec)
		must.Less(t, 29_000, h.SentPerSec)
		t.Logf("nodes=%d bytes_per_s=%.0f cpu=%.5f", h.Nodes, h.SentPerSec, h.CPUFraction)
		if n <= 16 {
			small = append(small, Point{float64(n), h.SentPerSec})
		} else {
			large = append(large, Point{float64(n), h.SentPerSec})
		}
	}
	if len(large) > 1 {
		t.Logf("all to all: %v; over 16: %v", Fit(small), Fit(large))
	}
}
