package platform

import (
	"io"
	"net/http"
	"net/http/httptest"
)

// Transport reaches the stand-in without a network, for tests in virtual time. A request whose context ends returns that
// error and still runs to completion, as it would behind a slow link.
func (s *Server) Transport() http.RoundTripper { return &handlerTransport{h: s.Handler()} }

type handlerTransport struct{ h http.Handler }

type outcome struct {
	res *http.Response
	err error
}

// RoundTrip implements http.RoundTripper.
func (d *handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	req := r.Clone(r.Context())
	if req.Body == nil {
		req.Body = http.NoBody
	}
	done := make(chan outcome, 1)
	go func() { done <- d.serve(req) }()
	select {
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case got := <-done:
		return got.res, got.err
	}
}

// serve runs the handler; an aborted handler gives the error of a closed connection.
func (d *handlerTransport) serve(r *http.Request) (out outcome) {
	defer func() {
		if recover() != nil {
			out = outcome{err: io.ErrUnexpectedEOF}
		}
	}()
	rec := httptest.NewRecorder()
	d.h.ServeHTTP(rec, r)
	return outcome{res: rec.Result()}
}
