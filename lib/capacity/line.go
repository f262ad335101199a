package capacity

import (
	"fmt"
	"io"
	"runtime"
	"time"
)

// Report writes one key=value line a measurement and one a fit.
type Report struct {
	W io.Writer
}

// point writes a measurement of one probe at one size.
func (r Report) point(probe, format string, args ...any) {
	fmt.Fprintf(r.W, "point probe=%s %s\n", probe, fmt.Sprintf(format, args...))
}

// letterSize is what a series grows to in the users' letter; docs/CAPACITY.md says how each was worked out.
var letterSize = map[string]float64{
	"node":             430,
	"instance":         430,
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

// fit writes the line through points: value for each one more of by, and what it comes to at the letter's size.
func (r Report) fit(probe, value, by string, points []Point) {
	l := Fit(points)
	fmt.Fprintf(r.W, "fit probe=%s value=%s by=%s points=%d %v", probe, value, by, len(points), l)
	if size, ok := letterSize[by]; ok {
		fmt.Fprintf(r.W, " letter_size=%.0f letter_value=%.5g", size, l.At(size))
	}
	fmt.Fprintln(r.W)
}

// perOp returns the processor time of one run of work. It works for at least d of processor time, so that the clock's
// steps and the start don't count.
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

// held returns the bytes of heap that what make returns holds on to.
func held(build func() any) float64 {
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
