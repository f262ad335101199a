package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/standin/raw"
)

// startRaw starts a plain service that sends an answer to each call, and returns its address.
func startRaw(t *testing.T, answer raw.Answer) string {
	t.Helper()
	addr, _ := startCountingRaw(t, answer)
	return addr
}

// startCountingRaw is startRaw with the count of calls.
func startCountingRaw(t *testing.T, answer raw.Answer) (addr string, calls *atomic.Int32) {
	t.Helper()
	calls = new(atomic.Int32)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engineapi.PathServiceLoad, http.NotFound)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		answer.Send(w, r)
	})
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String(), calls
}

// Guards against bytes that are no answer: passed on as one, or as a connection that ends without an answer to a call that may have run.
func TestMalformedAnswerHasUnknownOutcome(t *testing.T) {
	sound := startPlain(t, "sound")
	for name, text := range raw.MalformedAnswers("") {
		broken, calls := startCountingRaw(t, raw.Answer{Text: text, ReadBody: true})
		once := newRig(t, siteText("", true, nil, []string{broken}), nil)
		resp := once.call(http.MethodPost, "/dispatch/send", "", "go")
		must.Eq(t, http.StatusBadGateway, resp.StatusCode, must.Sprint(name))
		must.Eq(t, result.OutcomeUnknown.String(), readError(t, resp).Outcome, must.Sprint(name))
		again := newRig(t, siteText("  max_attempts: 2\n  retry_budget: 1\n", true, nil, []string{broken, sound.Addr()}), nil)
		must.Eq(t, 1, calls.Load(), must.Sprint(name)) // a call that may not be repeated was sent once
		eventually(t, "a call that may be repeated reaches the broken target", func() bool {
			must.Eq(t, http.StatusOK, again.call(http.MethodGet, "/dispatch/status/x", "", "").StatusCode, must.Sprint(name))
			return calls.Load() > 1
		})
	}
}

// Guards against sound answers that are refused because they are unusual.
func TestUnusualAnswersArePassedOn(t *testing.T) {
	for name, text := range raw.UnusualAnswers("") {
		r := newRig(t, siteText("", true, nil, []string{startRaw(t, raw.Answer{Text: text, ReadBody: true})}), nil)
		resp := r.call(http.MethodPost, "/dispatch/send", "", "go")
		must.Less(t, 300, resp.StatusCode, must.Sprint(name))
		body, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.Eq(t, !strings.HasPrefix(name, "204"), string(body) == "body", must.Sprint(name))
	}
}

// Guards against a caller that gets a part of an answer as the whole: its target reset the connection while the upload was being written.
func TestPlainAnswerResetDuringUploadIsNoSuccess(t *testing.T) {
	upload := strings.Repeat("u", 8<<20)
	for _, wait := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
		for _, head := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n"} {
			addr := startRaw(t, raw.Answer{Text: head + "part", Wait: wait, End: raw.Reset})
			r := newRig(t, siteText("  max_body: 16MiB\n", true, nil, []string{addr}), nil)
			for range 3 {
				resp := r.call(http.MethodPost, "/dispatch/send", "", upload)
				body, err := io.ReadAll(resp.Body)
				must.False(t, err == nil && resp.StatusCode < 300, must.Sprintf("%q after %v: %d %q", head, wait, resp.StatusCode, body))
				if err == nil && resp.StatusCode != http.StatusBadGateway {
					must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode, must.Sprintf("%s", body)) // the circuit of the only target is open
				}
			}
		}
	}
}

// Guards against a refusal that promises "not run" and is broken off: nothing of it may be relied on.
func TestBrokenRefusalOfEngineProvesNothing(t *testing.T) {
	const refusal = `{"type":"overloaded","message":"full","not_run":true}`
	for name, text := range map[string]string{
		"length":   "HTTP/1.1 503 Busy\r\nContent-Length: 500\r\n\r\n" + refusal,
		"chunks":   "HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n35\r\n" + refusal + "\r\n",
		"unframed": "HTTP/1.1 503 Busy\r\n\r\n" + refusal,
	} {
		t.Run(name, func(t *testing.T) {
			e := newScripted(t, func(s *script, _ int) {
				raw.Answer{Text: text, Wait: 10 * time.Millisecond, End: raw.Reset}.Send(s.w, s.r)
			})
			st := runScripted(t, e, "  max_attempts: 1\n", true)
			must.NotNil(t, st.err)
			must.NotEq(t, result.NotRun.String(), st.err.Outcome)
		})
	}
}
