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

// Forty requests arrive at once at a site whose power cap allows some sixteen running sequences; all forty would draw 2200 W.
// The sum of the engines' reports must never exceed the cap of 1000 W, and every caller must get its whole answer: work is
// delayed, not dropped.
func TestPowerCapDelaysWithoutDropping(t *testing.T) {
	site, ctx := startSiteWith(t, 2, 2, cappedSettings())
	checkPowerCap(t, ctx, site, reportedWatts)
}

// reportedWatts returns the sum of the power that the engines report.
func reportedWatts(t *testing.T, ctx context.Context, site *localsite.Site) float64 {
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

// Every control process is killed, and then the entries are restarted one after another: each gets its settings from the
// other, and no process sends it power limits. Forty requests at once would draw 2200 W. The entries must apply the fallback
// limits of the settings: the cap is never exceeded, and every caller gets its whole answer.
func TestPowerCapHoldsWithoutControlProcesses(t *testing.T) {
	s := cappedSettings()
	site, ctx := startSiteWith(t, 2, 2, s)
	for _, n := range site.Controls {
		must.NoError(t, n.Kill())
	}
	for _, n := range site.Entries {
		must.NoError(t, n.Kill())
		must.NoError(t, site.Restart(n))
		must.NoError(t, site.AwaitReady(ctx, n))
	}
	checkPowerCap(t, ctx, site, actualWatts)
}

// The engines' load reports freeze, age included, before forty requests arrive, so that they keep showing idle engines. The
// cap must hold from what owners know themselves, and every caller must get its whole answer.
func TestPowerCapHoldsWithFrozenReports(t *testing.T) {
	site, ctx := startSiteWith(t, 2, 2, cappedSettings())
	for _, n := range site.Engines {
		must.NoError(t, localsite.EngineFault(ctx, n, engine.Fault{Kind: engine.FaultFreeze}))
	}
	checkPowerCap(t, ctx, site, actualWatts)
}

const capWatts = 1000

func cappedSettings() localsite.Settings {
	s := defaultSettings()
	s.PowerCap, s.IdleWatts, s.SeqWatts, s.MaxBatch = capWatts, 100, 50, 30
	return s
}

// checkPowerCap sends forty requests and checks the engines' total draw, in watts, as measure returns it.
func checkPowerCap(
	t *testing.T, ctx context.Context, site *localsite.Site, measure func(*testing.T, context.Context, *localsite.Site) float64,
) {
	t.Helper()
	c := newClient(site)
	var streams []*stream
	for i := range 40 {
		streams = append(streams, startStream(ctx, c, fmt.Sprint("watts ", i), 40, caller.Call{Entry: i}))
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
		s.checkComplete(t, ctx)
	}
	t.Logf("maximum draw %.0f W of %d W in %d samples", top, capWatts, samples)
	must.LessEq(t, capWatts, top)
	must.Greater(t, 200, top)
}

// actualWatts returns the sum of the power that the engines draw, regardless of their load reports.
func actualWatts(t *testing.T, ctx context.Context, site *localsite.Site) float64 {
	t.Helper()
	sum := 0.0
	for _, n := range site.Engines {
		st, err := localsite.Stats(ctx, n)
		must.NoError(t, err)
		sum += st.Watts
	}
	return sum
}
