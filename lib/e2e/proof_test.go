package e2e

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/caller"
	"anvilwick.example/anvilwick/lib/localsite"
	"anvilwick.example/anvilwick/lib/opsapi"
	"anvilwick.example/anvilwick/lib/proc"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/standin/engine"
	"anvilwick.example/anvilwick/lib/standin/plain"
	"anvilwick.example/anvilwick/lib/standin/platform"
)

// An engine's link stalls during a long extraction: the connection stays open, load reports may or may not arrive, and no
// token does. Without stall detection the stream would wait as long as the link stalls. The entry must detect the stall, fence
// the attempt and resume elsewhere; frames that arrive once the link recovers are dropped.
func TestStalledStreamResumesElsewhere(t *testing.T) {
	site, ctx := startSite(t, 2, 2)
	s := startStream(ctx, newClient(site), "cedant bordereau", 250, caller.Call{})
	s.awaitToken(t, ctx, 40)
	n, err := site.StreamingEngine(ctx)
	must.NoError(t, err)
	must.NotNil(t, n)
	const stalled = 8 * time.Second
	from := time.Now()
	must.NoError(t, engineFault(ctx, n, engine.Fault{Kind: engine.FaultStall, MS: stalled.Milliseconds()}))
	s.checkComplete(t, ctx)
	t.Logf("complete %v after its link stalled for %v", time.Since(from), stalled)
	must.Less(t, stalled, time.Since(from))
}

// A booking is executed, and the connection breaks before its answer, so its outcome is unknown. Clients retry with the same
// key, concurrently and through every entry. If it were sent again, it would be booked twice; if an answer said "not run", the
// client would book it again under a new key.
func TestBookingWithLostAnswerRunsOnce(t *testing.T) {
	site, ctx := startSite(t, 1, 3)
	c := newClient(site)
	for _, n := range site.Plains {
		must.NoError(t, localsite.PlainFault(ctx, n, plain.Fault{Kind: plain.FaultCutAfter, Count: 100}))
	}
	call := caller.PlainCall{Method: http.MethodPost, Path: "/ledger/summaries", Body: "quarter end", Key: "summary-1"}
	_, res, err := c.Plain(ctx, call)
	must.Error(t, err)
	must.Eq(t, result.OutcomeUnknown, result.Lookup(res.Code).Outcome, must.Sprint(res))
	var wg sync.WaitGroup
	answers := make(chan caller.Result, 30)
	for i := range cap(answers) {
		wg.Go(func() {
			again := call
			again.Entry = i
			_, res, err := c.Plain(ctx, again)
			if err == nil {
				res.Message = "answered"
			}
			answers <- res
		})
	}
	wg.Wait()
	close(answers)
	for res := range answers {
		must.NotEq(t, "answered", res.Message)
		must.False(t, saysNotRun(res), must.Sprint(res))
	}
	n, err := executions(ctx, site, "summary-1")
	must.NoError(t, err)
	must.Eq(t, 1, n)
}

// A target is retired: an operator drains it, calls in progress there finish slowly, and then it is stopped. Status checks
// run through every entry meanwhile. Each must be answered, by the other target if need be, and the slow calls on the
// retiring target must be answered whole.
func TestStatusChecksWhileATargetIsRetired(t *testing.T) {
	site, ctx := startSite(t, 1, 2)
	c := newClient(site)
	retiring := site.Plains[0]
	for _, n := range site.Plains {
		must.NoError(t, localsite.PlainFault(ctx, n, plain.Fault{Kind: plain.FaultDelay, MS: 2500}))
	}
	slow := make(chan error, 4)
	for i := range cap(slow) {
		go func() {
			_, _, err := c.Plain(ctx, caller.PlainCall{
				Method: http.MethodPost, Path: fmt.Sprintf("/ledger/book?id=slow-%d", i), Body: "b", Entry: i,
			})
			slow <- err
		}()
	}
	for i := range cap(slow) {
		must.NoError(t, proc.Until(ctx, "slow calls to run", func(ctx context.Context) error {
			if n, err := executions(ctx, site, fmt.Sprintf("slow-%d", i)); err != nil || n != 1 {
				return fmt.Errorf("%d executions, %v", n, err)
			}
			return nil
		}))
	}
	for _, n := range site.Plains {
		must.NoError(t, localsite.PlainFault(ctx, n, plain.Fault{Kind: plain.FaultDelay, MS: 1}))
	}
	checks := startStatusChecks(ctx, site)
	rep, err := localsite.Operator(site.Controls[0]).Drain(ctx, opsapi.DrainRequest{Target: retiring.Name, On: true, Operator: "ann"})
	must.NoError(t, err)
	must.True(t, rep.Durable)
	for range cap(slow) {
		must.NoError(t, <-slow)
	}
	for _, e := range site.Entries {
		must.NoError(t, proc.Until(ctx, "the drain", func(ctx context.Context) error { return checkDraining(ctx, e, retiring.Name) }))
	}
	must.NoError(t, proc.Terminate(ctx, retiring.Proc))
	answered, err := checks()
	must.NoError(t, err)
	must.Positive(t, answered)
	t.Logf("%d checks answered", answered)
}

