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

// During a platform outage, the entry of a keyed stream of an idempotent service is killed. The next entry can't use the
// table; the record that the killed entry replicated to its peers must suffice to complete the answer.
func TestEntryKilledDuringPlatformOutage(t *testing.T) {
	set := defaultSettings()
	set.Idempotent = true
	site, ctx := startSiteWith(t, 2, 3, set)
	s := startStream(ctx, newClient(site), "killed in an outage", 400, caller.Call{Entry: 0, Key: "extraction-3", MaxResumes: 200})
	s.awaitToken(t, ctx, 200)
	must.NoError(t, site.PlatformFault(ctx, platform.Fault{Kind: platform.FaultOutage}))
	must.NoError(t, site.Entries[0].Kill())
	s.checkComplete(t, ctx)
	must.Positive(t, s.res.Resumes)
}

// The same for a keyed stream that must not run twice. Two entries could both find the replicated record, and only the table
// decides which of them continues: until it is back, each retry must be refused immediately with StoreDown; after that the
// caller must get the rest.
func TestEntryOfNonIdempotentStreamKilledDuringPlatformOutage(t *testing.T) {
	site, ctx := startSite(t, 2, 3)
	c := newClient(site)
	const tokens = 400
	call := caller.Call{Entry: 0, Key: "extraction-once", MaxResumes: 500}
	s := startStream(ctx, c, "once in an outage", tokens, call)
	s.awaitToken(t, ctx, 200)
	must.NoError(t, site.PlatformFault(ctx, platform.Fault{Kind: platform.FaultOutage}))
	must.NoError(t, site.Entries[0].Kill())
	refused := awaitRefusal(t, ctx, c, caller.Call{Entry: 1, Key: call.Key}, tokens)
	must.Eq(t, result.StoreDown, refused.res.Code)
	must.Positive(t, refused.res.RetryAfter)
	must.NoError(t, site.PlatformFault(ctx, platform.Fault{Kind: platform.FaultClear}))
	s.checkComplete(t, ctx)
	must.Positive(t, s.res.Resumes)
}

// awaitRefusal sends one more request with the key and returns how it was refused. While another request for the key's claim is in
// progress at the same entry, AlreadyRunning is a valid answer, and the request is repeated.
func awaitRefusal(t *testing.T, ctx context.Context, c *caller.Client, call caller.Call, tokens int) *stream {
	t.Helper()
	for {
		s := startStream(ctx, c, "once in an outage", tokens, call)
		select {
		case <-s.done:
		case <-ctx.Done():
			t.Fatal("no refusal in time")
		}
		must.Error(t, s.err)
		if s.res.Code != result.AlreadyRunning {
			return s
		}
	}
}

// The entry and the engine of a keyed stream are killed together, as when a rack fails. The stream must continue through
// another entry, on another engine, from the next token.
func TestEntryAndEngineKilledTogether(t *testing.T) {
	site, ctx := startSite(t, 2, 3)
	s := startStream(ctx, newClient(site), "rack killed", 400, caller.Call{Entry: 0, Key: "extraction-4", MaxResumes: 200})
	s.awaitToken(t, ctx, 200)
	n, err := site.StreamingEngine(ctx)
	must.NoError(t, err)
	must.NotNil(t, n)
	must.NoError(t, n.Freeze()) // it sends nothing from here on, whichever process dies first
	must.NoError(t, site.Entries[0].Kill())
	must.NoError(t, n.Kill())
	s.checkComplete(t, ctx)
	must.Positive(t, s.res.Resumes)
}

// A lease holder is frozen for longer than the lease's term. Another process holds the lease by the time it continues: from
// then on the old holder must never report itself as holder, and fencing numbers must only grow.
func TestFrozenLeaseHolderLosesTheLease(t *testing.T) {
	site, ctx := startSite(t, 1, 2)
	old, before := awaitHolder(t, ctx, site.Controls)
	must.NoError(t, old.Freeze())
	var others []*localsite.Node
	for _, n := range site.Controls {
		if n != old {
			others = append(others, n)
		}
	}
	holder, now := awaitHolder(t, ctx, others)
	must.Greater(t, before, now)
	must.NoError(t, old.Thaw())
	for range 50 {
		st, err := localsite.Operator(old).Status(ctx)
		must.NoError(t, err)
		must.Eq(t, 0, heldLease(st).Fence)
	}
	st, err := localsite.Operator(holder).Status(ctx)
	must.NoError(t, err)
	must.Eq(t, now, heldLease(st).Fence)
}

const leaseName = "placement"

// awaitHolder waits until one of the control processes holds the lease, and returns it with its fencing number.
func awaitHolder(t *testing.T, ctx context.Context, controls []*localsite.Node) (holder *localsite.Node, fence uint64) {
	t.Helper()
	must.NoError(t, proc.Until(ctx, "a holder", func(ctx context.Context) error {
		for _, n := range controls {
			st, err := localsite.Operator(n).Status(ctx)
			if err != nil {
				return err
			}
			if l := heldLease(st); l.Fence > 0 {
				holder, fence = n, l.Fence
				return nil
			}
		}
		return errors.New("no process holds the lease")
	}))
	return holder, fence
}

// heldLease returns the lease as a process reports it; Fence is 0 unless the process holds it.
func heldLease(st opsapi.Status) opsapi.Lease {
	for _, l := range st.Leases {
		if l.Name == leaseName && l.LeftMS > 0 {
			return l
		}
	}
	return opsapi.Lease{}
}

// During a platform outage, callers send keyed, non-idempotent calls, the only ones that need the platform. They must be
// refused at once as not run, with a retry time, while idempotent calls without a key must be answered.
func TestOnlyKeyedNonIdempotentCallsNeedThePlatform(t *testing.T) {
	site, ctx := startSite(t, 1, 2)
	c := newClient(site)
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
