package tunnel

import (
	"errors"
	"time"
)

// lastWriteTimeout is how long the end of a target's connection waits for a write to it to return. That of a target which has read everything has returned
// already, or is about to.
const lastWriteTimeout = time.Second

var errUnwritten = errors.New("tunnel: the target's connection ended during a write")

// delivery counts the bytes that were written to a target's connection, while another goroutine reads from it.
type delivery struct {
	writing chan struct{} // holds an element during a write

	// Of writes that have ended; used only with the element put.
	bytes uint64
	err   error // of the one that failed, after which there is no other
}

func newDelivery() *delivery { return &delivery{writing: make(chan struct{}, 1)} }

// write calls a function that writes n bytes.
func (d *delivery) write(n int, write func() error) error {
	d.writing <- struct{}{}
	defer func() { <-d.writing }()
	if err := write(); err != nil {
		d.err = err
		return err
	}
	d.bytes += uint64(n)
	return nil
}

// total returns the bytes written. It fails if a write has failed, and if one in progress lasts.
func (d *delivery) total() (uint64, error) {
	timer := time.NewTimer(lastWriteTimeout)
	defer timer.Stop()
	select {
	case d.writing <- struct{}{}:
		defer func() { <-d.writing }()
		return d.bytes, d.err
	case <-timer.C:
		return 0, errUnwritten
	}
}
