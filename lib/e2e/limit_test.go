package e2e

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/caller"
	"anvilwick.example/anvilwick/lib/localsite"
	"anvilwick.example/anvilwick/lib/result"
)

// An operator limits a class to four requests in progress. Callers request long answers through three entries: four must
// complete, whichever entry they use, and each of the others must be refused at once as not run, with a retry time.
func TestConcurrencyLimitHoldsAcrossEntries(t *testing.T) {
	const limit = 4
	site, ctx := startSite(t, 2, 3)
	text := strings.Replace(site.SettingsText(), "policy:\n  stall_floor: 1s\n",
		fmt.Sprintf("policy:\n  stall_floor: 1s\n  concurrency: %d\n", limit), 1)
	must.NoError(t, site.Commit(ctx, text, localsite.Revision))
	awaitRevision(t, ctx, site, 2, site.Entries...)
	c := newClient(site)
	var held []*stream
	for i := 0; len(held) < limit; i++ {
		if s := startIfAdmitted(t, ctx, c, i); s != nil {
			held = append(held, s)
		}
		time.Sleep(20 * time.Millisecond)
	}
	for i := range 12 {
		asked := time.Now()
		must.Nil(t, startIfAdmitted(t, ctx, c, i))
		must.Less(t, 2*time.Second, time.Since(asked))
	}
	for _, s := range held {
		s.checkComplete(t, ctx)
	}
}

// startIfAdmitted starts a long stream through entry i, or returns nil if it is refused because of the limit.
func startIfAdmitted(t *testing.T, ctx context.Context, c *caller.Client, i int) *stream {
	t.Helper()
	s := startStream(ctx, c, fmt.Sprint("limited ", i), 1500, caller.Call{Entry: i})
	select {
	case <-s.seen:
		return s
	case <-s.done:
		must.Eq(t, result.WorkspaceLimit, s.res.Code)
		must.Positive(t, s.res.RetryAfter)
		return nil
	case <-ctx.Done():
		t.Fatal("got neither a token nor a refusal in time")
		return nil
	}
}
