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

// One request crashes each engine that runs it, and its caller sends it again under new keys. After two deaths that
// content is refused, not run, with a time to come back; the third engine lives, and an innocent answer that ran beside it
// reaches its caller whole.
func TestPoisonIsRefusedAndTheInnocentGoOn(t *testing.T) {
	var addrs []string
	for range 3 {
		e := startEngine(t, func(c *engine.Config) { c.Poison = true })
		addrs = append(addrs, e.Addr())
	}
	r := newRig(t, siteText("  retry_budget: 1\n", true, addrs, nil), nil)
	const innocent = "innocent [len=400]"
	resp := r.send(context.Background(), ask{prompt: innocent, stream: true})
	var st story
	poisoned := false
	st.read(t, eventsOf(resp), func(n int) {
		if n != 10 {
			return
		}
		for !poisoned {
			bad := r.send(context.Background(), ask{prompt: "kill [poison] [len=50]", stream: true})
			e := lastError(t, bad)
			poisoned = e.Code == result.Poisoned
			must.NotEq(t, result.OK, e.Code)
		}
	})
	st.whole(t, innocent, 400)
	alive := 0
	for _, name := range []string{"planner-1", "planner-2", "planner-3"} {
		if _, err := r.server.Client(name).Load(context.Background()); err == nil {
			alive++
		}
	}
	must.Eq(t, 1, alive)
	again := r.send(context.Background(), ask{prompt: "kill [poison] [len=50]"})
	must.Eq(t, http.StatusUnprocessableEntity, again.StatusCode)
	must.NotEq(t, "", again.Header.Get("Retry-After"))
	must.Eq(t, result.NotRun.String(), readError(t, again).Outcome)
}

// lastError returns the error that a request ended with, whether it came as an answer or in its stream.
func lastError(t *testing.T, resp *http.Response) callerapi.ErrorDetail {
	t.Helper()
	if resp.StatusCode != http.StatusOK {
		return readError(t, resp)
	}
	var st story
	st.read(t, eventsOf(resp), nil)
	must.NotNil(t, st.err)
	return *st.err
}

// A target fails call after call. Its breaker opens, and callers get the other target's answer at once with no failed try
// before it.
func TestOpenBreakerSparesCallers(t *testing.T) {
	a, b := startPlain(t, "a"), startPlain(t, "b")
	r := newRig(t, siteText("  retry_budget: 1\n", true, nil, []string{a.Addr(), b.Addr()}), nil)
	a.Order(plain.Fault{Kind: plain.FaultCutBefore, Count: 1000})
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
