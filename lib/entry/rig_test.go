package entry

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/callerapi"
	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/enginemodel"
	"anvilwick.example/anvilwick/lib/invariant"
	"anvilwick.example/anvilwick/lib/loadpoll"
	"anvilwick.example/anvilwick/lib/placer"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/settings"
	"anvilwick.example/anvilwick/lib/stall"
	"anvilwick.example/anvilwick/lib/standin/engine"
	"anvilwick.example/anvilwick/lib/target"
)

const (
	testKey      = "glasgow-planning-test-key"
	testModel    = "planner-llm"
	waitTimeout  = 10 * time.Second
	pollInterval = 20 * time.Millisecond
)

func init() {
	log.DefaultLogger.Level = log.PanicLevel
	invariant.SetHook(func(name, detail string) { panic("invariant " + name + ": " + detail) })
}

// rig is an entry in this process, in front of engines and plain services at given addresses.
type rig struct {
	t      testing.TB
	server *Server
	http   *httptest.Server
}

// siteText returns site settings with the given policy lines and targets.
func siteText(policy string, resumes bool, engines, plains []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "site:\n  name: test\n  failure_domains: [govan-depot]\npolicy:\n  stall_floor: 100ms\n%s", policy)
	fmt.Fprintf(&b, "classes:\n  standard:\n    priority: 50\n")
	fmt.Fprintf(&b, "workspaces:\n  glasgow-planning:\n    keys: [\"sha256:%x\"]\n    classes: [standard]\n", sha256.Sum256([]byte(testKey)))
	fmt.Fprintf(&b, "services:\n  planner-llm:\n    kind: model\n    models: [%s]\n    resumes: %t\n", testModel, resumes)
	writeTargets(&b, "planner", engines)
	fmt.Fprintf(&b, "  dispatch:\n    kind: plain\n    routes:\n")
	fmt.Fprintf(&b, "      - prefix: /dispatch/status\n        methods: [GET]\n        idempotent: true\n      - prefix: /dispatch\n")
	writeTargets(&b, "dispatch", plains)
	return b.String()
}

func writeTargets(b *strings.Builder, name string, addrs []string) {
	if len(addrs) == 0 {
		addrs = []string{"127.0.0.1:" + map[string]string{"planner": "1", "dispatch": "2"}[name]}
	}
	fmt.Fprintf(b, "    targets:\n")
	for i, addr := range addrs {
		fmt.Fprintf(b, "      %s-%d:\n        addr: %s\n        failure_domain: govan-depot\n", name, i+1, addr)
	}
}

func snapshot(t testing.TB, text string, revision uint64) *settings.Snapshot {
	t.Helper()
	tree, err := settings.Parse([]byte(text), "test.yaml")
	must.NoError(t, err)
	snap, err := tree.Resolve(revision)
	must.NoError(t, err)
	return snap
}

// newRig starts an entry. change may modify its options.
func newRig(t testing.TB, text string, change func(*Options)) *rig {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	return newRigOn(t, listener, text, change)
}

// newRigOn starts an entry that serves callers on a listener. change may modify its options.
func newRigOn(t testing.TB, listener net.Listener, text string, change func(*Options)) *rig {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	local := placer.NewLocal(ctx, func(service string) sched.Policy {
		return sched.NewOwner(service, sched.Options{ProbeInterval: 50 * time.Millisecond})
	}, 5*time.Millisecond)
	quick := stall.DefaultConfig
	quick.Cold, quick.Floor = 150*time.Millisecond, 150*time.Millisecond
	opts := Options{Placer: local, Stalls: stall.New(quick), OnView: func(snap *settings.Snapshot, clients func(*settings.Service) []*target.Client) {
		svc := snap.Services["planner-llm"]
		r := local.Runner("planner-llm")
		r.SetPolicy(ClassPolicies(snap, "planner-llm"))
		r.SetTargets(TargetSpecs(svc))
		loadpoll.New(ctx, r, pollInterval).SetTargets(clients(svc))
	}}
	if change != nil {
		change(&opts)
	}
	s := New(opts)
	s.Apply(snapshot(t, text, 1))
	done := make(chan struct{})
	go func() { defer close(done); s.Run(ctx) }()
	r := &rig{t: t, server: s, http: &httptest.Server{Listener: listener, Config: s.HTTPServer()}}
	r.http.Start()
	t.Cleanup(func() {
		r.http.CloseClientConnections()
		r.http.Close()
		cancel()
		<-done
		s.clients.Close()
	})
	return r
}

