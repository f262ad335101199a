package e2e

import (
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/caller"
	"anvilwick.example/anvilwick/lib/standin/engine"
)

// The engine that runs a stream is killed. The caller's connection stays open, and after a pause it must get the rest: the
// entry fences the lost attempt and resumes from the next index on another engine.
func TestEngineKilledDuringStream(t *testing.T) {
	site, ctx := startSite(t, 3, 1)
	s := startStream(ctx, newClient(site), "engine killed", 150, caller.Call{})
	s.awaitToken(t, ctx, 30)
	n, err := site.StreamingEngine(ctx)
	must.NoError(t, err)
	must.NotNil(t, n)
	must.NoError(t, n.Kill())
	s.checkComplete(t, ctx)
	must.Eq(t, 2, countRunning(site.Engines))
}

// The engine's link carries duplicate frames and frames of an earlier attempt among the right ones. Without the entry's check
// of (generation, attempt, index) the caller would read them as part of its answer.
func TestDuplicateAndLateFramesAreDropped(t *testing.T) {
	site, ctx := startSite(t, 1, 1)
	must.NoError(t, engineFault(ctx, site.Engines[0], engine.Fault{Kind: engine.FaultRepeat}))
	startStream(ctx, newClient(site), "repeated frames", 60, caller.Call{}).checkComplete(t, ctx)
}
