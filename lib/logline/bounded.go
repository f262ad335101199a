package logline

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity is the capacity of the queue of lines to be written.
	queueCapacity = 2048
	// maxLinesPerSecond bounds the log volume under load to 100 KB/s, at about 250 bytes per line.
	maxLinesPerSecond = 400
)

// endMark marks the line that says why a process ends. It is written beyond the rate limit: a stop may refuse many requests at once just before.
var endMark = []byte("event=end ")

// BoundedWriter is a writer that never blocks: a request must not wait for a full pipe. Lines beyond the queue's capacity or
// the rate limit are dropped and counted, and the count is logged, so that readers know that lines are missing.
type BoundedWriter struct {
	queue      chan []byte
	pending    atomic.Int64 // lines that are queued or being written
	unreported atomic.Int64
	total      atomic.Int64
}

// NewBoundedWriter returns a BoundedWriter and starts its goroutine, which writes to w.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{queue: make(chan []byte, queueCapacity)}
	go b.run(w)
	return b
}

// Write queues a copy of the line or drops it; it never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.pending.Add(1)
	select {
	case b.queue <- append([]byte(nil), line...):
	default:
		b.pending.Add(-1)
		b.countDrop()
	}
	return len(line), nil
}

// Flush waits up to d until all lines are written. The last lines of a process often explain why it ended.
func (b *BoundedWriter) Flush(d time.Duration) {
	for end := time.Now().Add(d); b.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// Dropped returns the total number of dropped lines.
func (b *BoundedWriter) Dropped() int64 { return b.total.Load() }

func (b *BoundedWriter) countDrop() {
	b.unreported.Add(1)
	b.total.Add(1)
}

func (b *BoundedWriter) run(w io.Writer) {
	begin := time.Now()
	n := 0
	for line := range b.queue {
		if now := time.Now(); now.Sub(begin) >= time.Second {
			if lost := b.unreported.Swap(0); lost > 0 {
				// A log that cannot be written has no other place to report it; errors are ignored.
				_, _ = fmt.Fprintf(w, "time=%s level=warn event=log_dropped lines=%d\n", now.UTC().Format(timeFormat), lost)
			}
			begin, n = now, 0
		}
		if n++; n > maxLinesPerSecond && !bytes.Contains(line, endMark) {
			b.countDrop()
		} else {
			_, _ = w.Write(line)
		}
		b.pending.Add(-1)
	}
}
