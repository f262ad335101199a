package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/callerapi"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/standin/plain"
)

const silencePolicy = "  max_silence: 150ms\n"

// soon makes a call that must be answered long before a silent target would be.
func (r *rig) soon(method, path, key string) *http.Response {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	r.t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, method, r.http.URL+path, strings.NewReader(""))
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

// A target executes a call without a deadline and never answers. Its caller waited as long as the target was silent, and
// a planned stop with it. It is told that the outcome is unknown, and so is a resend: nothing is executed again.
func TestSilentTargetIsGivenUpWithoutADeadline(t *testing.T) {
	for _, key := range []string{"", "k"} {
		p := startPlain(t, "one")
		p.Order(plain.Fault{Kind: plain.FaultHang, Count: 1000})
		store := newMemoryStore()
		r := newRig(t, siteText(silencePolicy, true, nil, []string{p.Addr()}), func(o *Options) { o.Claims = store.claims("e1") })
		e := readError(t, r.soon(http.MethodPost, "/dispatch/send?id=crew", key))
		must.Eq(t, result.TargetSilent, e.Code)
		must.Eq(t, result.OutcomeUnknown.String(), e.Outcome)
		stop, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		must.NoError(t, r.server.Stop(stop))
		cancel()
		if key == "" {
			continue
		}
		eventually(t, "outcome in the table", func() bool { return store.holds(`"code":5002`) == 1 })
		other := newRig(t, siteText(silencePolicy, true, nil, []string{p.Addr()}), func(o *Options) { o.Claims = store.claims("e2") })
		must.Eq(t, result.TargetSilent, readError(t, other.soon(http.MethodPost, "/dispatch/send?id=crew", key)).Code)
		must.Eq(t, 1, p.Executions()["k"]+p.Executions()["crew"])
	}
}

// The stall floor is so long that no second call is made beside the silent one. When the silence is over its bound, a call
// that may be repeated is answered by the other target.
func TestIdempotentCallLeavesASilentTarget(t *testing.T) {
	a, b := startPlain(t, "a"), startPlain(t, "b")
	text := siteText(silencePolicy, true, nil, []string{a.Addr(), b.Addr()})
	text = strings.Replace(text, "stall_floor: 100ms", "stall_floor: 1h", 1)
	r := newRig(t, text, nil)
	for i := range 30 {
		must.Eq(t, http.StatusOK, r.soon(http.MethodGet, fmt.Sprintf("/dispatch/status/%d", i), "").StatusCode)
	}
	a.Order(plain.Fault{Kind: plain.FaultHang, Count: 1000})
	for i := range 4 {
		must.Eq(t, http.StatusOK, r.soon(http.MethodGet, fmt.Sprintf("/dispatch/status/%d", i), "").StatusCode)
	}
	a.Kill()
}

// A target sends its answer in parts, for longer than the bound in all, and is never silent for as long. It is not cut.
// Another falls silent within its answer: the connection is broken, so that the part isn't taken for the whole.
func TestSilenceWithinAnAnswer(t *testing.T) {
	r := newRig(t, siteText(silencePolicy, true, nil, []string{slowTeller(t)}), nil)
	body, err := io.ReadAll(r.soon(http.MethodPost, "/dispatch/parts", "").Body)
	must.NoError(t, err)
	must.Eq(t, strings.Repeat("part ", 10), string(body))
	_, err = io.ReadAll(r.soon(http.MethodPost, "/dispatch/silent", "").Body)
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// slowTeller starts a target that answers in ten parts, and on /dispatch/silent in one and no end.
func slowTeller(t *testing.T) string {
	t.Helper()
	quit := make(chan struct{})
	ts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for range 10 {
			_, _ = io.WriteString(w, "part ")
			_ = http.NewResponseController(w).Flush()
			if r.URL.Path == "/dispatch/silent" {
				<-quit
				return
			}
			time.Sleep(30 * time.Millisecond)
		}
	}))
	t.Cleanup(ts.Close)
	t.Cleanup(func() { close(quit) })
	addr := ts.Listener.Addr().(*net.TCPAddr)
	return addr.String()
}
