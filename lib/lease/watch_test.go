package lease_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/lease"
	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

// Forty processes wait for a lease, each looking every 10 s at most, and its holder is cut off. A role must not stay empty
// for longer because those who wait spare the table: they look at different times.
func TestThoseWhoWatchSeldomStillTakeOverSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		ctx, cancel := context.WithCancel(t.Context())
		won := make(chan int, 40)
		var links []*link
		var wg sync.WaitGroup
		for i := range 40 {
			l := newLink(s)
			links = append(links, l)
			cfg := lease.Config{Name: "r", Holder: fmt.Sprint(i), TTL: ttl, PollInterval: func() time.Duration { return ttl }}
			wg.Go(func() {
				lease.Run(ctx, l, cfg, func(ctx context.Context, _ *lease.Term) {
					won <- i
					<-ctx.Done()
				})
			})
		}
		first := <-won
		time.Sleep(3 * ttl)
		links[first].cut.Store(true)
		cut := time.Now()
		second := <-won
		took := time.Since(cut)
		t.Logf("%d took over after %v", second, took)
		must.NotEq(t, first, second)
		must.Less(t, 2*ttl, took)
		cancel()
		wg.Wait()
	})
}
