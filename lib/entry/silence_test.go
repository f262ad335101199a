package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/callerapi"
	"anvilwick.example/anvilwick/lib/memnet"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/standin/plain"
	"anvilwick.example/anvilwick/lib/target"
)

const (
	maxSilence       = 150 * time.Millisecond
	maxSilencePolicy = "  max_silence: 150ms\n"
)

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
func TestSilenceWithinBoundBetweenParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body, took, err := readParts(t, maxSilence-time.Millisecond)
		must.NoError(t, err)
		must.Eq(t, strings.Repeat("part ", slowParts), body)
		must.Greater(t, 2*maxSilence, took)
	})
}

// A target falls silent mid-answer, for good or for longer than the bound. The connection must be broken as soon as the bound is exceeded,
// so that the part isn't taken for the whole.
func TestSilenceBeyondBoundBetweenParts(t *testing.T) {
	for _, pause := range []time.Duration{maxSilence + time.Millisecond, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			body, took, err := readParts(t, pause)
			must.ErrorIs(t, err, io.ErrUnexpectedEOF)
			must.Eq(t, "part ", body)
			must.Eq(t, maxSilence, took)
		})
	}
}

const slowParts = 10

// readParts calls a target that pauses between the parts of its answer, through an entry. All connections are in memory, so that a test
// in a synctest bubble does not depend on the speed of the machine. It returns the answer, and the time from its head to its end.
func readParts(t *testing.T, pause time.Duration) (body string, took time.Duration, err error) {
	const callerAddr, targetAddr = "127.0.0.1:8000", "127.0.0.1:9000"
	network := newMemoryNetwork(callerAddr, targetAddr)
	slow := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for range slowParts {
			_, _ = io.WriteString(w, "part ")
			_ = http.NewResponseController(w).Flush()
			select {
			case <-time.After(pause):
			case <-r.Context().Done():
				return
			}
		}
	})}
	go func() { _ = slow.Serve(network[targetAddr]) }()
	t.Cleanup(func() { must.NoError(t, slow.Close()) })
	text := siteText(fmt.Sprintf("  max_silence: %v\n", maxSilence), true, nil, []string{targetAddr})
	newRigOn(t, network[callerAddr], text, func(o *Options) { o.Clients = target.NewClientsWithDial(network.dial) })

	caller := &http.Client{Transport: &http.Transport{DialContext: network.dial, DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+callerAddr+"/dispatch/parts", http.NoBody)
	must.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := caller.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	must.Eq(t, http.StatusOK, resp.StatusCode)
	start := time.Now()
	b, err := io.ReadAll(resp.Body)
	return string(b), time.Since(start), err
}

// memoryNetwork connects to listeners in memory, by address.
type memoryNetwork map[string]*memnet.Listener

func newMemoryNetwork(addrs ...string) memoryNetwork {
	n := make(memoryNetwork)
	for _, addr := range addrs {
		n[addr] = memnet.Listen(net.TCPAddrFromAddrPort(netip.MustParseAddrPort(addr)), 0)
	}
	return n
}

func (n memoryNetwork) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	l, ok := n[addr]
	if !ok {
		return nil, syscall.ECONNREFUSED
	}
	return l.Dial(ctx)
}
