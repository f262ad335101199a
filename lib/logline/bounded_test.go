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

// stuck is a pipe that nobody reads until it is opened.
type stuck struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// Nobody reads the log. Requests go on: each line is queued or dropped at once, and what was dropped is said.
func TestFullPipeBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stuck{open: make(chan struct{})}
		b := NewBoundedWriter(s)
		for i := range 2 * queuedLines {
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
		must.LessEq(t, linesPerSecond+2, strings.Count(s.buf.String(), "\n"))
		close(b.queue)
	})
}
