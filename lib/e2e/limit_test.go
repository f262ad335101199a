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

// An operator limits a class to four requests in progress. Callers ask for a dozen long answers through three entries:
// four come whole, wherever they were asked for, and each other is refused at once, not run, with a time to come back.
func TestLimitHoldsOverEntryProcesses(t *testing.T) {
	const limit = 4
	site, ctx := siteOf(t, 2, 3)
	text := strings.Replace(site.SettingsText(), "policy:\n  stall_floor: 1s\n", fmt.Sprintf("policy:\n  stall_floor: 1s\n  concurrency: %d\n", limit), 1)
	must.NoError(t, site.Commit(ctx, text, localsite.Revision))
	inForce(t, ctx, site, 2, site.Entries...)
	c := clientOf(site)
	var held []*stream
	for i := 0; len(held) < limit; i++ {
		if s := admitted(t, ctx, c, i); s != nil {
			held = append(held, s)
		}
		time.Sleep(20 * time.Millisecond)
	}
	for i := range 12 {
		asked := time.Now()
		must.Nil(t, admitted(t, ctx, c, i))
		must.Less(t, 2*time.Second, time.Since(asked))
	}
	for _, s := range held {
		s.whole(t, ctx)
	}
}

// admitted starts a long stream through entry i, and returns nil when it is refused for the limit.
func admitted(t *testing.T, ctx context.Context, c *caller.Client, i int) *stream {
	t.Helper()
	s := start(ctx, c, fmt.Sprint("limited ", i), 1500, caller.Call{Entry: i})
	select {
	case <-s.seen:
		return s
	case <-s.done:
		must.Eq(t, result.WorkspaceLimit, s.res.Code)
		must.Positive(t, s.res.RetryAfter)
		return nil
	case <-ctx.Done():
		t.Fatal("neither a token nor an answer came")
		return nil
	}
}
