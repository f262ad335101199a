package platform

import (
	"io"
	"net/http"
	"net/http/httptest"
)

// Transport reaches the stand-in without a network, for tests in virtual time. A request whose context ends is
// answered with that error and still runs to its end, as it would behind a slow link.
func (s *Server) Transport() http.RoundTripper { return &direct{h: s.Handler()} }

type direct struct{ h http.Handler }

type reply struct {
	res *http.Response
	err error
}

// RoundTrip implements http.RoundTripper.
func (d *direct) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	req := r.Clone(r.Context())
	if req.Body == nil {
		req.Body = http.NoBody
	}
	done := make(chan reply, 1)
	go func() { done <- d.serve(req) }()
	select {
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case got := <-done:
		return got.res, got.err
	}
}

// serve turns an aborted handler into the error that a closed connection gives.
func (d *direct) serve(r *http.Request) (out reply) {
	defer func() {
		if recover() != nil {
			out = reply{err: io.ErrUnexpectedEOF}
		}
	}()
	rec := httptest.NewRecorder()
	d.h.ServeHTTP(rec, r)
	return reply{res: rec.Result()}
}
