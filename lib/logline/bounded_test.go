package logline

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// blockedWriter is a writer that blocks until open is closed, like a pipe without a reader.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// Nobody reads the log pipe. Writes must not block: each line is queued or dropped at once, and the drops are logged.
func TestWriteDoesNotBlockOnFullPipe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &blockedWriter{open: make(chan struct{})}
		b := NewBoundedWriter(s)
		for i := range 2 * queueCapacity {
			_, err := fmt.Fprintf(b, "event=x n=%d\n", i)
			must.NoError(t, err)
		}
		must.Positive(t, b.Dropped())
		close(s.open)
		time.Sleep(2 * time.Second)
		_, _ = fmt.Fprintln(b, "event=last")
		synctest.Wait()
		must.StrContains(t, s.buf.String(), "event=log_dropped lines=")
		must.StrContains(t, s.buf.String(), "event=last")
		must.LessEq(t, maxLinesPerSecond+2, strings.Count(s.buf.String(), "\n"))
		close(b.queue)
	})
}

// slowWriter takes some time for each line.
type slowWriter struct{ buf bytes.Buffer }

func (s *slowWriter) Write(p []byte) (int, error) {
	time.Sleep(100 * time.Millisecond)
	return s.buf.Write(p)
}

// Guards against a last line that is lost because it was taken from the queue and not yet written when the process ended.
func TestFlushWaitsForTheLineBeingWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := new(slowWriter)
		b := NewBoundedWriter(s)
		_, _ = fmt.Fprintln(b, "event=end")
		synctest.Wait()
		b.Flush(time.Second)
		must.StrContains(t, s.buf.String(), "event=end")
		close(b.queue)
	})
}

// Guards against an end whose cause is dropped because many lines were logged in the same second.
func TestLineThatSaysWhyAProcessEndsIsNotDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &blockedWriter{open: make(chan struct{})}
		close(s.open)
		b := NewBoundedWriter(s)
		for i := range queueCapacity - 1 {
			_, _ = fmt.Fprintf(b, "event=refused n=%d\n", i)
		}
		_, _ = fmt.Fprintln(b, "event=end reason=stopped")
		b.Flush(time.Second)
		synctest.Wait()
		must.Positive(t, b.Dropped())
		must.StrContains(t, s.buf.String(), "event=end reason=stopped")
		close(b.queue)
	})
}
