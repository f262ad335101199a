package bench

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/workload"
)

// Engines are overloaded, and the stream of a preempted sequence is silent as if its engine were stuck. An entry that aborts the
// attempt submits it to the queue of another overloaded engine, so its caller waits longer than without the abort.
func TestAbortingPreemptedStreamsCostsStallTime(t *testing.T) {
	m := workload.Kelburn()
	m.Engines = 4
	cfg := Config{Mix: &m, Arrivals: m.Arrivals(1, 20*time.Second), Window: 20 * time.Second, KVTokens: 24_000}
	waiting := RunPolicy(cfg, PolicyLeastLoaded)
	cfg.StallTimeout = 2 * time.Second
	aborting := RunPolicy(cfg, PolicyLeastLoaded)
	must.Zero(t, waiting.Aborted)
	must.Positive(t, aborting.Aborted)
	must.Greater(t, waiting.StallS, aborting.StallS)
	must.Zero(t, waiting.Lost)
}
