package httpresp

import (
	"errors"
	"io"
	"net/http"
)

// ErrBodyTooLarge reports a body that exceeds its reader's limit.
var ErrBodyTooLarge = errors.New("httpresp: response body too large")

// ReadAll reads a whole body of at most limit bytes. A part of one that is broken off may be a sound document by itself, so that a reader which stops behind the first
// document trusts it.
func ReadAll(body io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(body, limit+1))
	switch {
	case err != nil:
		return nil, err
	case int64(len(b)) > limit:
		return nil, ErrBodyTooLarge
	}
	return b, nil
}

// DefaultClient is http.DefaultClient with a Transport, for tools.
var DefaultClient = &http.Client{Transport: NewTransport(http.DefaultTransport.(*http.Transport).Clone())}