// startEngine starts a stand-in engine with short steps.
func startEngine(t *testing.T, change func(*engine.Config)) *engine.Server {
	t.Helper()
	cfg := engine.Config{Addr: "127.0.0.1:0", Engine: enginemodel.Default(), Model: testModel, Die: func() {}}
	cfg.Engine.StepBase = 2 * time.Millisecond
	cfg.Engine.ReportLag = 20 * time.Millisecond
	if change != nil {
		change(&cfg)
	}
	e, err := engine.Start(cfg)
	must.NoError(t, err)
	t.Cleanup(e.Kill)
	return e
}

// callerRequest is a caller's completion request.
type callerRequest struct {
	prompt     string
	stream     bool
	key        string
	lastEvent  string
	deadlineMS string
	extra      string // additional fields of the body
}

func (r *rig) send(ctx context.Context, a callerRequest) *http.Response {
	r.t.Helper()
	prompt, _ := json.Marshal(a.prompt)
	body := fmt.Sprintf(`{"model":%q,"prompt":%s,"stream":%t%s}`, testModel, prompt, a.stream, a.extra)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.http.URL+engineapi.PathCompletions, strings.NewReader(body))
	must.NoError(r.t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	for name, v := range map[string]string{callerapi.HeaderKey: a.key, callerapi.HeaderLastEvent: a.lastEvent, callerapi.HeaderDeadline: a.deadlineMS} {
		if v != "" {
			req.Header.Set(name, v)
		}
	}
	resp, err := http.DefaultClient.Do(req)
	must.NoError(r.t, err)
	r.t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// event is a server-sent event as the caller receives it.
type event struct {
	id, name, data string
}

// events reads a stream event by event; next returns false when the connection has ended.
type events struct {
	s *bufio.Scanner
}

func eventsOf(resp *http.Response) *events { return &events{bufio.NewScanner(resp.Body)} }

func (e *events) next() (event, bool) {
	var ev event
	for e.s.Scan() {
		line := e.s.Text()
		name, value, _ := strings.Cut(line, ": ")
		switch {
		case line == "":
			if ev != (event{}) {
				return ev, true
			}
		case name == "id":
			ev.id = value
		case name == "event":
			ev.name = value
		case name == "data":
			ev.data = value
		}
	}
	return event{}, false
}

// transcript records what a caller received from one stream.
type transcript struct {
	text   strings.Builder
	tokens int
	lastID string
	finish string
	done   bool // [DONE] was received
	err    *callerapi.ErrorDetail
}

// read reads a stream to its end and calls each after every token with the count so far. It fails the test if an index is
// out of order.
func (st *transcript) read(t *testing.T, e *events, each func(n int)) {
	t.Helper()
	for {
		ev, ok := e.next()
		if !ok || !st.add(t, ev) {
			return
		}
		if each != nil {
			each(st.tokens)
		}
	}
}

func (st *transcript) add(t *testing.T, ev event) bool {
	t.Helper()
	if ev.data == engineapi.DoneData {
		st.done = true
		return false
	}
	if ev.name == "error" {
		var body callerapi.ErrorBody
		must.NoError(t, json.Unmarshal([]byte(ev.data), &body))
		st.err = &body.Error
		return false
	}
	var f engineapi.Frame
	must.NoError(t, json.Unmarshal([]byte(ev.data), &f))
	id, ok := callerapi.ParseEventID(ev.id)
	must.True(t, ok)
	must.Eq(t, uint32(st.tokens), id.Index, must.Sprint("token out of order"))
	if f.Choices[0].FinishReason != nil {
		st.finish = *f.Choices[0].FinishReason
		return true
	}
	st.text.WriteString(f.Choices[0].Text)
	st.tokens++
	st.lastID = ev.id
	return true
}

// checkComplete checks that the caller received all n tokens of one generation, each once, and [DONE].
func (st *transcript) checkComplete(t *testing.T, prompt string, n int) {
	t.Helper()
	must.Nil(t, st.err)
	must.True(t, st.done, must.Sprint("no [DONE]"))
	must.NoError(t, engine.CheckAnswer(prompt, st.text.String(), n))
}

func mustCompletion() *callerapi.Completion {
	c, err := callerapi.ParseCompletion([]byte(`{"model":"planner-llm","prompt":"x","stream":true}`), false)
	if err != nil {
		panic(err)
	}
	return c
}

func readError(t *testing.T, resp *http.Response) callerapi.ErrorDetail {
	t.Helper()
	var body callerapi.ErrorBody
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&body))
	return body.Error
}

// eventually waits until a condition holds, for at most waitMost.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("condition not reached in time: %s", what)
}
