package e2e

import (
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/caller"
	"anvilwick.example/anvilwick/lib/standin/engine"
)

// The engine under a stream is killed. The caller's connection stands; what it sees is a pause and then the rest: the
// entry fences the dead attempt and resumes from the next index on another engine.
func TestEngineKilledUnderAStream(t *testing.T) {
	site, ctx := siteOf(t, 3, 1)
	s := start(ctx, clientOf(site), "engine killed", 150, caller.Call{})
	s.reach(t, ctx, 30)
	n, err := site.StreamingEngine(ctx)
	must.NoError(t, err)
	must.NotNil(t, n)
	must.NoError(t, n.Kill())
	s.whole(t, ctx)
	must.Eq(t, 2, running(site.Engines))
}

// The link to the engine carries repeated frames and frames of an earlier attempt beside the right ones. Without the
// check of (generation, attempt, index) at the entry the caller would read them as its answer.
func TestRepeatedAndLateFramesDontReachTheCaller(t *testing.T) {
	site, ctx := siteOf(t, 1, 1)
	must.NoError(t, engineFault(ctx, site.Engines[0], engine.Fault{Kind: engine.FaultRepeat}))
	start(ctx, clientOf(site), "repeated frames", 60, caller.Call{}).whole(t, ctx)
}
