package e2e

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/caller"
	"anvilwick.example/anvilwick/lib/localsite"
	"anvilwick.example/anvilwick/lib/proc"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/standin/plain"
)

// The entry that holds a caller's stream is killed. The caller sees a cut without end mark, asks another entry with its
// Idempotency-Key and Last-Event-ID, and gets the rest of the same generation: no token twice, none left out.
func TestEntryKilledUnderAKeyedStream(t *testing.T) {
	site, ctx := siteOf(t, 2, 3)
	s := start(ctx, clientOf(site), "entry killed", 200, caller.Call{Entry: 0, Key: "extraction-1", MaxResumes: 100})
	s.reach(t, ctx, 120)
	killed := time.Now()
	must.NoError(t, site.Entries[0].Kill())
	s.reach(t, ctx, 121)
	t.Logf("stream goes on %v after SIGKILL", time.Since(killed))
	s.whole(t, ctx)
	must.Positive(t, s.res.Resumes)
}

// The entry that holds a caller's stream is frozen, the caller gives it up and goes on through another, and then the
// frozen one wakes with its attempt half done. Both now speak to engines for one generation; the attempt numbers must
// keep the older one from reaching the caller or from running on beside the newer.
func TestEntryFrozenUnderAKeyedStream(t *testing.T) {
	site, ctx := siteOf(t, 2, 3)
	call := caller.Call{Entry: 0, Key: "extraction-2", MaxResumes: 100, IdleTimeout: time.Second}
	s := start(ctx, clientOf(site), "entry frozen", 250, call)
	s.reach(t, ctx, 100)
	must.NoError(t, site.Entries[0].Freeze())
	s.reach(t, ctx, 150)
	must.NoError(t, site.Entries[0].Thaw())
	s.whole(t, ctx)
	must.NoError(t, proc.Until(ctx, "the older attempt to end", func(ctx context.Context) error {
		n, err := site.StreamingEngine(ctx)
		if n != nil {
			return fmt.Errorf("%s still runs a stream", n.Name)
		}
		return err
	}))
	start(ctx, clientOf(site), "after the thaw", 20, caller.Call{Entry: 0}).whole(t, ctx)
}

// The caller sends a keyed, non-idempotent call, and its entry is killed while the service runs it. The caller asks two
// other entries again with the same key. The call was sent, so it must not run again, and nobody may be told that it
// did not run.
func TestEntryKilledUnderANonIdempotentCall(t *testing.T) {
	site, ctx := siteOf(t, 1, 3)
	c := clientOf(site)
	for _, n := range site.Plains {
		must.NoError(t, localsite.PlainFault(ctx, n, plain.Fault{Kind: plain.FaultDelay, MS: 3000}))
	}
	call := caller.PlainCall{Method: http.MethodPost, Path: "/ledger/book?id=summary-7", Body: "book", Key: "summary-7"}
	first := make(chan error, 1)
	go func() {
		_, _, err := c.Plain(ctx, call)
		first <- err
	}()
	must.NoError(t, proc.Until(ctx, "the call to run", func(ctx context.Context) error {
		if n, err := executions(ctx, site, "summary-7"); err != nil || n == 0 {
			return fmt.Errorf("%d executions, %v", n, err)
		}
		return nil
	}))
	must.NoError(t, site.Entries[0].Kill())
	must.Error(t, <-first)

	// While the dead holder still counts as live the key is in progress; then its outcome is unknown, for good.
	for try := 0; ; try++ {
		call.Entry = 1 + try%2
		_, res, err := c.Plain(ctx, call)
		must.Error(t, err)
		must.False(t, saysNotRun(res), must.Sprint(res))
		if res.Code == result.ClaimOrphan {
			break
		}
		must.Eq(t, result.AlreadyRunning, res.Code)
		time.Sleep(50 * time.Millisecond)
	}
	n, err := executions(ctx, site, "summary-7")
	must.NoError(t, err)
	must.Eq(t, 1, n)
}

// saysNotRun tells whether a caller would take the answer as proof that its call did not run. AlreadyRunning is none: it
// speaks of the resend alone, and says that the first is in progress.
func saysNotRun(res caller.Result) bool {
	in := result.Lookup(res.Code)
	return in.Outcome == result.NotRun && res.Code != result.AlreadyRunning
}

func executions(ctx context.Context, site *localsite.Site, id string) (int, error) {
	sum := 0
	for _, n := range site.Plains {
		counts, err := localsite.Executions(ctx, n)
		if err != nil {
			return 0, err
		}
		sum += counts[id]
	}
	return sum, nil
}

// statusDeadline is when a screen that checks a status gives up. Without an answer by then the test fails.
const statusDeadline = 5 * time.Second

// One caller's link is retired with its entry: the entry is stopped by SIGTERM while long streams run on it. Status
// checks at that entry and at its fellows are answered all the while, or refused at once as not run; they never hang.
func TestStatusChecksDuringAPlannedStop(t *testing.T) {
	site, ctx := siteOf(t, 2, 2)
	c := clientOf(site)
	long := start(ctx, c, "long", 200, caller.Call{Entry: 0})
	long.reach(t, ctx, 3)
	must.NoError(t, site.Entries[0].Terminate())
	slowest := time.Duration(0)
	answered, refused := 0, 0
	for running := true; running; {
		select {
		case <-long.done:
			running = false
		default:
		}
		for entry := range site.Entries {
			began := time.Now()
			cctx, cancel := context.WithTimeout(ctx, statusDeadline)
			_, res, err := c.Plain(cctx, caller.PlainCall{Method: http.MethodGet, Path: "/ledger/status?id=s", Entry: entry})
			cancel()
			slowest = max(slowest, time.Since(began))
			switch {
			case err == nil && res.HTTP == http.StatusOK:
				answered++
			case res.Code == result.Stopping && entry == 0:
				refused++
			case running || entry == 1:
				t.Fatalf("entry %d: %+v %v", entry+1, res, err)
			}
		}
	}
	t.Logf("answered %d, refused as stopping %d, slowest %v", answered, refused, slowest)
	must.Positive(t, refused)
	long.whole(t, ctx)
	code, err := site.Entries[0].Wait(ctx)
	must.NoError(t, err)
	must.Eq(t, 0, code)
}
