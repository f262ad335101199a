package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/retry"
)

// scripted is an engine whose responses a test writes frame by frame.
type scripted struct {
	*httptest.Server
	mu       sync.Mutex
	received []engineapi.Ext // one per attempt received
	cancels  int             // cancel requests received
}

// newScripted starts an engine; play writes the response to attempt n, counted from 1 over all generations.
func newScripted(t *testing.T, play func(w *script, n int)) *scripted {
	t.Helper()
	s := &scripted{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engineapi.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(engineapi.LoadReport{Incarnation: 1})
	})
	mux.HandleFunc("DELETE "+engineapi.PathGenerations, func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cancels++
		_ = json.NewEncoder(w).Encode(engineapi.CancelResult{})
	})
	mux.HandleFunc("POST "+engineapi.PathCompletions, func(w http.ResponseWriter, r *http.Request) {
		var req engineapi.Request
		if json.NewDecoder(r.Body).Decode(&req) != nil || req.Ext == nil {
			http.Error(w, "no ext", http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		s.received = append(s.received, *req.Ext)
		n := len(s.received)
		s.mu.Unlock()
		play(&script{w: w, r: r, ext: *req.Ext}, n)
	})
	s.Server = httptest.NewServer(mux)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

func (s *scripted) addr() string { return s.Listener.Addr().String() }

func (s *scripted) attempts() []engineapi.Ext {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]engineapi.Ext(nil), s.received...)
}

// script writes one response.
type script struct {
	w   http.ResponseWriter
	r   *http.Request
	ext engineapi.Ext
}

func (s *script) raw(text string) {
	_, _ = fmt.Fprint(s.w, text)
	_ = http.NewResponseController(s.w).Flush()
}

func (s *script) frame(f engineapi.Frame) {
	data, _ := json.Marshal(f)
	s.raw("data: " + string(data) + "\n\n")
}

// token writes token i of the current attempt.
func (s *script) token(i uint32, text string) { s.tokenOf(s.ext.Generation, s.ext.Attempt, i, text) }

func (s *script) tokenOf(gen string, attempt, i uint32, text string) {
	s.frame(engineapi.Frame{
		Choices: []engineapi.Choice{{Text: text}},
		Ext:     engineapi.FrameExt{Generation: gen, Attempt: attempt, Index: i},
	})
}

func (s *script) end(attempt, count uint32) {
	reason := "stop"
	s.frame(engineapi.Frame{
		Choices: []engineapi.Choice{{FinishReason: &reason}},
		Ext:     engineapi.FrameExt{Generation: s.ext.Generation, Attempt: attempt, Index: count},
	})
}

func (s *script) done() { s.raw("data: [DONE]\n\n") }

func (s *script) fail(kind string) {
	s.frame(engineapi.Frame{Error: &engineapi.Error{Type: kind}})
}

func (s *script) refuse(status int, e engineapi.Error) {
	s.w.WriteHeader(status)
	_ = json.NewEncoder(s.w).Encode(e)
}

func (s *script) cut() { panic(http.ErrAbortHandler) }

// finishFrom writes the tokens "a", "b", ... from the start index on, and the end of the stream.
func (s *script) finishFrom() {
	for i := s.ext.StartIndex; i < 4; i++ {
		s.token(i, string(rune('a'+i)))
	}
	s.end(s.ext.Attempt, 4)
	s.done()
}

// runScripted sends a streamed request through a rig in front of the engine and returns what the caller received.
func runScripted(t *testing.T, s *scripted, policy string, resumes bool) *transcript {
	t.Helper()
	r := newRig(t, siteText("  max_wait: 1s\n"+policy, resumes, []string{s.addr()}, nil), func(o *Options) {
		o.ResumeTimeout = time.Second
	})
	resp := r.send(context.Background(), callerRequest{prompt: "scripted", stream: true})
	st := &transcript{}
	if resp.StatusCode != http.StatusOK {
		e := readError(t, resp)
		st.err = &e
		return st
	}
	st.read(t, eventsOf(resp), nil)
	return st
}

