package logline

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queuedLines is how many lines wait to be written.
	queuedLines = 2048
	// linesPerSecond bounds the volume under load: at some 250 bytes a line, 100 KB/s.
	linesPerSecond = 400
)

// BoundedWriter is a writer that never blocks its callers. What does not fit the queue or the rate is dropped, counted and
// said in a line of its own: a reader must know that lines are missing, and a request must not wait for a full pipe.
type BoundedWriter struct {
	queue   chan []byte
	dropped atomic.Int64
	total   atomic.Int64
}

// NewBoundedWriter starts writing to w.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{queue: make(chan []byte, queuedLines)}
	go b.run(w)
	return b
}

// Write queues one line.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.queue <- append([]byte(nil), line...):
	default:
		b.drop()
	}
	return len(line), nil
}

// Flush waits until what is queued has been written, at most d: the last lines of a process tell why it ended.
func (b *BoundedWriter) Flush(d time.Duration) {
	for end := time.Now().Add(d); len(b.queue) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// Dropped returns how many lines were dropped so far.
func (b *BoundedWriter) Dropped() int64 { return b.total.Load() }

func (b *BoundedWriter) drop() {
	b.dropped.Add(1)
	b.total.Add(1)
}

func (b *BoundedWriter) run(w io.Writer) {
	begin := time.Now()
	n := 0
	for line := range b.queue {
		if now := time.Now(); now.Sub(begin) >= time.Second {
			if lost := b.dropped.Swap(0); lost > 0 {
				// There is nowhere else to tell of a log that can't be written.
				_, _ = fmt.Fprintf(w, "time=%s level=warn event=log_dropped lines=%d\n", now.UTC().Format(timeFormat), lost)
			}
			begin, n = now, 0
		}
		if n++; n > linesPerSecond {
			b.drop()
			continue
		}
		_, _ = w.Write(line)
	}
}
