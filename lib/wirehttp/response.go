package wirehttp

import (
	"errors"
	"io"
	"net"
	"net/http"
)

// ErrBodyTooLarge reports that a response body exceeds the caller's limit.
var ErrBodyTooLarge = errors.New("wirehttp: response body too large")

// Response is the header of a response; its body is read from the same connection.
type Response struct {
	Status int
	Header http.Header
	Length int64  // of the body in bytes; -1 if not stated
	OnRead func() // called for each part of the body that is read; may be nil

	conn            *Conn // that it arrives on
	body            io.Reader
	connectionClose bool
	framed          bool // the body's end is marked by a length or by chunked encoding
	bodyEnded       bool
}

// NetConn returns the connection that the response arrives on; nil if it was not received on one.
func (r *Response) NetConn() net.Conn {
	if r.conn == nil {
		return nil
	}
	return r.conn.nc
}

// Read reads the body. It returns io.EOF only after a whole body; a truncated body gives another error.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if n > 0 && r.OnRead != nil {
		r.OnRead()
	}
	if err == io.EOF && !r.framed {
		if werr := r.conn.checkEnd(); werr != nil {
			return n, werr
		}
	}
	if err == io.EOF {
		r.bodyEnded = true
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

// unexpectedBodyLimit bounds, in bytes, a response to another request that is skipped.
const unexpectedBodyLimit = 1 << 20

// Discard reads a whole body of at most limit bytes without keeping it.
func (r *Response) Discard(limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(r, limit+1))
	if err == nil && n > limit {
		err = ErrBodyTooLarge
	}
	return err
}

// reusable reports whether the connection can carry another exchange.
func (r *Response) reusable() bool { return r.bodyEnded && !r.connectionClose }

// CloseDelimited reports whether only the end of the connection marks the end of the body. A response with
// "Connection: close" can still mark its own end.
func (r *Response) CloseDelimited() bool { return !r.framed }

// Ended reports whether the whole body has been read.
func (r *Response) Ended() bool { return r.bodyEnded }
