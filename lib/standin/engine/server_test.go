package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/enginemodel"
	"anvilwick.example/anvilwick/lib/ids"
)

// fastConfig returns the configuration of an engine with millisecond steps.
func fastConfig() Config {
	m := enginemodel.Default()
	m.StepBase = time.Millisecond
	m.StepPerSeq = 0
	m.StepPerPrefill = 0
	m.ReportLag = 20 * time.Millisecond
	return Config{Addr: "127.0.0.1:0", Engine: m, Model: "m1", Fencing: true, Incarnation: 1, Die: func() {}}
}

func startServer(t *testing.T, cfg Config) *Server {
	s, err := Start(cfg)
	must.NoError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Close(ctx)
	})
	return s
}

func post(t *testing.T, s *Server, path string, v any) *http.Response {
	body, err := json.Marshal(v)
	must.NoError(t, err)
	resp, err := http.Post("http://"+s.Addr()+path, "application/json", bytes.NewReader(body))
	must.NoError(t, err)
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

func streamRequest(g ids.Generation, attempt, start uint32, prompt string) engineapi.Request {
	return engineapi.Request{
		Model:  "m1",
		Prompt: prompt,
		Stream: true,
		Ext:    &engineapi.Ext{Generation: g.String(), Attempt: attempt, StartIndex: start},
	}
}

// readFrames reads up to limit frames, until [DONE] or the end of the stream; done reports whether [DONE] came.
func readFrames(r io.Reader, limit int) (frames []engineapi.Frame, done bool) {
	sc := bufio.NewScanner(r)
	for len(frames) < limit && sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		switch {
		case !ok:
		case data == engineapi.DoneData:
			return frames, true
		default:
			var f engineapi.Frame
			if json.Unmarshal([]byte(data), &f) == nil {
				frames = append(frames, f)
			}
		}
	}
	return frames, false
}

func frameText(frames []engineapi.Frame) string {
	var b strings.Builder
	for _, f := range frames {
		b.WriteString(f.Choices[0].Text)
	}
	return b.String()
}

func decodeError(t *testing.T, resp *http.Response) engineapi.Error {
	var body struct {
		Error engineapi.Error `json:"error"`
	}
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&body))
	return body.Error
}

const unlimited = 1 << 30

func TestStreamIsCompleteAndTerminated(t *testing.T) {
	s := startServer(t, fastConfig())
	resp := post(t, s, engineapi.PathCompletions, streamRequest(ids.From(1, 1), 1, 0, "a [len=20]"))
	frames, done := readFrames(resp.Body, unlimited)
	must.True(t, done)
	must.Eq(t, 21, len(frames))
	must.Eq(t, "stop", *frames[20].Choices[0].FinishReason)
	must.NoError(t, CheckAnswer("a [len=20]", frameText(frames), 20))
}

// A generation moves to a second engine at index 7. The text depends on prompt, generation and index alone, so the second
// engine's tokens must continue those of the first as one answer.
func TestResumeOnAnotherEngineContinuesTheText(t *testing.T) {
	a, b := startServer(t, fastConfig()), startServer(t, fastConfig())
	g := ids.From(1, 2)
	first, _ := readFrames(post(t, a, engineapi.PathCompletions, streamRequest(g, 1, 0, "x [len=30]")).Body, 7)
	rest, done := readFrames(post(t, b, engineapi.PathCompletions, streamRequest(g, 2, 7, "x [len=30]")).Body, unlimited)
	must.True(t, done)
	must.NoError(t, CheckAnswer("x [len=30]", frameText(first)+frameText(rest), 30))
}

// An entry loses a token and resumes from the rest on another engine. The answer would read as if nothing were missing, so
// the stand-in rejects the request.
func TestResumeWithWrongTokensIsRejected(t *testing.T) {
	s := startServer(t, fastConfig())
	g := ids.From(1, 7)
	const prompt = "w [len=9]"
	req := streamRequest(g, 2, 3, prompt)
	for i := range 3 {
		req.Ext.Resume = append(req.Ext.Resume, TokenText(prompt, g.String(), i))
	}
	whole := post(t, s, engineapi.PathCompletions, req)
	must.Eq(t, http.StatusOK, whole.StatusCode)
	req.Ext.Attempt = 3
	req.Ext.Resume[1] = req.Ext.Resume[2]
	must.Eq(t, http.StatusBadRequest, post(t, s, engineapi.PathCompletions, req).StatusCode)
}

// An entry cancels attempt 1, whose request was delayed in a queue and arrives after the cancel. It must not run, since
// attempt 2 runs elsewhere by then: the engine answers 409 and reports that nothing was executed.
func TestCancelledAttemptIsFenced(t *testing.T) {
	s := startServer(t, fastConfig())
	g := ids.From(1, 3)
	req, err := http.NewRequest(http.MethodDelete, fmt.Sprintf("http://%s%s%s?attempt=1", s.Addr(), engineapi.PathGenerations, g), nil)
	must.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	var res engineapi.CancelResult
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&res))
	must.Eq(t, engineapi.CancelResult{}, res)
	late := post(t, s, engineapi.PathCompletions, streamRequest(g, 1, 0, "late"))
	must.Eq(t, http.StatusConflict, late.StatusCode)
	must.True(t, decodeError(t, late).NotRun)
	next := post(t, s, engineapi.PathCompletions, streamRequest(g, 2, 0, "late [len=2]"))
	must.Eq(t, http.StatusOK, next.StatusCode)
}

