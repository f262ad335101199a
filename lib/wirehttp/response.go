package wirehttp

import (
	"errors"
	"io"
	"net/http"
)

// ErrBodyTooLarge says that an answer's body is over the caller's bound.
var ErrBodyTooLarge = errors.New("wirehttp: answer too long")

// Response is the head of an answer; its body is read from the connection that it came on.
type Response struct {
	Status int
	Header http.Header
	Length int64  // of the body in bytes; -1 when not stated
	OnRead func() // called for each piece of the body that is read; nil: nothing is

	body   io.Reader
	closes bool
	framed bool // the body tells its own end, by a length or by chunks
	ended  bool
}

// Read reads the body. io.EOF comes only after a whole body; one that was cut gives another error.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if n > 0 && r.OnRead != nil {
		r.OnRead()
	}
	if err == io.EOF {
		r.ended = true
	}
	return n, err
}

// ReadAll reads a whole body of at most limit bytes.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	if r.Length > limit {
		return nil, ErrBodyTooLarge
	}
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(b)) > limit {
		return nil, ErrBodyTooLarge
	}
	return b, nil
}

// strayLimit bounds, in bytes, an answer to another request that is read past.
const strayLimit = 1 << 20

func (r *Response) discard() error {
	_, err := r.ReadAll(strayLimit)
	return err
}

// reusable reports whether another exchange may follow on the connection.
func (r *Response) reusable() bool { return r.ended && !r.closes }

// CloseDelimited reports whether only the end of the connection ends the body. An answer that asks for its connection to be
// closed may tell its own end all the same.
func (r *Response) CloseDelimited() bool { return !r.framed }

// Ended reports whether the whole body has been read.
func (r *Response) Ended() bool { return r.ended }
