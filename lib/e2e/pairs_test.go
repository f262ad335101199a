package e2e

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/caller"
	"anvilwick.example/anvilwick/lib/localsite"
	"anvilwick.example/anvilwick/lib/opsapi"
	"anvilwick.example/anvilwick/lib/proc"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/standin/platform"
)

// The platform goes down, and then the entry under a keyed stream of an idempotent service is killed. The table can't tell
// the next entry anything; the record that the dead one left with its peers must be enough for the rest of the answer.
func TestEntryKilledDuringAnOutage(t *testing.T) {
	set := someSettings()
	set.Idempotent = true
	site, ctx := siteWith(t, 2, 3, set)
	s := start(ctx, clientOf(site), "killed in an outage", 400, caller.Call{Entry: 0, Key: "extraction-3", MaxResumes: 200})
	s.reach(t, ctx, 200)
	must.NoError(t, site.PlatformFault(ctx, platform.Fault{Kind: platform.FaultOutage}))
	must.NoError(t, site.Entries[0].Kill())
	s.whole(t, ctx)
	must.Positive(t, s.res.Resumes)
}

// The same under a keyed stream that may run only once. Two entries could both find the record, and only the table can
// say which of them goes on: until it is back the caller is told so, each time at once, and then it gets the rest.
func TestEntryKilledDuringAnOutageOfWorkThatRunsOnce(t *testing.T) {
	site, ctx := siteOf(t, 2, 3)
	c := clientOf(site)
	const tokens = 400
	call := caller.Call{Entry: 0, Key: "extraction-once", MaxResumes: 500}
	s := start(ctx, c, "once in an outage", tokens, call)
	s.reach(t, ctx, 200)
	must.NoError(t, site.PlatformFault(ctx, platform.Fault{Kind: platform.FaultOutage}))
	must.NoError(t, site.Entries[0].Kill())
	refused := refusal(t, ctx, c, caller.Call{Entry: 1, Key: call.Key}, tokens)
	must.Eq(t, result.StoreDown, refused.res.Code)
	must.Positive(t, refused.res.RetryAfter)
	must.NoError(t, site.PlatformFault(ctx, platform.Fault{Kind: platform.FaultClear}))
	s.whole(t, ctx)
	must.Positive(t, s.res.Resumes)
}

// refusal asks once more with the key and returns how it was refused. While another request asks for the key's claim at the
// same entry it may truthfully hear that, and asks again.
func refusal(t *testing.T, ctx context.Context, c *caller.Client, call caller.Call, tokens int) *stream {
	t.Helper()
	for {
		s := start(ctx, c, "once in an outage", tokens, call)
		select {
		case <-s.done:
		case <-ctx.Done():
			t.Fatal("no refusal")
		}
		must.Error(t, s.err)
		if s.res.Code != result.AlreadyRunning {
			return s
		}
	}
}

// The entry and the engine under a keyed stream are killed together: a rack went. The stream goes on through another
// entry, on another engine, from the next token.
func TestEntryAndEngineKilledTogether(t *testing.T) {
	site, ctx := siteOf(t, 2, 3)
	s := start(ctx, clientOf(site), "rack killed", 400, caller.Call{Entry: 0, Key: "extraction-4", MaxResumes: 200})
	s.reach(t, ctx, 200)
	n, err := site.StreamingEngine(ctx)
	must.NoError(t, err)
	must.NotNil(t, n)
	must.NoError(t, n.Freeze()) // it says no more from here on, whichever dies first
	must.NoError(t, site.Entries[0].Kill())
	must.NoError(t, n.Kill())
	s.whole(t, ctx)
	must.Positive(t, s.res.Resumes)
}

// The holder of a lease is frozen for longer than its term and wakes believing that nothing happened. Another holds the
// lease by then; from its waking on, the old one must not count itself as holder for a moment, and numbers only grow.
func TestFrozenLeaseHolderWakesWithoutTheLease(t *testing.T) {
	site, ctx := siteOf(t, 1, 2)
	old, before := holderOf(t, ctx, site.Controls)
	must.NoError(t, old.Freeze())
	var others []*localsite.Node
	for _, n := range site.Controls {
		if n != old {
			others = append(others, n)
		}
	}
	holder, now := holderOf(t, ctx, others)
	must.Greater(t, before, now)
	must.NoError(t, old.Thaw())
	for range 50 {
		st, err := localsite.Operator(old).Status(ctx)
		must.NoError(t, err)
		must.Eq(t, 0, leaseIn(st).Fence)
	}
	st, err := localsite.Operator(holder).Status(ctx)
	must.NoError(t, err)
	must.Eq(t, now, leaseIn(st).Fence)
}

const lease = "placement"

// holderOf waits until one of the control processes holds the lease, and returns its fencing number too.
func holderOf(t *testing.T, ctx context.Context, controls []*localsite.Node) (holder *localsite.Node, fence uint64) {
	t.Helper()
	must.NoError(t, proc.Until(ctx, "a holder", func(ctx context.Context) error {
		for _, n := range controls {
			st, err := localsite.Operator(n).Status(ctx)
			if err != nil {
				return err
			}
			if l := leaseIn(st); l.Fence > 0 {
				holder, fence = n, l.Fence
				return nil
			}
		}
		return errors.New("nobody holds it")
	}))
	return holder, fence
}

// leaseIn returns the lease as a process holds it now; without one the number is 0.
func leaseIn(st opsapi.Status) opsapi.Lease {
	for _, l := range st.Leases {
		if l.Name == lease && l.LeftMS > 0 {
			return l
		}
	}
	return opsapi.Lease{}
}

// Callers ask for keyed, non-idempotent calls while the platform is down: only those need it. They must be refused at
// once as not run, with a time to come back, and unkeyed and idempotent calls beside them must be answered.
func TestOnlyClaimsNeedThePlatform(t *testing.T) {
	site, ctx := siteOf(t, 1, 2)
	c := clientOf(site)
	must.NoError(t, site.PlatformFault(ctx, platform.Fault{Kind: platform.FaultOutage}))
	for i := range 10 {
		id := fmt.Sprint("claim-", i)
		call := caller.PlainCall{Method: http.MethodPost, Path: "/ledger/book?id=" + id, Body: "b", Key: id, Entry: i}
		_, res, err := c.Plain(ctx, call)
		must.Error(t, err)
		must.Positive(t, res.RetryAfter, must.Sprint(res, err))
		must.True(t, saysNotRun(res), must.Sprint(res, err))
		n, err := executions(ctx, site, id)
		must.NoError(t, err)
		must.Eq(t, 0, n)
		_, res, err = c.Plain(ctx, caller.PlainCall{Method: http.MethodGet, Path: "/ledger/status?id=s", Entry: i})
		must.NoError(t, err, must.Sprint(res))
	}
}