// startStatusChecks sends status checks through all entries until the returned function is called, which returns the number of
// answered checks and the first failure.
func startStatusChecks(ctx context.Context, site *localsite.Site) func() (int, error) {
	ctx, cancel := context.WithCancel(ctx)
	var mu sync.Mutex
	answered, failed := 0, error(nil)
	var wg sync.WaitGroup
	for i := range site.Entries {
		wg.Go(func() {
			c := newClient(site)
			for ctx.Err() == nil {
				_, res, err := c.Plain(ctx, caller.PlainCall{Method: http.MethodGet, Path: "/ledger/status?id=s", Entry: i})
				if ctx.Err() != nil {
					return
				}
				mu.Lock()
				if err == nil && res.HTTP == http.StatusOK {
					answered++
				} else if failed == nil {
					failed = fmt.Errorf("status check at entry %d: %+v: %w", i+1, res, errors.Join(err, errUnanswered))
				}
				mu.Unlock()
			}
		})
	}
	return func() (int, error) {
		cancel()
		wg.Wait()
		return answered, failed
	}
}

var errUnanswered = errors.New("not answered")

// The control process that holds a lease is frozen for longer than the lease's term and continues with its old state.
// Another process has acquired the lease by then, with a higher fencing number; the old holder must detect that its lease has
// expired and stop acting under it.
func TestLeaseHolderFrozenPastItsTerm(t *testing.T) {
	site, ctx := startSite(t, 1, 3)
	var old *localsite.Node
	var held opsapi.Lease
	must.NoError(t, proc.Until(ctx, "a holder", func(ctx context.Context) (err error) {
		old, held, err = findHolder(ctx, site, "", nil)
		return err
	}))
	must.NoError(t, old.Freeze())
	frozen := time.Now()
	var next *localsite.Node
	var taken opsapi.Lease
	must.NoError(t, proc.Until(ctx, "the next holder", func(ctx context.Context) (err error) {
		next, taken, err = findHolder(ctx, site, held.Name, old)
		return err
	}))
	t.Logf("%s has a new holder %v after the old one froze", held.Name, time.Since(frozen))
	must.Greater(t, held.Fence, taken.Fence)
	must.NoError(t, old.Thaw())
	st, err := localsite.Operator(old).Status(ctx)
	must.NoError(t, err)
	for _, l := range st.Leases {
		must.NotEq(t, held.Fence, l.Fence, must.Sprintf("%s still holds %s after the thaw", old.Name, l.Name))
	}
	_, now, err := findHolder(ctx, site, held.Name, old)
	must.NoError(t, err)
	must.Eq(t, taken.Fence, now.Fence, must.Sprint(next.Name))
}

var errNoHolder = errors.New("no process holds the lease")

// findHolder returns the control process, other than not, that holds the named lease; an empty name means any lease.
func findHolder(ctx context.Context, site *localsite.Site, name string, not *localsite.Node) (*localsite.Node, opsapi.Lease, error) {
	for _, n := range site.Controls {
		if n == not {
			continue
		}
		st, err := localsite.Operator(n).Status(ctx)
		if err != nil {
			return nil, opsapi.Lease{}, err
		}
		for _, l := range st.Leases {
			if name == "" || l.Name == name {
				return n, l, nil
			}
		}
	}
	return nil, opsapi.Lease{}, errNoHolder
}

// The platform loses the answers to half of its writes, each of which takes effect, and then has an outage. Every booking is
// retried with its key until its answer is final, through one entry after another. While claims can't be settled, bookings
// are refused as not run, which must be true: in the end each booking must be executed exactly once.
func TestBookingsDuringLostAnswersAndOutage(t *testing.T) {
	site, ctx := startSite(t, 1, 3)
	c := newClient(site)
	must.NoError(t, site.PlatformFault(ctx, platform.Fault{Kind: platform.FaultLoseAnswer, Probability: 0.5, WritesOnly: true}))
	const bookings = 12
	var wg sync.WaitGroup
	refused := make([]int, bookings)
	errs := make([]error, bookings)
	for i := range bookings {
		wg.Go(func() { refused[i], errs[i] = bookUntilFinal(ctx, c, fmt.Sprintf("crew-%d", i), i) })
	}
	must.NoError(t, proc.Until(ctx, "some bookings", func(ctx context.Context) error {
		if n, err := executions(ctx, site, "crew-0"); err != nil || n == 0 {
			return fmt.Errorf("%d executions, %v", n, err)
		}
		return nil
	}))
	must.NoError(t, site.PlatformFault(ctx, platform.Fault{Kind: platform.FaultOutage, DurationMS: 1500}))
	_, err := bookUntilFinal(ctx, c, "in-the-outage", 0)
	must.NoError(t, err)
	wg.Wait()
	must.NoError(t, errors.Join(errs...))
	must.NoError(t, site.PlatformFault(ctx, platform.Fault{Kind: platform.FaultClear}))
	for i := range bookings {
		n, err := executions(ctx, site, fmt.Sprintf("crew-%d", i))
		must.NoError(t, err)
		must.Eq(t, 1, n, must.Sprintf("crew-%d, refused %d times", i, refused[i]))
	}
	n, err := executions(ctx, site, "in-the-outage")
	must.NoError(t, err)
	must.Eq(t, 1, n)
}

// bookUntilFinal books under a key until the booking is answered, and returns the number of refusals before that.
func bookUntilFinal(ctx context.Context, c *caller.Client, key string, entry int) (refused int, err error) {
	for ; ; refused++ {
		_, res, err := c.Plain(ctx, caller.PlainCall{Method: http.MethodPost, Path: "/ledger/crews", Body: key, Key: key, Entry: entry + refused})
		if err == nil {
			return refused, nil
		}
		if result.Lookup(res.Code).RetryAdvice != result.RetryLater {
			return refused, fmt.Errorf("%s: %w", key, err)
		}
		select {
		case <-ctx.Done():
			return refused, fmt.Errorf("%s: %w", key, err)
		case <-time.After(100 * time.Millisecond):
		}
	}
}
