package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"anvilwick.example/anvilwick/lib/membudget"
)

const (
	// retryAfterMemory is the shortest Retry-After for requests whose body the instance has no memory for, and the range of the jitter
	// added to it: a large body takes some seconds to arrive.
	retryAfterMemory = time.Second
	// drainTimeout bounds how long the rest of a rejected body is read, and discarded. Callers that read no response before they have
	// sent their request would otherwise see a reset connection instead of the rejection.
	drainTimeout = 5 * time.Second
	// minBodyRate is the average rate, in bytes a second, below which a body is given up after bodyGrace: callers may state any time, and its
	// memory is held meanwhile.
	minBodyRate = 64 << 10
	bodyGrace   = 10 * time.Second
	// maxPacedBody bounds the length, in bytes, for which that rate grants time.
	maxPacedBody = 64 << 20
)

// readBody reads the whole body: a request is forwarded only once it is complete, with its Content-Length. A body that the instance has no memory for
// is rejected, before it is read if its length is known.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, c *call, limit int64) *refusal {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	if limit <= 0 {
		limit = membudget.NoLimit
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(c.bodyDeadline(r.ContentLength, limit)) // without it a slow body is read until its caller leaves
	stop := context.AfterFunc(g.openCtx, func() { _ = rc.SetReadDeadline(time.Now()) })
	defer stop()
	b, err := c.memory.ReadAll(bodyReader{r.Body, c}, r.ContentLength, limit)
	stop()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && g.openCtx.Err() != nil:
		ref := c.stoppingRefusal()
		ref.unread = r.Body
		return &ref
	case errors.Is(err, membudget.ErrTooLong):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_long", unread: r.Body}
	case errors.Is(err, membudget.ErrNoMemory):
		return c.noMemory(r.Body)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{status: http.StatusRequestTimeout, after: c.boundWait(retryAfterPlain), reason: "body_slow"}
	case err != nil:
		return &refusal{status: http.StatusBadRequest, reason: "body_cut"}
	}
	_ = rc.SetReadDeadline(time.Time{})
	c.body = b
	return nil
}

// bodyReader counts the bytes of a body as they arrive, until its call ends.
type bodyReader struct {
	io.Reader
	c *call
}

// Read implements io.Reader.
func (r bodyReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.c.bodyRead += int64(n)
	requestBodyBytes.AddInt64(int64(n))
	return n, err
}

// releaseBody ends the use of the call's body.
func (c *call) releaseBody() {
	requestBodyBytes.AddInt64(-c.bodyRead)
	if c.memory != nil {
		c.memory.Close()
	}
}

// bodyDeadline returns when a body of a stated length, or of up to limit bytes, must have arrived: within the call's time, and at
// minBodyRate on average.
func (c *call) bodyDeadline(stated, limit int64) time.Time {
	if stated < 0 {
		stated = limit
	}
	atRate := c.arrived.Add(bodyGrace + time.Duration(min(stated, maxPacedBody)/minBodyRate)*time.Second)
	if atRate.Before(c.limit) {
		return atRate
	}
	return c.limit
}

// drain reads and discards the rest of a body whose request was rejected, after the response was sent.
func drain(w http.ResponseWriter, body io.Reader) {
	rc := http.NewResponseController(w)
	if rc.Flush() != nil || rc.SetReadDeadline(time.Now().Add(drainTimeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, body) // the caller has its response, whatever happens to the rest
}
