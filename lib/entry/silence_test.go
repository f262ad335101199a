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

const maxSilencePolicy = "  max_silence: 150ms\n"

// callWithTimeout makes a call with a timeout far below the time that a silent target would take.
func (r *rig) callWithTimeout(method, path, key string) *http.Response {
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

// A target executes a call without a deadline and never answers. Its caller, and a planned shutdown, would wait as long as the
// target is silent. The call must end as outcome unknown, as must a resend, and nothing may be executed again.
func TestSilentTargetWithoutDeadline(t *testing.T) {
	for _, key := range []string{"", "k"} {
		p := startPlain(t, "one")
		p.SetFault(plain.Fault{Kind: plain.FaultHang, Count: 1000})
		store := newMemoryStore()
		r := newRig(t, siteText(maxSilencePolicy, true, nil, []string{p.Addr()}), func(o *Options) { o.Claims = store.claims("e1") })
		e := readError(t, r.callWithTimeout(http.MethodPost, "/dispatch/send?id=crew", key))
		must.Eq(t, result.TargetSilent, e.Code)
		must.Eq(t, result.OutcomeUnknown.String(), e.Outcome)
		stop, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		must.NoError(t, r.server.Stop(stop))
		cancel()
		if key == "" {
			continue
		}
		eventually(t, "outcome in the table", func() bool { return store.countContaining(`"code":5002`) == 1 })
		other := newRig(t, siteText(maxSilencePolicy, true, nil, []string{p.Addr()}), func(o *Options) { o.Claims = store.claims("e2") })
		must.Eq(t, result.TargetSilent, readError(t, other.callWithTimeout(http.MethodPost, "/dispatch/send?id=crew", key)).Code)
		must.Eq(t, 1, p.Executions()["k"]+p.Executions()["crew"])
	}
}

// The stall floor is so long that no hedged call is made. When the silence exceeds its bound, an idempotent call must be
// answered by the other target.
func TestIdempotentCallRetriedAfterSilence(t *testing.T) {
	a, b := startPlain(t, "a"), startPlain(t, "b")
	text := siteText(maxSilencePolicy, true, nil, []string{a.Addr(), b.Addr()})
	text = strings.Replace(text, "stall_floor: 100ms", "stall_floor: 1h", 1)
	r := newRig(t, text, nil)
	for i := range 30 {
		must.Eq(t, http.StatusOK, r.callWithTimeout(http.MethodGet, fmt.Sprintf("/dispatch/status/%d", i), "").StatusCode)
	}
	a.SetFault(plain.Fault{Kind: plain.FaultHang, Count: 1000})
	for i := range 4 {
		must.Eq(t, http.StatusOK, r.callWithTimeout(http.MethodGet, fmt.Sprintf("/dispatch/status/%d", i), "").StatusCode)
	}
	a.Kill()
}

// A target that sends its answer in parts, together for longer than the bound but never silent for that long, must not be cut.
// When a target falls silent mid-answer, the connection must be broken, so that the part isn't taken for the whole.
func TestSilenceWithinAnswer(t *testing.T) {
	r := newRig(t, siteText(maxSilencePolicy, true, nil, []string{startSlowTarget(t)}), nil)
	body, err := io.ReadAll(r.callWithTimeout(http.MethodPost, "/dispatch/parts", "").Body)
	must.NoError(t, err)
	must.Eq(t, strings.Repeat("part ", 10), string(body))
	_, err = io.ReadAll(r.callWithTimeout(http.MethodPost, "/dispatch/silent", "").Body)
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// startSlowTarget starts a target that answers in ten parts; on /dispatch/silent it sends only the first and never ends.
func startSlowTarget(t *testing.T) string {
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
