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

// The entry that holds a caller's stream is killed. The caller sees the stream cut without an end mark, retries at another
// entry with its Idempotency-Key and Last-Event-ID, and must get the rest of the same generation without gaps or duplicates.
func TestEntryKilledDuringKeyedStream(t *testing.T) {
	site, ctx := startSite(t, 2, 3)
	s := startStream(ctx, newClient(site), "entry killed", 200, caller.Call{Entry: 0, Key: "extraction-1", MaxResumes: 100})
	s.awaitToken(t, ctx, 120)
	killed := time.Now()
	must.NoError(t, site.Entries[0].Kill())
	s.awaitToken(t, ctx, 121)
	t.Logf("stream goes on %v after SIGKILL", time.Since(killed))
	s.checkComplete(t, ctx)
	must.Positive(t, s.res.Resumes)
}

// The entry that holds a caller's stream is frozen, the caller times out and resumes through another entry, and then the
// frozen one continues with its attempt half done. Both now have an engine running the same generation: attempt numbers must
// keep the older attempt from reaching the caller and from running on beside the newer one.
func TestEntryFrozenDuringKeyedStream(t *testing.T) {
	site, ctx := startSite(t, 2, 3)
	call := caller.Call{Entry: 0, Key: "extraction-2", MaxResumes: 100, IdleTimeout: time.Second}
	s := startStream(ctx, newClient(site), "entry frozen", 250, call)
	s.awaitToken(t, ctx, 100)
	must.NoError(t, site.Entries[0].Freeze())
	s.awaitToken(t, ctx, 150)
	must.NoError(t, site.Entries[0].Thaw())
	s.checkComplete(t, ctx)
	must.NoError(t, proc.Until(ctx, "the older attempt to end", func(ctx context.Context) error {
		n, err := site.StreamingEngine(ctx)
		if n != nil {
			return fmt.Errorf("%s still runs a stream", n.Name)
		}
		return err
	}))
	startStream(ctx, newClient(site), "after the thaw", 20, caller.Call{Entry: 0}).checkComplete(t, ctx)
}

// The entry of a keyed, non-idempotent call is killed while the service runs it, and the caller retries with the same key at
// two other entries. Since the call was sent, it must not run again, and no answer may say that it did not run.
func TestEntryKilledDuringNonIdempotentCall(t *testing.T) {
	site, ctx := startSite(t, 1, 3)
	c := newClient(site)
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

	// While the killed entry still counts as live, the key is in progress; after that the outcome stays unknown.
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

// saysNotRun reports whether a caller would take the answer as proof that its call did not run. AlreadyRunning is no such
// proof: it applies to the resend only, and says that the first call is in progress.
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

// statusDeadline is the time-out of a client that polls a status. A check without an answer by then fails the test.
const statusDeadline = 5 * time.Second

// endSeenWithin bounds the time from a stream's end to its caller's goroutine knowing it.
const endSeenWithin = 200 * time.Millisecond

// An entry is stopped by SIGTERM while a long stream runs on it. Status checks at that entry and at the other one must be
// answered throughout, or at the stopping entry be refused immediately as not run; none may hang.
func TestStatusChecksDuringPlannedStop(t *testing.T) {
	site, ctx := startSite(t, 2, 2)
	c := newClient(site)
	long := startStream(ctx, c, "long", 200, caller.Call{Entry: 0})
	long.awaitToken(t, ctx, 3)
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
			case entry == 1:
				t.Fatalf("entry %d: %+v %v", entry+1, res, err)
			case running:
				// The entry ends some milliseconds after its last stream, whose end this test may see later than a refused connection.
				select {
				case <-long.done:
				case <-time.After(endSeenWithin):
					t.Fatalf("entry %d: %+v %v", entry+1, res, err)
				}
			}
		}
	}
	t.Logf("answered %d, refused as stopping %d, slowest %v", answered, refused, slowest)
	must.Positive(t, refused)
	long.checkComplete(t, ctx)
	code, err := site.Entries[0].Wait(ctx)
	must.NoError(t, err)
	must.Eq(t, 0, code)
}
