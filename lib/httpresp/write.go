package httpresp

import (
	"errors"
	"fmt"
	"time"
)

// writeTimeout is how long the end of a connection waits for the write of its request to return. That of a target which has read the whole request has
// returned already, or is about to.
const writeTimeout = time.Second

// ErrRequestUnwritten reports a body that ended with its connection before the whole request was written.
//
// A connection that is reset reports its error once, to whichever call meets it first. If the write takes it, the next read sees an ordinary end, and a part of a
// body looks whole.
var ErrRequestUnwritten = errors.New("httpresp: the connection ended while the request was being written")

// Write is a write of a request that goes on while its response is read.
type Write struct {
	done chan struct{}
	err  error // valid once done is closed
}

// NewWrite returns a Write that has not ended.
func NewWrite() *Write { return &Write{done: make(chan struct{})} }

// End ends the write. It must be called once.
func (w *Write) End(err error) {
	w.err = err
	close(w.done)
}

// Succeeded reports whether the write ends without an error within a duration.
func (w *Write) Succeeded(within time.Duration) bool { return w.await(within) == nil }

// CheckEnd returns nil if the end of the connection may end a body: the whole request was written. Else it returns ErrRequestUnwritten.
func (w *Write) CheckEnd() error { return w.await(writeTimeout) }

func (w *Write) await(timeout time.Duration) error {
	select {
	case <-w.done:
	default:
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		select {
		case <-w.done:
		case <-timer.C:
			return ErrRequestUnwritten
		}
	}
	if w.err != nil {
		return fmt.Errorf("%w: %v", ErrRequestUnwritten, w.err) // not wrapped: a cause such as io.EOF must not be taken for the end of a body
	}
	return nil
}
