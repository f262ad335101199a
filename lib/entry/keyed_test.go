package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/standin/engine"
)

// memoryRecords is an in-memory Records shared by the entries of a test.
type memoryRecords struct {
	mu     sync.Mutex
	recs   map[string]*Record
	closed bool // Put is ignored
	lag    int  // number of last tokens that Get omits from each record
}

func newMemoryRecords() *memoryRecords { return &memoryRecords{recs: map[string]*Record{}} }

func (m *memoryRecords) Put(rec *Record, from int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	merged := *rec
	if old := m.recs[rec.Key]; old != nil {
		merged.Tokens = append(append([]string(nil), old.Tokens[:from]...), rec.Tokens...)
	}
	m.recs[rec.Key] = &merged
}

func (m *memoryRecords) Get(_ context.Context, _, key string) (*Record, *result.Error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rec := m.recs[key]
	if rec == nil {
		return nil, result.New(result.UnknownStream, "key %s", key)
	}
	if !m.closed && !rec.Finished && !rec.Released {
		return nil, result.New(result.AlreadyRunning, "its entry lives")
	}
	out := *rec
	out.Tokens = out.Tokens[:max(0, len(out.Tokens)-m.lag)]
	return &out, nil
}

func withKeys(claims Claims, records Records) func(*Options) {
	return func(o *Options) {
		o.Claims = claims
		o.Records = records
	}
}

// readSome reads n tokens and then closes the connection.
func readSome(t *testing.T, r *rig, a callerRequest, st *transcript, n int) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	resp := r.send(ctx, a)
	must.Eq(t, http.StatusOK, resp.StatusCode)
	ev := eventsOf(resp)
	for range n {
		e, ok := ev.next()
		must.True(t, ok)
		must.True(t, st.add(t, e))
	}
}

// The caller's connection breaks in the middle of a keyed stream. It reconnects with its key and Last-Event-ID, and must get
// the rest of the same generation, which kept running: each token once.
func TestCallerReconnectsToSameEntry(t *testing.T) {
	e := startEngine(t, nil)
	r := newRig(t, siteText("", true, []string{e.Addr()}, nil), withKeys(newMemoryStore().claims("e1"), newMemoryRecords()))
	const prompt = "come back [len=80]"
	var st transcript
	readSome(t, r, callerRequest{prompt: prompt, stream: true, key: "k"}, &st, 20)
	resp := r.send(context.Background(), callerRequest{prompt: prompt, stream: true, key: "k", lastEvent: st.lastID})
	st.read(t, eventsOf(resp), nil)
	st.checkComplete(t, prompt, 80)

	var again transcript
	again.read(t, eventsOf(r.send(context.Background(), callerRequest{prompt: prompt, stream: true, key: "k"})), nil)
	again.checkComplete(t, prompt, 80)
	must.Eq(t, st.text.String(), again.text.String(), must.Sprint("a resend must give the same generation"))
}

// The caller sends its key again while its first connection is still open: nothing new may be started.
func TestConcurrentRequestWithSameKey(t *testing.T) {
	e := startEngine(t, nil)
	r := newRig(t, siteText("", true, []string{e.Addr()}, nil), withKeys(newMemoryStore().claims("e1"), newMemoryRecords()))
	const prompt = "twice [len=60]"
	resp := r.send(context.Background(), callerRequest{prompt: prompt, stream: true, key: "k"})
	var st transcript
	st.read(t, eventsOf(resp), func(n int) {
		if n != 5 {
			return
		}
		must.Eq(t, result.AlreadyRunning, readError(t, r.send(context.Background(), callerRequest{prompt: prompt, stream: true, key: "k"})).Code)
		must.Eq(t, result.KeyReused, readError(t, r.send(context.Background(), callerRequest{prompt: "other", stream: true, key: "k"})).Code)
	})
	st.checkComplete(t, prompt, 60)
}

// The entry that serves the caller dies. The caller asks another entry with its key and Last-Event-ID. That entry has only a
// record that lags by some tokens. It must let an engine decode them again, and verify by the digest in the event ID that
// they are the caller's tokens, before it sends the next one.
func TestCallerResumesThroughAnotherEntry(t *testing.T) {
	e := startEngine(t, nil)
	text := siteText("", true, []string{e.Addr()}, nil)
	store, records := newMemoryStore(), newMemoryRecords()
	gate := store.gate()
	first := newRig(t, text, withKeys(gate.claims("e1"), records))
	second := newRig(t, text, withKeys(store.claims("e2", "e1"), records))
	const prompt = "entry dies [len=80]"
	var st transcript
	readSome(t, first, callerRequest{prompt: prompt, stream: true, key: "k"}, &st, 20)
	for _, g := range first.server.table.appendRunning(nil) {
		first.server.record(g, first.server.now(), true)
	}
	crash(t, first, gate, records)
	records.lag = records.excess(st.tokens) + 7

	resp := second.send(context.Background(), callerRequest{prompt: prompt, stream: true, key: "k", lastEvent: st.lastID})
	must.Eq(t, http.StatusOK, resp.StatusCode)
	st.read(t, eventsOf(resp), nil)
	st.checkComplete(t, prompt, 80)
}

// excess returns the number of tokens that the only record holds beyond n.
func (m *memoryRecords) excess(n int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(0, len(m.recs["k"].Tokens)-n)
}

// crash stops an entry like a crash: its records and claims no longer change, and its attempts end.
func crash(t *testing.T, r *rig, storeGate *storeGate, records *memoryRecords) {
	t.Helper()
	storeGate.close()
	records.mu.Lock()
	records.closed = true
	records.mu.Unlock()
	for _, g := range r.server.table.appendRunning(nil) {
		g.cancel(errCallerGone)
	}
	eventually(t, "first entry idle", func() bool { _, n := r.server.Counts(); return n == 0 })
}

// As above, but the engine decodes different tokens the second time. The caller would get the start of one answer and the
// rest of another; it must be told instead that the stream can't be resumed.
func TestDivergentTokensNotDelivered(t *testing.T) {
	e := startEngine(t, nil)
	text := siteText("", true, []string{e.Addr()}, nil)
	store, records := newMemoryStore(), newMemoryRecords()
	gate := store.gate()
	first := newRig(t, text, withKeys(gate.claims("e1"), records))
	second := newRig(t, text, withKeys(store.claims("e2", "e1"), records))
	const prompt = "diverge [len=80]"
	var st transcript
	readSome(t, first, callerRequest{prompt: prompt, stream: true, key: "k"}, &st, 20)
	for _, g := range first.server.table.appendRunning(nil) {
		first.server.record(g, first.server.now(), true)
	}
	crash(t, first, gate, records)
	records.recs["k"].Tokens[3] = " sampled otherwise"

	resp := second.send(context.Background(), callerRequest{prompt: prompt, stream: true, key: "k", lastEvent: st.lastID})
	must.NotEq(t, http.StatusOK, resp.StatusCode)
	code := readError(t, resp).Code
	must.SliceContains(t, []result.Code{result.CannotResume, result.UnknownStream}, code)
}

// Even without Last-Event-ID, a key whose claim is unfinished and whose entry died must lead to the recorded generation, from
// its first token, and never to a second run.
func TestClaimOfDeadEntryTakenOver(t *testing.T) {
	e := startEngine(t, nil)
	text := siteText("", true, []string{e.Addr()}, nil)
	store, records := newMemoryStore(), newMemoryRecords()
	gate := store.gate()
	first := newRig(t, text, withKeys(gate.claims("e1"), records))
	second := newRig(t, text, withKeys(store.claims("e2", "e1"), records))
	const prompt = "claimed [len=60]"
	var st transcript
	readSome(t, first, callerRequest{prompt: prompt, stream: true, key: "k"}, &st, 10)
	crash(t, first, gate, records)

	var again transcript
	again.read(t, eventsOf(second.send(context.Background(), callerRequest{prompt: prompt, stream: true, key: "k"})), nil)
	again.checkComplete(t, prompt, 60)
	must.StrHasPrefix(t, st.text.String(), again.text.String())
}

// The caller of a keyed stream stays away for longer than CallerGrace, and the engine's memory is freed. When it returns,
// through the same entry or through another while the first is alive, decoding must continue after the caller's tokens, and
// it sees each token once.
func TestCallerReturnsAfterGrace(t *testing.T) {
	for _, back := range []string{"same entry", "another entry"} {
		t.Run(back, func(t *testing.T) {
			e := startEngine(t, nil)
			text := siteText("", true, []string{e.Addr()}, nil)
			store, records := newMemoryStore(), newMemoryRecords()
			brief := func(instance string) func(*Options) {
				return func(o *Options) {
					withKeys(store.claims(instance), records)(o)
					o.CallerGrace = 30 * time.Millisecond
				}
			}
			entries := map[string]*rig{"same entry": newRig(t, text, brief("e1")), "another entry": newRig(t, text, brief("e2"))}
			first := entries["same entry"]
			const prompt = "away [len=150]"
			var st transcript
			readSome(t, first, callerRequest{prompt: prompt, stream: true, key: "k"}, &st, 10)
			eventually(t, "stopped", func() bool { _, n := first.server.Counts(); return n == 0 })
			eventually(t, "engine idle", func() bool {
				rep, err := first.server.Client("planner-1").Load(context.Background())
				return err == nil && rep.Running == 0
			})
			eventually(t, "caller_gone in the claim", func() bool { return store.countContaining(`"code":4004`) == 1 })
			resp := entries[back].send(context.Background(), callerRequest{prompt: prompt, stream: true, key: "k", lastEvent: st.lastID})
			must.Eq(t, http.StatusOK, resp.StatusCode)
			st.read(t, eventsOf(resp), nil)
			st.checkComplete(t, prompt, 150)
		})
	}
}

// A caller that stops reading occupies a buffer here and memory at the engine. Both must be released after the configured
// bounds, long before the answer would have ended.
func TestSlowCallerCancelled(t *testing.T) {
	e := startEngine(t, func(c *engine.Config) {
		c.Engine.StepBase, c.Engine.StepPerSeq, c.Engine.StepPerContext = 50*time.Microsecond, 0, 0
	})
	policyLines := "  slow_reader_buffer: 50\n  slow_reader_wait: 100ms\n"
	r := newRig(t, siteText(policyLines, true, []string{e.Addr()}, nil), nil)
	sendUnread(t, r, `{"model":"planner-llm","prompt":"unread [len=40000]","stream":true}`)
	var g *generation
	eventually(t, "a generation", func() bool {
		gens := r.server.table.appendRunning(nil)
		if len(gens) == 1 {
			g = gens[0]
		}
		return g != nil
	})
	eventually(t, "given up", func() bool { _, n := r.server.Counts(); return n == 0 })
	must.Eq(t, result.CallerTooSlow, g.err.Code)
	must.Less(t, 10000, g.text.Len(), must.Sprint("tokens decoded after the caller stopped reading"))
}

// sendUnread sends a completion request on a connection with a small window and reads nothing of the answer.
func sendUnread(t *testing.T, r *rig, body string) {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	conn, err := dialer.Dial("tcp", r.http.Listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
	must.NoError(t, err)
}

// A keyed answer completed and no record is left. Another entry must answer a resend from the claim, and the engine runs
// nothing.
func TestFinishedGenerationAnsweredFromClaim(t *testing.T) {
	e := startEngine(t, nil)
	text := siteText("", true, []string{e.Addr()}, nil)
	store := newMemoryStore()
	first := newRig(t, text, withKeys(store.claims("e1"), nil))
	second := newRig(t, text, withKeys(store.claims("e2"), nil))
	a := callerRequest{prompt: "once [len=12]", key: "k"}
	want, err := io.ReadAll(first.send(context.Background(), a).Body)
	must.NoError(t, err)
	eventually(t, "outcome in the table", func() bool { return store.countContaining(`"state":"finished"`) == 1 })
	resp := second.send(context.Background(), a)
	must.Eq(t, http.StatusOK, resp.StatusCode)
	got, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, string(want), string(got))
	streamed := second.send(context.Background(), callerRequest{prompt: "once [len=12]", key: "k", stream: true})
	must.Eq(t, result.KeyReused, readError(t, streamed).Code)
}

// A keyed generation was marked as sent, and its claim was then released because no engine had accepted it. The resend must
// number its attempts after that one; starting from 1 again, it would be stopped as out of order.
func TestReleasedGenerationRunsOnResend(t *testing.T) {
	addr := unusedAddr(t)
	store := newMemoryStore()
	r := newRig(t, siteText("  max_wait: 300ms\n", true, []string{addr}, nil), withKeys(store.claims("e1"), newMemoryRecords()))
	a := callerRequest{prompt: "route [len=5]", key: "k"}
	must.Eq(t, result.NotRun, result.Lookup(readError(t, r.send(t.Context(), a)).Code).Outcome)
	eventually(t, "claim released", func() bool { return store.countContaining(`"state":"released"`) == 1 })
	startEngine(t, func(c *engine.Config) { c.Addr = addr })
	eventually(t, "a whole answer", func() bool { return r.send(t.Context(), a).StatusCode == http.StatusOK })
}

// A keyed stream completed, its record and answer are gone, and its caller lost the connection before the end. The caller
// resends, with and without its last event ID. If it were told "refused, not run", it would resend under a new key and pay
// for the stream twice.
func TestResendOfLostStreamNotReportedNotRun(t *testing.T) {
	e := startEngine(t, nil)
	text := siteText("", true, []string{e.Addr()}, nil)
	store := newMemoryStore()
	first := newRig(t, text, withKeys(store.claims("e1"), newMemoryRecords()))
	second := newRig(t, text, withKeys(store.claims("e2", "e1"), newMemoryRecords()))
	a := callerRequest{prompt: "lost [len=30]", stream: true, key: "k"}
	var st transcript
	st.read(t, eventsOf(first.send(context.Background(), a)), nil)
	st.checkComplete(t, a.prompt, 30)
	eventually(t, "outcome in the table", func() bool { return store.countContaining(`"state":"finished"`) == 1 })
	for _, last := range []string{"", st.lastID} {
		a.lastEvent = last
		again := readError(t, second.send(context.Background(), a))
		must.NotEq(t, result.NotRun, result.Lookup(again.Code).Outcome, must.Sprint(again))
		must.Eq(t, result.Lookup(again.Code).Outcome.String(), again.Outcome)
	}
}

// A keyed generation is sent to an engine that accepts it and gives no token; it continues on another engine, and then its
// entry dies. The next entry asks the first engine, which proves that it never ran the generation. If the claim still named
// that engine, the proof would let the key run a second time from the start.
func TestClaimNamesEngineOfFirstToken(t *testing.T) {
	a, b := startEngine(t, nil), startEngine(t, nil)
	store := newMemoryStore()
	r := newRig(t, siteText("", true, []string{a.Addr(), b.Addr()}, nil), withKeys(store.claims("e1"), newMemoryRecords()))
	engines := map[string]*engine.Server{"planner-1": a, "planner-2": b}
	for _, e := range engines {
		e.SetFault(engine.Fault{Kind: engine.FaultStall, MS: 20_000})
	}
	first, second := make(chan string, 1), make(chan string, 1)
	go func() {
		for store.countContaining(`"state":"sent"`) == 0 {
			time.Sleep(time.Millisecond)
		}
		names := []string{"planner-1", "planner-2"}
		if store.countContaining(`"target":"planner-2"`) == 1 {
			slices.Reverse(names)
		}
		first <- names[0]
		second <- names[1]
		engines[names[1]].SetFault(engine.Fault{Kind: engine.FaultHealthy})
	}()
	prompt := "first engine silent [len=400]"
	var st transcript
	readSome(t, r, callerRequest{prompt: prompt, stream: true, key: "k"}, &st, 5)
	must.Eq(t, 0, store.countContaining(fmt.Sprintf(`"target":%q`, <-first)))
	must.Eq(t, 1, store.countContaining(fmt.Sprintf(`"target":%q`, <-second)))
}
