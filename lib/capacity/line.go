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

// fit writes the line through points: value of unit for each one more of by.
func (r Report) fit(probe, value, by string, points []Point) {
	fmt.Fprintf(r.W, "fit probe=%s value=%s by=%s points=%d %v\n", probe, value, by, len(points), Fit(points))
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
