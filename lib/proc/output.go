package proc

import (
	"bytes"
	"io"
	"os"
	"sync"
	"time"
)

// maxOutput bounds the output kept for each process, so that one that logs a lot can't fill the test's memory.
const maxOutput = 1 << 20

// output receives what a process writes: through a pipe that is read here, or into a file of the caller's.
type output struct {
	file *os.File // that the process writes to
	pipe *os.File // read end; nil: the file is the caller's
	tail tail
	done chan struct{} // closed once nothing more is read
}

func newOutput(s Spec) (*output, error) {
	o := &output{file: s.File, tail: tail{tee: s.Tee}, done: make(chan struct{})}
	if s.File != nil {
		return o, nil
	}
	var err error
	o.pipe, o.file, err = os.Pipe()
	return o, err
}

// read starts to read if the process has started, and releases what only the process uses.
func (o *output) read(started bool) {
	if o.pipe == nil {
		close(o.done)
		return
	}
	_ = o.file.Close()
	if !started {
		_ = o.pipe.Close()
		return
	}
	go func() {
		defer close(o.done)
		_, _ = io.Copy(&o.tail, o.pipe)
	}()
}

// awaitEnd waits until all output of an ended process is read, unless reading was stopped before.
func (o *output) awaitEnd() {
	<-o.done
	o.close()
}

// close closes the pipe.
func (o *output) close() {
	if o.pipe != nil {
		_ = o.pipe.Close()
	}
}

// stop ends reading and keeps the pipe open.
func (o *output) stop() {
	if o.pipe != nil {
		_ = o.pipe.SetReadDeadline(time.Now())
	}
}

// tail keeps the last maxOutput bytes written to it.
type tail struct {
	mu  sync.Mutex
	buf bytes.Buffer
	tee io.Writer
}

// Write implements io.Writer and never fails.
func (t *tail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if over := t.buf.Len() + len(b) - maxOutput; over > 0 {
		t.buf.Next(over)
	}
	t.buf.Write(b)
	if t.tee != nil {
		_, _ = t.tee.Write(b)
	}
	return len(b), nil
}

// String returns the bytes kept.
func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.buf.String()
}
