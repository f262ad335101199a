package httpresp

import (
	"io"
	"sync"
)

// Reader reads from a connection and checks the heads of responses in what it reads. After the first fault each Read fails.
type Reader struct {
	r io.Reader

	mu   sync.Mutex
	head *head // of the next response, or of the one that is read; nil: nothing is checked
	err  error
}

// Head is the head of one response.
type Head struct {
	r    *Reader
	head *head
}

// Complete reports whether the whole head was read. Connections that are reused may have begun with the head of another response meanwhile.
func (h Head) Complete() bool {
	h.r.mu.Lock()
	defer h.r.mu.Unlock()
	return h.head.done
}

// NewReader returns a Reader that checks nothing before the first call of Begin.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// Begin makes the Reader check the head of the next response, which begins with the bytes that were read before and not used. Call it before a request is
// sent, or before a response is read. Its error is that of these bytes.
func (r *Reader) Begin(unused []byte) (Head, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head = new(head)
	if r.err == nil {
		_, r.err = r.head.check(unused)
	}
	return Head{r, r.head}, r.err
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if err := r.Fault(); err != nil {
		return 0, err
	}
	n, err := r.r.Read(p)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.head == nil || n == 0 {
		return n, err
	}
	sound, fault := r.head.check(p[:n])
	if fault == nil {
		return n, err
	}
	r.err = fault
	if sound == 0 {
		return 0, fault
	}
	return sound, nil
}

// Fault returns the first fault of a head; nil: none. Errors of who parses what was read before it may have the fault as their cause.
func (r *Reader) Fault() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}
