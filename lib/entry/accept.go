package entry

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"anvilwick.example/anvilwick/lib/callerapi"
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/membudget"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/settings"
)

const (
	maxRequestID         = 64
	noSettingsRetryAfter = time.Second // Retry-After sent until the first settings are in force
	lateBodyRetryAfter   = time.Second // Retry-After for a body that did not arrive in time
	noMemoryRetryAfter   = time.Second // Retry-After for a body without memory: large ones take some seconds to arrive
)

// request is the state of a caller's request during acceptance.
type request struct {
	id        string
	accepted  time.Time
	headers   callerapi.Headers
	view      *view
	workspace *settings.Workspace
	class     string
}

// accept opens a request and counts it as in progress until table.leave. If the request is refused, it writes the
// error response and returns false.
func (s *Server) accept(w http.ResponseWriter, r *http.Request) (rq *request, ok bool) {
	rq, err := s.open(w, r)
	if err == nil {
		err = s.enter()
	}
	if err != nil {
		s.refuse(w, rq, err)
		return nil, false
	}
	return rq, true
}

// open parses the headers common to all request kinds and authenticates the workspace.
func (s *Server) open(w http.ResponseWriter, r *http.Request) (*request, *result.Error) {
	rq := &request{id: requestID(r), accepted: s.now(), view: s.view.Load()}
	w.Header().Set(callerapi.HeaderRequestID, rq.id)
	if rq.view == nil {
		err := result.New(result.Stopping, "no settings are in force yet")
		err.RetryAfter = noSettingsRetryAfter
		return rq, err
	}
	var err *result.Error
	if rq.headers, err = callerapi.ParseHeaders(r.Header); err != nil {
		return rq, err
	}
	return rq, rq.authenticate()
}

func (rq *request) authenticate() *result.Error {
	rq.workspace = rq.view.snapshot.LookupToken(rq.headers.Token)
	if rq.workspace == nil {
		return result.New(result.Unauthenticated, "unknown key")
	}
	rq.class = rq.headers.Class
	if rq.class == "" && len(rq.workspace.Classes) > 0 {
		rq.class = rq.workspace.Classes[0]
		return nil
	}
	if !rq.workspace.MayUseClass(rq.class) {
		class := rq.class
		rq.class = ""
		return result.New(result.Forbidden, "class %q", class)
	}
	return nil
}

// policy returns the policy for a service, or an error if the workspace may not use the service.
func (rq *request) policy(svc *settings.Service) (*settings.Policy, *result.Error) {
	if !rq.workspace.MayUseService(svc.Name) {
		return nil, result.New(result.Forbidden, "service %q", svc.Name)
	}
	return rq.view.snapshot.Policy(svc.Name, rq.workspace.Name, rq.class), nil
}

// deadline returns the earlier of the caller's deadline and the policy's, or the zero time if neither is set.
func (rq *request) deadline(p *settings.Policy) time.Time {
	left := rq.headers.Deadline
	if left == 0 || (p.Deadline > 0 && p.Deadline < left) {
		left = p.Deadline
	}
	if left == 0 {
		return time.Time{}
	}
	return rq.accepted.Add(left)
}

// requestID returns the caller's request ID if it is safe to log, else a new ID.
func requestID(r *http.Request) string {
	id := r.Header.Get(callerapi.HeaderRequestID)
	if id == "" || len(id) > maxRequestID {
		return ids.New().String()
	}
	for i := range len(id) {
		if c := id[i]; c <= ' ' || c > '~' || c == '"' || c == '=' || c == '\\' {
			return ids.New().String()
		}
	}
	return id
}

// readBody reads a request body of at most limit bytes; larger bodies yield BodyTooLarge, those that the process has no memory for TooManyStreams, and
// those that are incomplete when their time, or that of a stop, is over an error that lets callers repeat them.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, limit int) ([]byte, *result.Error) {
	if limit <= 0 || limit > maxBodyBytes {
		limit = maxBodyBytes
	}
	conn := http.NewResponseController(w)
	stop := context.AfterFunc(s.aborted, func() { _ = conn.SetReadDeadline(time.Now()) })
	defer stop()
	body, err := s.opts.Memory.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)), r.ContentLength, int64(limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge) || errors.Is(err, membudget.ErrTooLong):
		w.Header().Set("Connection", "close")
		return nil, result.New(result.BodyTooLarge, "%d bytes at most", limit)
	case errors.Is(err, membudget.ErrNoMemory):
		w.Header().Set("Connection", "close")
		e := result.New(result.TooManyStreams, "no memory for a body of %d bytes", r.ContentLength)
		e.RetryAfter = noMemoryRetryAfter
		return nil, e
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		return nil, s.lateBodyError(err)
	case err != nil:
		return nil, result.Wrap(result.BadRequest, err, "read the body")
	}
	return body, s.refuseStopping()
}

// lateBodyError returns the error for a body that is incomplete when its time is over.
func (s *Server) lateBodyError(cause error) *result.Error {
	if s.aborted.Err() != nil {
		return stoppingError()
	}
	err := result.Wrap(result.DeadlineTooNear, cause, "read the body")
	err.RetryAfter = lateBodyRetryAfter
	return err
}
