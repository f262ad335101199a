package bench

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/workload"
)

// Engines are crowded, and one preempts a sequence: its stream is silent and looks as if the engine were stuck. An entry that
// gives it up sends it to the queue of another crowded engine, so that its caller waits longer than it would have.
func TestGivingUpPreemptedStreamsCostsStallTime(t *testing.T) {
	m := workload.Kelburn()
	m.Engines = 4
	cfg := Config{Mix: &m, Arrivals: m.Arrivals(1, 20*time.Second), Window: 20 * time.Second, KVTokens: 24_000}
	patient := RunPolicy(cfg, PolicyLeastLoaded)
	cfg.StallTimeout = 2 * time.Second
	hasty := RunPolicy(cfg, PolicyLeastLoaded)
	must.Zero(t, patient.Aborted)
	must.Positive(t, hasty.Aborted)
	must.Greater(t, patient.StallS, hasty.StallS)
	must.Zero(t, patient.Lost)
}
