package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// twoSoftware returns a target of each of two software versions.
func twoSoftware() []TargetSpec {
	specs := []TargetSpec{spec("a", 10_000, 32), spec("b", 10_000, 32)}
	specs[0].Software, specs[1].Software = "v1", "v2"
	return specs
}

// continues makes a request that continues a generation of a software version.
func continues(software string) func(*Request) {
	return func(q *Request) { q.Emitted, q.Attempt, q.Software = 5, 2, software }
}

// Targets of two software versions serve side by side. A generation that has tokens continues only at the version that began it, however full its
// targets are.
func TestGenerationContinuesAtItsSoftware(t *testing.T) {
	r := newRig(t, Options{}, twoSoftware()...)
	for n := range 6 {
		r.submit(n, "batch", continues("v2"))
		must.Eq(t, "b", r.until(ActGrant, n, time.Second).Target)
	}
	r.submit(90, "batch", continues("v3"))
	r.never(ActGrant, 90, 5*time.Second)
	r.submit(91, "batch", nil)
	must.Eq(t, "a", r.until(ActGrant, 91, time.Second).Target)
}

// The only target of a version leaves. A generation that it has begun stays there to its end, as it could go nowhere else.
func TestGenerationStaysAtLastTargetOfItsSoftware(t *testing.T) {
	r := newRig(t, Options{}, twoSoftware()...)
	r.submit(1, "batch", nil)
	at := r.until(ActGrant, 1, time.Second).Target
	r.tick()
	r.o.Report(r.now, Report{Target: at, KVTotal: 10_000, MaxBatch: 8, Leaving: true})
	r.never(ActPreempt, 1, 10*time.Second)
}
