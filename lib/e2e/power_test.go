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
	"anvilwick.example/anvilwick/lib/standin/engine"
)

// Forty requests arrive at once at a site whose cap lets some sixteen sequences run at most. All of them at once would
// draw 2200 W. What must be seen: the engines' own reports never pass the cap of 1000 W together, and every caller gets
// its whole answer: work is slowed, not dropped.
func TestPowerCapSlowsAndDropsNothing(t *testing.T) {
	site, ctx := siteWith(t, 2, 2, cappedSettings())
	underTheCap(t, ctx, site, drawn)
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

// Every control process is killed, and then the entries are restarted one after another: each has its settings from the
// other, and nobody to tell it of power. Forty requests at once would draw 2200 W. What must be seen: the entries hold to
// the fallbacks that the settings give, the cap is never passed, and every caller gets its whole answer.
func TestPowerCapHoldsWithoutControlProcesses(t *testing.T) {
	s := cappedSettings()
	site, ctx := siteWith(t, 2, 2, s)
	for _, n := range site.Controls {
		must.NoError(t, n.Kill())
	}
	for _, n := range site.Entries {
		must.NoError(t, n.Kill())
		must.NoError(t, site.Restart(n))
		must.NoError(t, site.AwaitReady(ctx, n))
	}
	underTheCap(t, ctx, site, trulyDrawn)
}

// The engines' load reports freeze, age and all, before forty requests come: they tell of idle engines for ever. The cap
// must hold on what owners know themselves, and every caller gets its whole answer.
func TestPowerCapHoldsWithFrozenReports(t *testing.T) {
	site, ctx := siteWith(t, 2, 2, cappedSettings())
	for _, n := range site.Engines {
		must.NoError(t, localsite.EngineFault(ctx, n, engine.Fault{Kind: engine.FaultFreeze}))
	}
	underTheCap(t, ctx, site, trulyDrawn)
}

const capWatts = 1000

func cappedSettings() localsite.Settings {
	s := someSettings()
	s.PowerCap, s.IdleWatts, s.SeqWatts, s.MaxBatch = capWatts, 100, 50, 30
	return s
}

// underTheCap sends forty requests and checks by measure what the engines draw meanwhile, in watts.
func underTheCap(t *testing.T, ctx context.Context, site *localsite.Site, measure func(*testing.T, context.Context, *localsite.Site) float64) {
	t.Helper()
	c := clientOf(site)
	var streams []*stream
	for i := range 40 {
		streams = append(streams, start(ctx, c, fmt.Sprint("watts ", i), 40, caller.Call{Entry: i}))
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, s := range streams {
			<-s.done
		}
	}()
	top, samples := 0.0, 0
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(20 * time.Millisecond):
			top = max(top, measure(t, ctx, site))
			samples++
		}
	}
	for _, s := range streams {
		s.whole(t, ctx)
	}
	t.Logf("most drawn %.0f W of %d W in %d samples", top, capWatts, samples)
	must.LessEq(t, capWatts, top)
	must.Greater(t, 200, top)
}

// trulyDrawn sums up what the engines draw, whatever their reports say.
func trulyDrawn(t *testing.T, ctx context.Context, site *localsite.Site) float64 {
	t.Helper()
	sum := 0.0
	for _, n := range site.Engines {
		st, err := localsite.Stats(ctx, n)
		must.NoError(t, err)
		sum += st.Watts
	}
	return sum
}
