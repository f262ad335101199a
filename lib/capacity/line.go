package capacity

import (
	"fmt"
	"io"
	"runtime"
	"time"
)

// Report writes one key=value line for each measurement and one for each fit.
type Report struct {
	W io.Writer
}

// point writes the line of one measurement.
func (r Report) point(probe, format string, args ...any) {
	fmt.Fprintf(r.W, "point probe=%s %s\n", probe, fmt.Sprintf(format, args...))
}

// designSize holds, for each series, the size that the system is designed for; docs/CAPACITY.md derives each.
var designSize = map[string]float64{
	"node":             430,
	"peer":             429,
	"target":           12_000,
	"target_of_shard":  28,
	"workspace":        480,
	"generation":       632,
	"generation_per_s": 58,
	"group":            1_440,
	"key":              1_440,
	"key_held":         480,
	"stream_at_once":   632,
	"token":            388,
}

// fit writes the least-squares line through points: the slope is the value for one more of by. If by has a design size, the
// line also gives the value fitted there.
func (r Report) fit(probe, value, by string, points []Point) {
	l := Fit(points)
	fmt.Fprintf(r.W, "fit probe=%s value=%s by=%s points=%d %v", probe, value, by, len(points), l)
	if size, ok := designSize[by]; ok {
		fmt.Fprintf(r.W, " letter_size=%.0f letter_value=%.5g", size, l.At(size))
	}
	fmt.Fprintln(r.W)
}

// perOp returns the processor time of one call of work. It repeats work for at least d of processor time, so that the
// resolution of the clock and warm-up do not matter.
func perOp(d time.Duration, work func()) time.Duration {
	work()
	runtime.GC()
	start, n := processTime(), 0
	for processTime()-start < d {
		work()
		n++
	}
	return (processTime() - start) / time.Duration(n)
}

// retainedHeap returns the bytes of heap that the result of build retains.
func retainedHeap(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }
