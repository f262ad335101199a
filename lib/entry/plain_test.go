package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/callerapi"
	"anvilwick.example/anvilwick/lib/proc"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/standin/plain"
)

func startPlain(t *testing.T, name string) *plain.Server {
	t.Helper()
	p, err := plain.Start(plain.Config{Addr: "127.0.0.1:0", Name: name, Die: func() {}})
	must.NoError(t, err)
	t.Cleanup(p.Kill)
	return p
}

func (r *rig) call(method, path, key, body string) *http.Response {
	r.t.Helper()
	req, err := http.NewRequest(method, r.http.URL+path, strings.NewReader(body))
	must.NoError(r.t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	if key != "" {
		req.Header.Set(callerapi.HeaderKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	must.NoError(r.t, err)
	r.t.Cleanup(func() { resp.Body.Close() })
	return resp
}

func TestPlainCallForwarded(t *testing.T) {
	p := startPlain(t, "one")
	r := newRig(t, siteText("", true, nil, []string{p.Addr()}), nil)
	resp := r.call(http.MethodPut, "/dispatch/crew/7?x=1", "", "go")
	must.Eq(t, http.StatusOK, resp.StatusCode)
	var ans plain.Answer
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&ans))
	must.Eq(t, "PUT", ans.Method)
	must.Eq(t, "/dispatch/crew/7", ans.Path)
	must.Eq(t, "go", ans.Body)
}

// The target executes a non-idempotent call and dies before it answers, or the connection breaks. Sending the call to the
// other target could execute it twice, here dispatching two crews. The caller must be told that the outcome is unknown, and
// no target may execute the call again.
func TestNonIdempotentCallNeverSentTwice(t *testing.T) {
	for _, fault := range []string{plain.FaultDieAfter, plain.FaultCutAfter, plain.FaultCutBefore, plain.FaultDieBefore} {
		t.Run(fault, func(t *testing.T) {
			a, b := startPlain(t, "a"), startPlain(t, "b")
			r := newRig(t, siteText("", true, nil, []string{a.Addr(), b.Addr()}), nil)
			a.SetFault(plain.Fault{Kind: fault})
			b.SetFault(plain.Fault{Kind: fault})
			resp := r.call(http.MethodPost, "/dispatch/send?id=crew", "", "go")
			must.Eq(t, http.StatusBadGateway, resp.StatusCode)
			e := readError(t, resp)
			must.Eq(t, result.Unknown, e.Code)
			must.Eq(t, result.OutcomeUnknown.String(), e.Outcome)
			runs := a.Executions()["crew"] + b.Executions()["crew"]
			must.LessEq(t, 1, runs)
		})
	}
}

// Because of the Idempotency-Key, net/http considers a request replayable when a reused connection breaks. The call must
// still reach one target only once.
func TestKeyedCallNotResentByTransport(t *testing.T) {
	a := startPlain(t, "a")
	store := newMemoryStore()
	r := newRig(t, siteText("", true, nil, []string{a.Addr()}), func(o *Options) { o.Claims = store.claims("e1") })
	must.Eq(t, http.StatusOK, r.call(http.MethodPost, "/dispatch/send?id=warm", "k0", "").StatusCode)
	a.SetFault(plain.Fault{Kind: plain.FaultCutAfter})
	resp := r.call(http.MethodPost, "/dispatch/send?id=crew", "k1", "")
	must.Eq(t, result.Unknown, readError(t, resp).Code)
	must.Eq(t, 1, a.Executions()["k1"]+a.Executions()["crew"])
	for _, entry := range []*rig{r, newRig(t, siteText("", true, nil, []string{a.Addr()}), func(o *Options) { o.Claims = store.claims("e2") })} {
		eventually(t, "outcome in the table", func() bool { return store.countContaining(`"state":"finished"`) == 2 })
		resp = entry.call(http.MethodPost, "/dispatch/send?id=crew", "k1", "")
		must.Eq(t, result.Unknown, readError(t, resp).Code)
	}
	must.Eq(t, 1, a.Executions()["k1"]+a.Executions()["crew"])
}

// One target refuses connections. Nothing was sent to it, so even a non-idempotent call goes to the next one. If no target
// is reachable, the caller must be told "not run", and its claim is released so that it may retry.
func TestConnectionRefusedReportsNotRun(t *testing.T) {
	b := startPlain(t, "b")
	store := newMemoryStore()
	r := newRig(t, siteText("", true, nil, []string{"127.0.0.1:3", b.Addr()}), func(o *Options) { o.Claims = store.claims("e1") })
	for range 2 {
		must.Eq(t, http.StatusOK, r.call(http.MethodPost, "/dispatch/send", "", "").StatusCode)
	}
	b.Kill()
	resp := r.call(http.MethodPost, "/dispatch/send", "k", "")
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
	must.NotEq(t, "", resp.Header.Get("Retry-After"))
	e := readError(t, resp)
	must.Eq(t, result.NoTarget, e.Code)
	must.Eq(t, result.NotRun.String(), e.Outcome)
	eventually(t, "claim released", func() bool { return store.countContaining(`"state":"released"`) == 1 })
}

// A keyed call found no target, so its caller was told "not run, retry later" and its claim was released. It retries, here
// and through another entry, once a target is back. Attempt numbers must continue after those marked in the claim: starting
// from 1 again, the resend would be stopped as out of order and the key would never become free.
func TestReleasedKeyRunsOnResend(t *testing.T) {
	for _, back := range []string{"e1", "e2"} {
		t.Run("through "+back, func(t *testing.T) {
			addr := unusedAddr(t)
			store := newMemoryStore()
			text := siteText("", true, nil, []string{addr})
			rigs := map[string]*rig{}
			for _, name := range []string{"e1", "e2"} {
				rigs[name] = newRig(t, text, func(o *Options) { o.Claims = store.claims(name) })
			}
			must.Eq(t, result.NoTarget, readError(t, rigs["e1"].call(http.MethodPost, "/dispatch/send", "k", "go")).Code)
			eventually(t, "claim released", func() bool { return store.countContaining(`"state":"released"`) == 1 })
			p, err := plain.Start(plain.Config{Addr: addr, Name: "back", Die: func() {}})
			must.NoError(t, err)
			t.Cleanup(p.Kill)
			must.Eq(t, http.StatusOK, rigs[back].call(http.MethodPost, "/dispatch/send", "k", "go").StatusCode)
			must.Eq(t, 1, p.Executions()["k"])
		})
	}
}

// unusedAddr returns an address that refuses connections until the test listens on it.
func unusedAddr(t *testing.T) string {
	t.Helper()
	addrs, err := proc.Addrs(1)
	must.NoError(t, err)
	return addrs[0]
}

// A finished keyed call is sent again: the caller must get the first answer, and the target runs nothing.
func TestFinishedKeyAnsweredFromClaim(t *testing.T) {
	p := startPlain(t, "one")
	store := newMemoryStore()
	text := siteText("", true, nil, []string{p.Addr()})
	first := newRig(t, text, func(o *Options) { o.Claims = store.claims("e1") })
	second := newRig(t, text, func(o *Options) { o.Claims = store.claims("e2") })
	want, err := io.ReadAll(first.call(http.MethodPost, "/dispatch/send", "k", "go").Body)
	must.NoError(t, err)
	eventually(t, "outcome in the table", func() bool { return store.countContaining(`"state":"finished"`) == 1 })
	for _, r := range []*rig{first, second} {
		resp := r.call(http.MethodPost, "/dispatch/send", "k", "go")
		must.Eq(t, http.StatusOK, resp.StatusCode)
		must.Eq(t, "true", resp.Header.Get(headerReplayed))
		got, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.Eq(t, string(want), string(got))
	}
	must.Eq(t, result.KeyReused, readError(t, second.call(http.MethodPost, "/dispatch/send", "k", "other")).Code)
	must.Eq(t, 1, p.Executions()["k"])
}

// The entry dies after the call was sent and before the answer arrived. Whether it ran can't be known; a resend through
// another entry must say so and run nothing.
func TestEntryDiesAfterCallSent(t *testing.T) {
	p := startPlain(t, "one")
	p.SetFault(plain.Fault{Kind: plain.FaultHang})
	store := newMemoryStore()
	text := siteText("", true, nil, []string{p.Addr()})
	gate := store.gate()
	first := newRig(t, text, func(o *Options) { o.Claims = gate.claims("e1") })
	second := newRig(t, text, func(o *Options) { o.Claims = store.claims("e2", "e1") })
	req, err := http.NewRequest(http.MethodPost, first.http.URL+"/dispatch/send", strings.NewReader("go"))
	must.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set(callerapi.HeaderKey, "k")
	go func() {
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
		}
	}()
	eventually(t, "executed", func() bool { return p.Executions()["k"] == 1 })
	gate.close()
	e := readError(t, second.call(http.MethodPost, "/dispatch/send", "k", "go"))
	must.Eq(t, result.ClaimOrphan, e.Code)
	must.Eq(t, result.OutcomeUnknown.String(), e.Outcome)
	must.Eq(t, 1, p.Executions()["k"])
	p.Kill()
}

// The claim table is down. Only a keyed non-idempotent call must be refused, since at-most-once can't be guaranteed; a call
// without a key and an idempotent call must proceed.
func TestStoreDownRefusesOnlyKeyedCalls(t *testing.T) {
	p := startPlain(t, "one")
	r := newRig(t, siteText("", true, nil, []string{p.Addr()}), nil)
	resp := r.call(http.MethodPost, "/dispatch/send?id=x", "k", "")
	e := readError(t, resp)
	must.Eq(t, result.StoreDown, e.Code)
	must.Eq(t, result.NotRun.String(), e.Outcome)
	must.Positive(t, e.RetryAfterMS)
	must.Eq(t, 0, p.Executions()["k"]+p.Executions()["x"])
	must.Eq(t, http.StatusOK, r.call(http.MethodPost, "/dispatch/send", "", "").StatusCode)
	must.Eq(t, http.StatusOK, r.call(http.MethodGet, "/dispatch/status/1", "k", "").StatusCode)
}

// A target breaks every connection while status checks arrive continuously. Each check may be repeated, so the other target
// must answer it. The retries are charged to the budget earned by earlier traffic, and are few because the breaker opens
// after the first failures.
func TestIdempotentCallsAnsweredWhileTargetFails(t *testing.T) {
	a, b := startPlain(t, "a"), startPlain(t, "b")
	r := newRig(t, siteText("", true, nil, []string{a.Addr(), b.Addr()}), nil)
	for i := range 30 {
		must.Eq(t, http.StatusOK, r.call(http.MethodGet, fmt.Sprintf("/dispatch/status/%d", i), "", "").StatusCode)
	}
	a.SetFault(plain.Fault{Kind: plain.FaultCutBefore, Count: 1000})
	for i := range 20 {
		if i == 10 {
			a.Kill()
		}
		must.Eq(t, http.StatusOK, r.call(http.MethodGet, fmt.Sprintf("/dispatch/status/%d", i), "", "").StatusCode)
	}
}

// A target freezes: it accepts connections and never answers, and the calls have no deadline. The healthy target must answer
// the status checks, and soon without hedging, since each hedged call is charged to the retry budget.
func TestIdempotentCallsAnsweredBesideFrozenTarget(t *testing.T) {
	a, b := startPlain(t, "a"), startPlain(t, "b")
	r := newRig(t, siteText("", true, nil, []string{a.Addr(), b.Addr()}), nil)
	for i := range 30 {
		must.Eq(t, http.StatusOK, r.call(http.MethodGet, fmt.Sprintf("/dispatch/status/%d", i), "", "").StatusCode)
	}
	a.SetFault(plain.Fault{Kind: plain.FaultHang, Count: 1000})
	slow := 0
	for i := range 20 {
		from := time.Now()
		must.Eq(t, http.StatusOK, r.call(http.MethodGet, fmt.Sprintf("/dispatch/status/%d", i), "", "").StatusCode)
		took := time.Since(from)
		must.Less(t, 5*time.Second, took)
		if took > 90*time.Millisecond {
			slow++
		}
	}
	must.Less(t, 15, slow)
	a.Kill()
}

// One target executes a status check and never answers, and the hedged call can't reach the other. That the second call was
// not sent proves nothing about the first: the caller must not be told "not run".
func TestUnsentHedgeDoesNotProveNotRun(t *testing.T) {
	a, b := startPlain(t, "a"), startPlain(t, "b")
	r := newRig(t, siteText("  deadline: 1s\n", true, nil, []string{a.Addr(), b.Addr()}), nil)
	for i := range 30 {
		must.Eq(t, http.StatusOK, r.call(http.MethodGet, fmt.Sprintf("/dispatch/status/%d", i), "", "").StatusCode)
	}
	a.SetFault(plain.Fault{Kind: plain.FaultHang, Count: 1000})
	b.Kill()
	resp := r.call(http.MethodGet, "/dispatch/status/last", "", "")
	must.NotEq(t, http.StatusOK, resp.StatusCode)
	must.Eq(t, 1, a.Executions()["/dispatch/status/last"])
	must.NotEq(t, result.NotRun, result.Lookup(readError(t, resp).Code).Outcome)
}

// A target executes a call and never answers: at the deadline the outcome is unknown.
func TestDeadlineAtSilentTargetIsUnknown(t *testing.T) {
	p := startPlain(t, "one")
	p.SetFault(plain.Fault{Kind: plain.FaultHang})
	r := newRig(t, siteText("  deadline: 100ms\n", true, nil, []string{p.Addr()}), nil)
	e := readError(t, r.call(http.MethodPost, "/dispatch/send", "", ""))
	must.Eq(t, result.TargetSilent, e.Code)
}

// The answer is cut in the middle. The caller must see a broken answer, never a short one that looks complete.
func TestTruncatedAnswerIsError(t *testing.T) {
	p := startPlain(t, "one")
	p.SetFault(plain.Fault{Kind: plain.FaultCutBody})
	r := newRig(t, siteText("", true, nil, []string{p.Addr()}), nil)
	_, err := io.ReadAll(r.call(http.MethodPost, "/dispatch/send", "", "").Body)
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// HTTP/1.0 callers understand no chunked encoding: the answer must have a length, so that a truncated one can be detected.
func TestHTTP10Caller(t *testing.T) {
	p := startPlain(t, "one")
	r := newRig(t, siteText("", true, nil, []string{p.Addr()}), nil)
	conn, err := net.Dial("tcp", r.http.Listener.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	must.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = fmt.Fprintf(conn, "GET /dispatch/status/9 HTTP/1.0\r\nAuthorization: Bearer %s\r\n\r\n", testKey)
	must.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, resp.StatusCode)
	must.Positive(t, resp.ContentLength)
	must.SliceEmpty(t, resp.TransferEncoding)
}

// The caller of a claimed call disconnects before the answer arrives. The call must continue, and a resend gets the stored
// answer; cancelled with its caller, it would have ended as "outcome unknown" permanently.
func TestClaimedCallOutlivesCaller(t *testing.T) {
	target := startPlain(t, "one")
	target.SetFault(plain.Fault{Kind: plain.FaultDelay, MS: 200})
	store := newMemoryStore()
	r := newRig(t, siteText("", true, nil, []string{target.Addr()}), func(o *Options) { o.Claims = store.claims("e1") })
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.http.URL+"/dispatch/send", strings.NewReader("go"))
	must.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set(callerapi.HeaderKey, "k")
	go func() {
		eventually(t, "executed", func() bool { return target.Executions()["k"] == 1 })
		cancel()
	}()
	_, err = http.DefaultClient.Do(req)
	must.ErrorIs(t, err, context.Canceled)
	eventually(t, "outcome in the table", func() bool { return store.countContaining(`"code":1000`) == 1 })
	resp := r.call(http.MethodPost, "/dispatch/send", "k", "go")
	must.Eq(t, http.StatusOK, resp.StatusCode)
	must.Eq(t, 1, target.Executions()["k"])
}
