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

// Forty processes wait for a lease, each polling at most every 10 s, and its holder is cut off. Infrequent polling, which saves reads
// of the table, must not leave the role vacant for longer: the processes poll at different times.
func TestInfrequentPollingStillTakesOverSoon(t *testing.T) {
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
		elapsed := time.Since(cut)
		t.Logf("%d took over after %v", second, elapsed)
		must.NotEq(t, first, second)
		must.Less(t, 2*ttl, elapsed)
		cancel()
		wg.Wait()
	})
}
