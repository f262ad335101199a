package caller

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/callerapi"
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/result"
)

var gen = ids.From(1, 2)

// script serves the n-th request with the n-th step and records each request's Last-Event-Id.
type script struct {
	mu           sync.Mutex
	steps        []http.HandlerFunc
	lastEventIDs []string
}

func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	n := len(s.lastEventIDs)
	s.lastEventIDs = append(s.lastEventIDs, r.Header.Get(callerapi.HeaderLastEvent))
	s.mu.Unlock()
	s.steps[n](w, r)
}

func client(t *testing.T, s *script) *Client {
	t.Helper()
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	return &Client{Entries: []string{strings.TrimPrefix(srv.URL, "http://")}, Token: "k", HTTP: srv.Client()}
}

// tokens streams the tokens [from, to), followed by what end appends.
func tokens(g ids.Generation, from, to int, end func(b []byte, sh callerapi.ResponseBuilder) []byte) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		callerapi.SetStreamHeaders(w)
		sh := callerapi.ResponseBuilder{Generation: g, Model: "m"}
		var b []byte
		for i := from; i < to; i++ {
			b = callerapi.AppendEvent(b, g.String(), uint32(i), 0, sh.Token(uint32(i), fmt.Appendf(nil, " %d", i)))
		}
		_, _ = w.Write(end(b, sh))
	}
}

func complete(n int) func([]byte, callerapi.ResponseBuilder) []byte {
	return func(b []byte, sh callerapi.ResponseBuilder) []byte {
		b = callerapi.AppendEvent(b, sh.Generation.String(), uint32(n), 0, sh.Finish(uint32(n), "stop"))
		return append(b, callerapi.DoneEvent...)
	}
}

func truncate(b []byte, _ callerapi.ResponseBuilder) []byte { return b }

func respondError(e *result.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { callerapi.WriteError(w, e, "r1") }
}

func run(t *testing.T, c *Client, call Call) (string, Result, error) {
	t.Helper()
	var text strings.Builder
	res, err := c.Stream(t.Context(), call, func(tok Token) { text.WriteString(tok.Text) })
	return text.String(), res, err
}

func TestStreamDeliversCompleteAnswer(t *testing.T) {
	text, res, err := run(t, client(t, &script{steps: []http.HandlerFunc{tokens(gen, 0, 3, complete(3))}}), Call{})
	must.NoError(t, err)
	must.Eq(t, " 0 1 2", text)
	must.True(t, res.Done)
	must.Eq(t, gen.String(), res.Generation)
}

// The entry fails after two tokens. The caller retries with its key and the last event id it received. The next entry first
// responds with a retryable error, then sends the remaining tokens. Giving up on either would lose the end of the answer.
func TestResumesTruncatedStream(t *testing.T) {
	s := &script{steps: []http.HandlerFunc{
		tokens(gen, 0, 2, truncate),
		respondError(result.New(result.AlreadyRunning, "held elsewhere")),
		tokens(gen, 2, 4, complete(4)),
	}}
	text, res, err := run(t, client(t, s), Call{Key: "k1", MaxResumes: 5})
	must.NoError(t, err)
	must.Eq(t, " 0 1 2 3", text)
	must.Eq(t, 1, res.Resumes)
	must.Eq(t, []string{"", gen.String() + "-1-0", gen.String() + "-1-0"}, s.lastEventIDs)
}

// The entry hangs after two tokens: its connection stays open, but nothing arrives. Without an idle timeout the caller would
// wait forever.
func TestAbandonsIdleEntry(t *testing.T) {
	s := &script{steps: []http.HandlerFunc{
		func(w http.ResponseWriter, r *http.Request) {
			tokens(gen, 0, 2, truncate)(w, r)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		},
		tokens(gen, 2, 3, complete(3)),
	}}
	text, _, err := run(t, client(t, s), Call{Key: "k1", MaxResumes: 5, IdleTimeout: 100 * time.Millisecond})
	must.NoError(t, err)
	must.Eq(t, " 0 1 2", text)
}

func TestTruncatedStreamWithoutKeyFails(t *testing.T) {
	_, res, err := run(t, client(t, &script{steps: []http.HandlerFunc{tokens(gen, 0, 2, truncate)}}), Call{MaxResumes: 5})
	must.ErrorIs(t, err, ErrTruncated)
	must.False(t, res.Done)
}

func TestInvalidStreamsAreDetected(t *testing.T) {
	other := ids.From(3, 4)
	mixed := func(b []byte, sh callerapi.ResponseBuilder) []byte {
		sh.Generation = other
		return callerapi.AppendEvent(b, other.String(), 2, 0, sh.Token(2, []byte(" x")))
	}
	cases := map[string]struct {
		step http.HandlerFunc
		want error
	}{
		"gap":              {tokens(gen, 1, 3, complete(3)), ErrOrder},
		"short count":      {tokens(gen, 0, 3, complete(4)), ErrOrder},
		"other generation": {tokens(gen, 0, 2, mixed), ErrGeneration},
		"done alone": {tokens(gen, 0, 2, func(b []byte, _ callerapi.ResponseBuilder) []byte {
			return append(b, callerapi.DoneEvent...)
		}), ErrTruncated},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, _, err := run(t, client(t, &script{steps: []http.HandlerFunc{c.step}}), Call{})
			must.ErrorIs(t, err, c.want)
		})
	}
}

func TestErrorEventEndsTheStream(t *testing.T) {
	failed := func(b []byte, _ callerapi.ResponseBuilder) []byte {
		return callerapi.AppendErrorEvent(b, result.New(result.TargetFailed, "engine"), "r1")
	}
	s := &script{steps: []http.HandlerFunc{tokens(gen, 0, 2, failed)}}
	_, res, err := run(t, client(t, s), Call{Key: "k1", MaxResumes: 3})
	var refused *Refused
	must.True(t, errors.As(err, &refused))
	must.Eq(t, result.TargetFailed, res.Code)
	must.Eq(t, 1, len(s.lastEventIDs))
}

func TestPlainDistinguishesErrorsFromServiceResponses(t *testing.T) {
	s := &script{steps: []http.HandlerFunc{
		func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) },
		respondError(result.New(result.NoTarget, "none")),
	}}
	c := client(t, s)
	_, res, err := c.Plain(t.Context(), PlainCall{Method: http.MethodGet, Path: "/x"})
	must.NoError(t, err)
	must.Eq(t, http.StatusTeapot, res.HTTP)
	_, res, err = c.Plain(t.Context(), PlainCall{Method: http.MethodPost, Path: "/x", Body: "b"})
	must.Error(t, err)
	must.Eq(t, result.NoTarget, res.Code)
}