// Attempt 2 of a generation arrives at the same engine while attempt 1 still streams. The first stream must end without an
// end mark, so that its reader can't take it for complete; only the second continues.
func TestNewerAttemptEndsOlderStream(t *testing.T) {
	s := startServer(t, fastConfig())
	g := ids.From(1, 4)
	one := post(t, s, engineapi.PathCompletions, streamRequest(g, 1, 0, "y [len=2000]"))
	got, _ := readFrames(one.Body, 3)
	must.Eq(t, 3, len(got))
	two := post(t, s, engineapi.PathCompletions, streamRequest(g, 2, 3, "y [len=40]"))
	_, done := readFrames(one.Body, unlimited)
	must.False(t, done)
	_, done = readFrames(two.Body, unlimited)
	must.True(t, done)
}

func TestOrdersCheckFencingNumbers(t *testing.T) {
	for _, enforced := range []bool{true, false} {
		cfg := fastConfig()
		cfg.Fencing = enforced
		s := startServer(t, cfg)
		order := func(fence uint64, model string) int {
			o := engineapi.Order{Fence: fence, Kind: engineapi.OrderLoadModel, Model: model}
			return post(t, s, engineapi.PathOrders, o).StatusCode
		}
		must.Eq(t, http.StatusNoContent, order(5, "m2"))
		must.Eq(t, http.StatusNoContent, order(5, "m2"))
		must.Eq(t, 1, s.orders.applied)
		old := order(4, "m3")
		must.Eq(t, enforced, old == http.StatusConflict)
		must.Eq(t, uint64(5), s.orders.fence)
	}
}

// Each frame of a stream comes twice, after a frame of an earlier attempt, as on a faulty link. A reader that keeps only
// frames of its own attempt with the next index must still get the whole answer.
func TestRepeatedFramesAreDistinguishable(t *testing.T) {
	s := startServer(t, fastConfig())
	must.True(t, s.SetFault(Fault{Kind: FaultRepeat}))
	frames, done := readFrames(post(t, s, engineapi.PathCompletions, streamRequest(ids.From(1, 5), 3, 0, "z [len=9]")).Body, unlimited)
	must.True(t, done)
	must.Eq(t, 3*9+1, len(frames))
	var kept []engineapi.Frame
	for _, f := range frames {
		if f.Ext.Attempt == 3 && int(f.Ext.Index) == len(kept) {
			kept = append(kept, f)
		}
	}
	must.NoError(t, CheckAnswer("z [len=9]", frameText(kept), 9))
}

// The process dies while it streams: the reader must see the stream end without an end mark.
func TestPoisonPromptKillsEngine(t *testing.T) {
	cfg := fastConfig()
	cfg.Poison = true
	died := make(chan struct{})
	cfg.Die = func() { close(died) }
	s := startServer(t, cfg)
	body := strings.NewReader(`{"prompt":"[poison]","stream":true}`)
	resp, err := http.Post("http://"+s.Addr()+engineapi.PathCompletions, "application/json", body)
	if err == nil {
		_, done := readFrames(resp.Body, unlimited)
		resp.Body.Close()
		must.False(t, done)
	}
	<-died
}

// The engine's load reports stop changing, yet each reports the age of a fresh one. Only the unchanged sequence number shows
// that the figures are old.
func TestFrozenReportsLookFresh(t *testing.T) {
	s := startServer(t, fastConfig())
	load := func() (rep engineapi.LoadReport) {
		resp, err := http.Get("http://" + s.Addr() + engineapi.PathLoad)
		must.NoError(t, err)
		defer resp.Body.Close()
		must.NoError(t, json.NewDecoder(resp.Body).Decode(&rep))
		return rep
	}
	must.True(t, s.SetFault(Fault{Kind: FaultFreeze}))
	frozen := load()
	time.Sleep(3 * s.cfg.Engine.ReportLag)
	must.Eq(t, frozen, load())
	must.True(t, s.SetFault(Fault{Kind: FaultThaw}))
	must.Greater(t, frozen.Seq, load().Seq)
}

func TestLeavingEngineRejectsNewWork(t *testing.T) {
	s := startServer(t, fastConfig())
	must.True(t, s.SetFault(Fault{Kind: FaultLeave}))
	resp := post(t, s, engineapi.PathCompletions, streamRequest(ids.From(1, 6), 1, 0, "q"))
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
	must.Eq(t, engineapi.ErrDraining, decodeError(t, resp).Type)
}

func TestCheckAnswerDetectsMixedText(t *testing.T) {
	whole := Answer("p", "g", 5)
	must.NoError(t, CheckAnswer("p", whole, 5))
	must.Error(t, CheckAnswer("other", whole, 5))
	must.Error(t, CheckAnswer("p", whole, 6))
	must.Error(t, CheckAnswer("p", whole+TokenText("p", "g", 4), -1))
	must.Error(t, CheckAnswer("p", whole+TokenText("p", "h", 5), -1))
}

func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"prompt":"a [len=3]","ext":{"generation":"00112233445566778899aabbccddeeff","start_index":1,"resume":["x"]}}`))
	f.Add([]byte(`{"messages":[{"role":"user","content":"[len=99999999999999999999]"}],"max_tokens":-1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := http.NewRequest(http.MethodPost, engineapi.PathCompletions, bytes.NewReader(body))
		must.NoError(t, err)
		if j, err := parseJob(r); err == nil && (j.seq.Length < 1 || j.seq.Emitted > j.seq.Length) {
			t.Fatalf("accepted %+v", j.seq)
		}
	})
}

// An engine ran the first attempt of a generation and was restarted, and a later attempt reached the new process. A cancel
// of the first attempt must not be answered as known and not run: the claim would be released and the request run again.
func TestRestartedEngineDoesNotKnowEarlierAttempts(t *testing.T) {
	s := &Server{fences: newFences()}
	g := ids.New()
	s.fences.start(g, 17)
	must.False(t, s.cancel(g, 1).Known)
	must.True(t, s.cancel(g, 17).Known)
	must.True(t, s.cancel(g, 18).Known)
}
