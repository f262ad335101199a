package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/caller"
	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/localsite"
)

// Forty requests arrive at once at a site whose cap lets some sixteen sequences run at most. All of them at once would
// draw 2200 W. What must be seen: the engines' own reports never pass the cap of 1000 W together, and every caller gets
// its whole answer: work is slowed, not dropped.
func TestPowerCapSlowsAndDropsNothing(t *testing.T) {
	const watts = 1000
	s := someSettings()
	s.PowerCap, s.IdleWatts, s.SeqWatts, s.MaxBatch = watts, 100, 50, 30
	site, ctx := siteWith(t, 2, 2, s)
	c := clientOf(site)
	var streams []*stream
	for i := range 40 {
		streams = append(streams, start(ctx, c, fmt.Sprint("watts ", i), 40, caller.Call{Entry: i}))
	}
	top, samples := 0.0, 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, s := range streams {
			<-s.done
		}
	}()
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(20 * time.Millisecond):
			top = max(top, drawn(t, ctx, site))
			samples++
		}
	}
	for _, s := range streams {
		s.whole(t, ctx)
	}
	t.Logf("most drawn %.0f W of %d W in %d samples", top, watts, samples)
	must.LessEq(t, watts, top)
	must.Greater(t, 200, top)
}

// drawn sums up what the engines say that they draw.
func drawn(t *testing.T, ctx context.Context, site *localsite.Site) float64 {
	t.Helper()
	sum := 0.0
	for _, n := range site.Engines {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Addr+engineapi.PathLoad, nil)
		must.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		var rep engineapi.LoadReport
		err = json.NewDecoder(resp.Body).Decode(&rep)
		_ = resp.Body.Close()
		must.NoError(t, err)
		sum += rep.Watts
	}
	return sum
}
