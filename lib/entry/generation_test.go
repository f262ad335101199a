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

func TestStreamedAnswerComplete(t *testing.T) {
	e := startEngine(t, nil)
	r := newRig(t, siteText("", true, []string{e.Addr()}, nil), nil)
	const prompt = "route 7 [len=40]"
	resp := r.send(context.Background(), callerRequest{prompt: prompt, stream: true})
	must.Eq(t, http.StatusOK, resp.StatusCode)
	must.Eq(t, "text/event-stream", resp.Header.Get("Content-Type"))
	must.NotEq(t, "", resp.Header.Get(callerapi.HeaderRequestID))
	var st transcript
	st.read(t, eventsOf(resp), nil)
	st.checkComplete(t, prompt, 40)
	must.Eq(t, "stop", st.finish)
}

func TestUnstreamedAnswerComplete(t *testing.T) {
	e := startEngine(t, nil)
	r := newRig(t, siteText("", true, []string{e.Addr()}, nil), nil)
	const prompt = "route 8 [len=25]"
	resp := r.send(context.Background(), callerRequest{prompt: prompt, extra: `,"max_tokens":10`})
	must.Eq(t, http.StatusOK, resp.StatusCode)
	var ans callerapi.Answer
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&ans))
	must.NoError(t, engine.CheckAnswer(prompt, *ans.Choices[0].Text, 10))
	must.Eq(t, "length", ans.Choices[0].FinishReason)
	must.Eq(t, 10, ans.Usage.CompletionTokens)
}

// An engine is killed in the middle of a stream, and the connection breaks without a finish frame. The entry must fence the
// attempt and resume at the next token on the other engine. The caller sees each token once, of one generation, and the
// finish frame.
func TestEngineKilledMidStreamResumesOnAnother(t *testing.T) {
	engines := []*engine.Server{startEngine(t, nil), startEngine(t, nil)}
	r := newRig(t, siteText("", true, []string{engines[0].Addr(), engines[1].Addr()}, nil), nil)
	const prompt = "narrative [len=120]"
	resp := r.send(context.Background(), callerRequest{prompt: prompt, stream: true})
	var st transcript
	killed := false
	st.read(t, eventsOf(resp), func(n int) {
		if n >= 10 && !killed {
			killed = true
			engines[r.runningOn()].Kill()
		}
	})
	st.checkComplete(t, prompt, 120)
	must.True(t, killed)
}

// runningOn returns the index of the engine that runs the only generation in progress.
func (r *rig) runningOn() int {
	for _, g := range r.server.table.appendRunning(nil) {
		g.mu.Lock()
		defer g.mu.Unlock()
		return int(g.attempt.target[len("planner-")] - '1')
	}
	r.t.Fatal("no generation in progress")
	return 0
}

// The engine ends a stream early while it stays alive. Without the check for the finish frame, the caller would take the
// partial answer for the complete one.
func TestStreamWithoutFinishFrameResumed(t *testing.T) {
	e := startEngine(t, nil)
	r := newRig(t, siteText("", true, []string{e.Addr()}, nil), nil)
	const prompt = "cut me [len=60]"
	resp := r.send(context.Background(), callerRequest{prompt: prompt, stream: true})
	var st transcript
	st.read(t, eventsOf(resp), func(n int) {
		if n == 5 || n == 30 {
			e.SetFault(engine.Fault{Kind: engine.FaultCut})
		}
	})
	st.checkComplete(t, prompt, 60)
}

// The engine repeats frames and interleaves frames of an older attempt, as with late and duplicate delivery. The caller must
// see each token once.
func TestDuplicateAndLateFramesDropped(t *testing.T) {
	e := startEngine(t, nil)
	e.SetFault(engine.Fault{Kind: engine.FaultRepeat})
	r := newRig(t, siteText("", true, []string{e.Addr()}, nil), nil)
	const prompt = "twice [len=50]"
	var st transcript
	st.read(t, eventsOf(r.send(context.Background(), callerRequest{prompt: prompt, stream: true})), nil)
	st.checkComplete(t, prompt, 50)
}

// The link to the engine carries nothing for longer than the stall bound but does not break, so only a timeout reveals it.
// The entry must cancel the attempt and resume on the other engine, although the first would still have answered.
func TestStalledLinkResumesOnAnother(t *testing.T) {
	engines := []*engine.Server{startEngine(t, nil), startEngine(t, nil)}
	r := newRig(t, siteText("", true, []string{engines[0].Addr(), engines[1].Addr()}, nil), nil)
	const prompt = "stall [len=60]"
	resp := r.send(context.Background(), callerRequest{prompt: prompt, stream: true})
	var st transcript
	stalled := false
	st.read(t, eventsOf(resp), func(n int) {
		if n >= 10 && !stalled {
			stalled = true
			engines[r.runningOn()].SetFault(engine.Fault{Kind: engine.FaultStall, MS: 60_000})
		}
	})
	st.checkComplete(t, prompt, 60)
}

// The service's engines can't resume, and the stream breaks. Restarting into the same stream would mix two answers, so the
// stream must end with a numbered error and no [DONE].
func TestBrokenStreamWithoutResumeFails(t *testing.T) {
	e := startEngine(t, func(c *engine.Config) { c.NoResume = true })
	r := newRig(t, siteText("", false, []string{e.Addr()}, nil), nil)
	resp := r.send(context.Background(), callerRequest{prompt: "fragile [len=60]", stream: true})
	var st transcript
	st.read(t, eventsOf(resp), func(n int) {
		if n == 5 {
			e.SetFault(engine.Fault{Kind: engine.FaultCut})
		}
	})
	must.False(t, st.done)
	must.NotNil(t, st.err)
	must.Eq(t, result.CannotResume, st.err.Code)
	must.Eq(t, result.FailedRan.String(), st.err.Outcome)
}

// No engine is reachable and nothing was sent: the caller must be told at once that nothing was run, and when to retry.
func TestNoReachableEngineReportsNotRun(t *testing.T) {
	r := newRig(t, siteText("  max_attempts: 2\n  max_wait: 300ms\n", true, []string{"127.0.0.1:1"}, nil), nil)
	resp := r.send(context.Background(), callerRequest{prompt: "nobody", stream: true})
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
	must.NotEq(t, "", resp.Header.Get("Retry-After"))
	e := readError(t, resp)
	must.Eq(t, result.NotRun.String(), e.Outcome)
	must.Eq(t, result.NoTarget, e.Code)
}

// The caller disconnects mid-stream. The engine's memory must be freed soon, not when the answer would have ended.
func TestCallerDisconnectCancelsEngine(t *testing.T) {
	e := startEngine(t, nil)
	r := newRig(t, siteText("", true, []string{e.Addr()}, nil), nil)
	ctx, cancel := context.WithCancel(context.Background())
	resp := r.send(ctx, callerRequest{prompt: "long [len=5000]", stream: true})
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
