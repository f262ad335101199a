package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/breaker"
	"anvilwick.example/anvilwick/lib/callerapi"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/standin/engine"
	"anvilwick.example/anvilwick/lib/standin/plain"
)

// One request crashes every engine that runs it, and its caller resends it under new keys. After two engine deaths the
// content must be refused as not run, with a Retry-After. The third engine must survive, and an innocent request that ran
// beside the poisoned one must complete.
func TestPoisonedContentRefusedInnocentCompletes(t *testing.T) {
	var addrs []string
	for range 3 {
		e := startEngine(t, func(c *engine.Config) { c.Poison = true })
		addrs = append(addrs, e.Addr())
	}
	r := newRig(t, siteText("  retry_budget: 1\n", true, addrs, nil), nil)
	const innocent = "innocent [len=400]"
	resp := r.send(context.Background(), callerRequest{prompt: innocent, stream: true})
	var st transcript
	poisoned := false
	st.read(t, eventsOf(resp), func(n int) {
		if n != 10 {
			return
		}
		for !poisoned {
			bad := r.send(context.Background(), callerRequest{prompt: "kill [poison] [len=50]", stream: true})
			e := lastError(t, bad)
			poisoned = e.Code == result.Poisoned
			must.NotEq(t, result.OK, e.Code)
		}
	})
	st.checkComplete(t, innocent, 400)
	alive := 0
	for _, name := range []string{"planner-1", "planner-2", "planner-3"} {
		if _, err := r.server.Client(name).Load(context.Background()); err == nil {
			alive++
		}
	}
	must.Eq(t, 1, alive)
	again := r.send(context.Background(), callerRequest{prompt: "kill [poison] [len=50]"})
	must.Eq(t, http.StatusUnprocessableEntity, again.StatusCode)
	must.NotEq(t, "", again.Header.Get("Retry-After"))
	must.Eq(t, result.NotRun.String(), readError(t, again).Outcome)
}

// lastError returns the error that a request ended with, from the response body or the stream.
func lastError(t *testing.T, resp *http.Response) callerapi.ErrorDetail {
	t.Helper()
	if resp.StatusCode != http.StatusOK {
		return readError(t, resp)
	}
	var st transcript
	st.read(t, eventsOf(resp), nil)
	must.NotNil(t, st.err)
	return *st.err
}

// A target fails call after call. Its breaker must open, and callers then get the other target's answer without a failed try
// first.
func TestOpenBreakerSkipsTarget(t *testing.T) {
	a, b := startPlain(t, "a"), startPlain(t, "b")
	r := newRig(t, siteText("  retry_budget: 1\n", true, nil, []string{a.Addr(), b.Addr()}), nil)
	a.SetFault(plain.Fault{Kind: plain.FaultCutBefore, Count: 1000})
	for range 100 {
		r.call(http.MethodPost, "/dispatch/send", "", "")
		if r.server.opts.Breakers.State(time.Now(), "dispatch-1") == breaker.Open {
			break
		}
	}
	must.Eq(t, breaker.Open, r.server.opts.Breakers.State(time.Now(), "dispatch-1"))
	for range 10 {
		must.Eq(t, http.StatusOK, r.call(http.MethodPost, "/dispatch/send", "", "").StatusCode)
	}
}
