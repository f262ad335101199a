package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/callerapi"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/standin/engine"
)

func TestStreamedAnswerIsWhole(t *testing.T) {
	e := startEngine(t, nil)
	r := newRig(t, siteText("", true, []string{e.Addr()}, nil), nil)
	const prompt = "route 7 [len=40]"
	resp := r.send(context.Background(), ask{prompt: prompt, stream: true})
	must.Eq(t, http.StatusOK, resp.StatusCode)
	must.Eq(t, "text/event-stream", resp.Header.Get("Content-Type"))
	must.NotEq(t, "", resp.Header.Get(callerapi.HeaderRequestID))
	var st story
	st.read(t, eventsOf(resp), nil)
	st.whole(t, prompt, 40)
	must.Eq(t, "stop", st.finish)
}

func TestUnstreamedAnswerIsWhole(t *testing.T) {
	e := startEngine(t, nil)
	r := newRig(t, siteText("", true, []string{e.Addr()}, nil), nil)
	const prompt = "route 8 [len=25]"
	resp := r.send(context.Background(), ask{prompt: prompt, extra: `,"max_tokens":10`})
	must.Eq(t, http.StatusOK, resp.StatusCode)
	var ans callerapi.Answer
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&ans))
	must.NoError(t, engine.CheckAnswer(prompt, *ans.Choices[0].Text, 10))
	must.Eq(t, "length", ans.Choices[0].FinishReason)
	must.Eq(t, 10, ans.Usage.CompletionTokens)
}

// The caller's answer stops in the middle because its engine is killed. The connection breaks without an end mark; the
// entry fences that attempt and resumes at the next token on the other engine. The caller sees each token once, of one
// generation, and the end mark.
func TestEngineKilledMidStreamResumesElsewhere(t *testing.T) {
	engines := []*engine.Server{startEngine(t, nil), startEngine(t, nil)}
	r := newRig(t, siteText("", true, []string{engines[0].Addr(), engines[1].Addr()}, nil), nil)
	const prompt = "narrative [len=120]"
	resp := r.send(context.Background(), ask{prompt: prompt, stream: true})
	var st story
	killed := false
	st.read(t, eventsOf(resp), func(n int) {
		if n >= 10 && !killed {
			killed = true
			engines[r.runningOn()].Kill()
		}
	})
	st.whole(t, prompt, 120)
	must.True(t, killed)
}

// runningOn returns which engine runs the only generation in progress.
func (r *rig) runningOn() int {
	for _, g := range r.server.table.running(nil) {
		g.mu.Lock()
		defer g.mu.Unlock()
		return int(g.attempt.target[len("planner-")] - '1')
	}
	r.t.Fatal("no generation in progress")
	return 0
}

// A stream is cut by the engine while the engine lives on. Without the check for the end mark the caller would take a
// part for the whole.
func TestCutWithoutEndMarkIsResumed(t *testing.T) {
	e := startEngine(t, nil)
	r := newRig(t, siteText("", true, []string{e.Addr()}, nil), nil)
	const prompt = "cut me [len=60]"
	resp := r.send(context.Background(), ask{prompt: prompt, stream: true})
	var st story
	st.read(t, eventsOf(resp), func(n int) {
		if n == 5 || n == 30 {
			e.Order(engine.Fault{Kind: engine.FaultCut})
		}
	})
	st.whole(t, prompt, 60)
}

// The engine repeats frames and sends frames of an older attempt beside the right ones, as a link that delivers late and
// twice would. The caller must see each token once.
func TestRepeatedAndLateFramesAreDropped(t *testing.T) {
	e := startEngine(t, nil)
	e.Order(engine.Fault{Kind: engine.FaultRepeat})
	r := newRig(t, siteText("", true, []string{e.Addr()}, nil), nil)
	const prompt = "twice [len=50]"
	var st story
	st.read(t, eventsOf(r.send(context.Background(), ask{prompt: prompt, stream: true})), nil)
	st.whole(t, prompt, 50)
}

// The link to the engine carries nothing for longer than the stall bound, but does not break. Nothing tells the entry
// but time: it gives up on the attempt and resumes on the other engine, though the first would still have answered.
func TestStalledLinkIsLeft(t *testing.T) {
	engines := []*engine.Server{startEngine(t, nil), startEngine(t, nil)}
	r := newRig(t, siteText("", true, []string{engines[0].Addr(), engines[1].Addr()}, nil), nil)
	const prompt = "stall [len=60]"
	resp := r.send(context.Background(), ask{prompt: prompt, stream: true})
	var st story
	stalled := false
	st.read(t, eventsOf(resp), func(n int) {
		if n >= 10 && !stalled {
			stalled = true
			engines[r.runningOn()].Order(engine.Fault{Kind: engine.FaultStall, MS: 60_000})
		}
	})
	st.whole(t, prompt, 60)
}

// The service's engines can't resume. When the stream breaks, the caller has a part of an answer that nobody can go on
// with. Starting over into the same stream would mix two answers, so it ends with a numbered error and no [DONE].
func TestBreakWithoutResumeEndsTruthfully(t *testing.T) {
	e := startEngine(t, func(c *engine.Config) { c.NoResume = true })
	r := newRig(t, siteText("", false, []string{e.Addr()}, nil), nil)
	resp := r.send(context.Background(), ask{prompt: "fragile [len=60]", stream: true})
	var st story
	st.read(t, eventsOf(resp), func(n int) {
		if n == 5 {
			e.Order(engine.Fault{Kind: engine.FaultCut})
		}
	})
	must.False(t, st.done)
	must.NotNil(t, st.err)
	must.Eq(t, result.CannotResume, st.err.Code)
	must.Eq(t, result.FailedRan.String(), st.err.Outcome)
}

// No engine can be reached: nothing was sent, so the caller is told at once that it was not run, and when to come back.
func TestNoEngineIsNotRun(t *testing.T) {
	r := newRig(t, siteText("  max_attempts: 2\n  max_wait: 300ms\n", true, []string{"127.0.0.1:1"}, nil), nil)
	resp := r.send(context.Background(), ask{prompt: "nobody", stream: true})
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
	must.NotEq(t, "", resp.Header.Get("Retry-After"))
	e := readError(t, resp)
	must.Eq(t, result.NotRun.String(), e.Outcome)
	must.Eq(t, result.NoTarget, e.Code)
}

// The caller goes away in the middle. The engine's memory must be free soon, not when the answer would have ended.
func TestCallerGoneCancelsAtTheEngine(t *testing.T) {
	e := startEngine(t, nil)
	r := newRig(t, siteText("", true, []string{e.Addr()}, nil), nil)
	ctx, cancel := context.WithCancel(context.Background())
	resp := r.send(ctx, ask{prompt: "long [len=5000]", stream: true})
	ev := eventsOf(resp)
	for range 5 {
		_, ok := ev.next()
		must.True(t, ok)
	}
	cancel()
	eventually(t, "no generation in progress", func() bool { _, n := r.server.Counts(); return n == 0 })
	c := r.server.Client("planner-1")
	eventually(t, "engine idle", func() bool {
		rep, err := c.Load(context.Background())
		return err == nil && rep.Running == 0
	})
}