// Whatever goes wrong inside a stream, the caller must get "abcd" with a finish frame, each token once: the failed attempt is
// fenced and the next one resumes at the next token.
func TestBrokenStreamsResumed(t *testing.T) {
	for name, first := range map[string]func(s *script){
		"gap": func(s *script) {
			s.token(0, "a")
			s.token(2, "x")
			s.finishFrom()
		},
		"end mark counts a token that never came": func(s *script) {
			s.token(0, "a")
			s.end(s.ext.Attempt, 4)
			s.done()
		},
		"[DONE] without an end mark": func(s *script) {
			s.token(0, "a")
			s.done()
		},
		"end mark without [DONE]": func(s *script) {
			s.token(0, "a")
			s.end(s.ext.Attempt, 1)
			s.cut()
		},
		"cut inside an event": func(s *script) {
			s.token(0, "a")
			s.raw(`data: {"choices":[{"text":"b"`)
			s.cut()
		},
		"no JSON": func(s *script) {
			s.token(0, "a")
			s.raw("data: {broken\n\n")
		},
		"preempted": func(s *script) {
			s.token(0, "a")
			s.fail(engineapi.ErrPreempted)
		},
		"unknown error": func(s *script) { s.fail("out of luck") },
		"server error":  func(s *script) { s.refuse(http.StatusInternalServerError, engineapi.Error{Type: "broken"}) },
		"overloaded": func(s *script) {
			s.refuse(http.StatusServiceUnavailable, engineapi.Error{Type: engineapi.ErrOverloaded, NotRun: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := newScripted(t, func(s *script, n int) {
				if n == 1 {
					first(s)
					return
				}
				s.finishFrom()
			})
			st := runScripted(t, e, "", true)
			must.Nil(t, st.err)
			must.True(t, st.done)
			must.Eq(t, "abcd", st.text.String())
			asked := e.attempts()
			must.Len(t, 2, asked)
			must.Greater(t, asked[0].Attempt, asked[1].Attempt)
			must.Eq(t, int(asked[1].StartIndex), len(asked[1].Resume))
			must.Eq(t, asked[0].Generation, asked[1].Generation)
		})
	}
}

// The stream contains frames of another generation and of an attempt that never existed, including finish and error frames,
// as if two answers were mixed up. The caller must see only its own.
func TestForeignFramesDropped(t *testing.T) {
	other := strings.Repeat("ab", 16)
	e := newScripted(t, func(s *script, _ int) {
		s.tokenOf(other, 1, 0, "X")
		s.token(0, "a")
		s.tokenOf(s.ext.Generation, s.ext.Attempt+1, 1, "Y")
		s.end(s.ext.Attempt+1, 1)
		s.frame(engineapi.Frame{
			Error: &engineapi.Error{Type: engineapi.ErrPreempted},
			Ext:   engineapi.FrameExt{Generation: other, Attempt: 1},
		})
		s.token(1, "b")
		s.end(s.ext.Attempt, 2)
		s.done()
	})
	st := runScripted(t, e, "", true)
	must.True(t, st.done)
	must.Eq(t, "ab", st.text.String())
	must.Len(t, 1, e.attempts())
}

// Asked to resume, the engine would restart from the first token, and its second answer differs. The service is configured
// as unable to resume, so it must not be asked: the caller would get the head of one answer and the tail of another.
func TestNoRestartIntoSameStream(t *testing.T) {
	e := newScripted(t, func(s *script, n int) {
		for i := range uint32(4) {
			s.token(i, fmt.Sprintf("%d-%d ", n, i))
			if n == 1 && i == 1 {
				s.cut()
			}
		}
		s.end(s.ext.Attempt, 4)
		s.done()
	})
	st := runScripted(t, e, "", false)
	must.Len(t, 1, e.attempts())
	must.NotNil(t, st.err)
	must.Eq(t, result.CannotResume, st.err.Code)
	must.Eq(t, "1-0 1-1 ", st.text.String())
}

// The engine accepts the request and breaks the connection before the first token; afterwards no engine is reachable. The last
// failure is "no target", which by itself means "not run", but the first engine may have run a part. The caller must not be
// told "not run".
func TestPossiblyRunNotReportedNotRun(t *testing.T) {
	var e *scripted
	e = newScripted(t, func(s *script, _ int) {
		s.raw(": accepted\n\n")
		_ = e.Listener.Close()
		s.cut()
	})
	st := runScripted(t, e, "  max_attempts: 3\n", true)
	must.NotNil(t, st.err)
	must.Eq(t, result.FailedRan.String(), st.err.Outcome)
	must.NotEq(t, result.NotRun, result.Lookup(st.err.Code).Outcome)
}

// An engine rejects a request as invalid: the caller must be told why, and that it was not run.
func TestEngineRejectsRequest(t *testing.T) {
	e := newScripted(t, func(s *script, _ int) {
		s.refuse(http.StatusBadRequest, engineapi.Error{Type: engineapi.ErrBad, Message: "too long", NotRun: true})
	})
	st := runScripted(t, e, "", true)
	must.Eq(t, result.BadRequest, st.err.Code)
	must.Eq(t, result.NotRun.String(), st.err.Outcome)
	must.Len(t, 1, e.attempts())
}

// The attempts on an engine that always fails must be bounded.
func TestAttemptsBounded(t *testing.T) {
	e := newScripted(t, func(s *script, _ int) { s.refuse(http.StatusInternalServerError, engineapi.Error{Type: "broken"}) })
	st := runScripted(t, e, "  max_attempts: 3\n  retry_budget: 1\n", true)
	must.Eq(t, result.TargetFailed, st.err.Code)
	must.Len(t, 3, e.attempts())
}

// Every engine fails every request. Retries are limited to a fraction of first attempts: beyond the budget, a request must be
// refused at once, so that overloaded engines don't receive a multiple of the load.
func TestRetryBudget(t *testing.T) {
	e := newScripted(t, func(s *script, _ int) {
		s.refuse(http.StatusServiceUnavailable, engineapi.Error{Type: engineapi.ErrOverloaded, NotRun: true})
	})
	text := siteText("  max_wait: 1s\n  retry_budget: 0.1\n", true, []string{e.addr()}, nil)
	r := newRig(t, text, func(o *Options) {
		o.Budgets = retry.NewBudgets(retry.BudgetConfig{Window: time.Minute, Idle: time.Hour})
	})
	const requests = 30
	for range requests {
		got := readError(t, r.send(context.Background(), callerRequest{prompt: "overload", stream: true}))
		must.Eq(t, result.NotRun.String(), got.Outcome)
	}
	must.LessEq(t, requests+requests/10+1, len(e.attempts()))
}

// An overloaded engine refuses with a Retry-After. The entry must send it nothing for that time and use it again afterwards;
// meanwhile requests run on the other engine.
func TestRetryAfterOfEngineIsHonored(t *testing.T) {
	const retryAfter = time.Second
	full := newScripted(t, func(s *script, n int) {
		if n == 1 {
			s.w.Header().Set("Retry-After", fmt.Sprint(retryAfter.Seconds()))
			s.refuse(http.StatusServiceUnavailable, engineapi.Error{Type: engineapi.ErrOverloaded, NotRun: true})
			return
		}
		s.finishFrom()
	})
	other := newScripted(t, func(s *script, _ int) { s.finishFrom() })
	r := newRig(t, siteText("  max_wait: 2s\n", true, []string{full.addr(), other.addr()}, nil), nil)
	send := func() {
		resp := r.send(context.Background(), callerRequest{prompt: "rests", stream: true})
		must.Eq(t, http.StatusOK, resp.StatusCode)
		_, err := io.Copy(io.Discard, resp.Body)
		must.NoError(t, err)
		_ = resp.Body.Close()
	}
	for len(full.attempts()) == 0 {
		send()
	}
	refusedAt := time.Now()
	for time.Since(refusedAt) < retryAfter*8/10 {
		send()
	}
	must.Len(t, 1, full.attempts())
	for time.Since(refusedAt) < 5*retryAfter && len(full.attempts()) == 1 {
		send()
	}
	must.Greater(t, 1, len(full.attempts()))
}
