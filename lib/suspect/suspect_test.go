package suspect

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/fleet"
)

var t0 = time.Unix(1_000_000, 0)

// One of three targets fails half of its requests, and each instance has seen one or two failures. Together these suffice.
func TestFewFailuresOnManyInstancesSuffice(t *testing.T) {
	d := NewDetector()
	for i := range 6 {
		d.Observe(t0, "s", fmt.Sprint("i", i), 1, []Count{{Target: "bad", Served: 1, Failed: 1}, {Target: "good", Served: 5}})
	}
	v := d.Verdicts(t0)
	must.Len(t, 1, v)
	must.Eq(t, "bad", v[0].Target)
	must.Between(t, 0.45, v[0].Share, 0.55)
	must.Len(t, 0, d.Verdicts(t0.Add(10*time.Second))) // without new reports it is tried again
}

// Requests that fail on every target, or targets that all fail alike, lead to no suspicion: no other target would be better.
func TestWhatFailsEverywhereIsNoTargetsFault(t *testing.T) {
	d := NewDetector()
	for i := range 30 {
		d.Observe(t0, "s", fmt.Sprint("i", i), 1, []Count{{Target: "a", Served: 3, Failed: 3}, {Target: "b", Served: 3, Failed: 2}})
		d.Observe(t0, "calm", fmt.Sprint("i", i), 1, []Count{{Target: "c", Served: 9, Failed: 1}, {Target: "d", Served: 9}})
	}
	must.Len(t, 0, d.Verdicts(t0))
}

// Reports arrive twice, late and from restarted instances, and counters jump. Each outcome must count once.
func TestCountsAreTakenOnce(t *testing.T) {
	d := NewDetector()
	for _, c := range []Count{{"t", 0, 1}, {"t", 0, 2}, {"t", 0, 2}, {"t", 0, 1}, {"t", 0, 2}, {"t", 1 << 30, 2}} {
		d.Observe(t0, "s", "i", 1, []Count{c})
	}
	must.Len(t, 0, d.Verdicts(t0)) // two failures
	d.Observe(t0, "s", "i", 2, []Count{{"t", 0, 1}})
	must.Len(t, 1, d.Verdicts(t0))
}

// Instances restart again and again for days while a target keeps serving. The state kept for them must stay bounded, and reports
// of the latest instances must still count, so that a failing target is suspected as on the first day.
func TestRestartsDoNotFillTheDetector(t *testing.T) {
	d := NewDetector()
	now := t0
	for incarnation := range uint64(2 * maxCounts) {
		now = now.Add(100 * time.Millisecond)
		d.Observe(now, "s", "i", incarnation, []Count{{Target: "a", Served: 1}})
		if incarnation%50 == 0 {
			d.Verdicts(now)
		}
	}
	must.Less(t, 2*int(countsTTL/(100*time.Millisecond)), len(d.lastCounts))
	for i := range 4 {
		d.Observe(now, "s", fmt.Sprint("new", i), 1, []Count{{Target: "b", Failed: 1}})
	}
	must.Len(t, 1, d.Verdicts(now))
}

// An instance's first report, or its first after long, carries counts that grew for hours. They say nothing about the present.
func TestOldCountsAreIgnored(t *testing.T) {
	d := NewDetector()
	d.Observe(t0, "s", "i", 1, []Count{{Target: "a", Served: 10, Failed: 40}})
	must.Len(t, 0, d.Verdicts(t0))
	d.Observe(t0, "s", "i", 1, []Count{{Target: "a", Served: 10, Failed: 44}})
	must.Len(t, 1, d.Verdicts(t0))
}

func TestRankIsIndependentOfOrder(t *testing.T) {
	must.Eq(t, Ranked("s", []string{"a", "b", "c"}), Ranked("s", []string{"c", "a", "b"}))
	must.Len(t, DetectorReplicas, Ranked("s", []string{"a", "b", "c"}))
	must.Len(t, 1, Ranked("s", []string{"a"}))
}

// failuresWithOneBadTarget simulates unrepeatable requests from many instances to three plain targets, of which one fails half
// of its requests for seven seconds, and returns the number of failures.
func failuresWithOneBadTarget(shareVerdicts bool) int {
	const instances, perSecond, duration = 70, 90, 7 * time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	fleets := make([]*fleet.Fleet, instances)
	counts := make([]map[string]*Count, instances)
	for i := range fleets {
		f := fleet.New("z")
		f.SetRandom(rng.Float64)
		f.SetSpecs(map[string]fleet.Spec{"s": {}})
		for _, id := range []string{"a", "b", "bad"} {
			f.Apply(t0, []fleet.Info{{ID: id, Service: "s", Domain: "z", Slots: 6}}, nil, 0)
		}
		fleets[i], counts[i] = f, make(map[string]*Count)
	}
	d := NewDetector()
	failed := 0
	lastReport := time.Duration(0)
	for at := time.Duration(0); at < duration; at += time.Second / perSecond {
		now := t0.Add(at)
		i := rng.IntN(instances)
		to, ok := fleets[i].Acquire(now, fleet.Need{Service: "s"})
		if !ok {
			continue
		}
		c := counts[i][to.ID]
		if c == nil {
			c = &Count{Target: to.ID}
			counts[i][to.ID] = c
		}
		outcome := fleet.Served
		if to.ID == "bad" && rng.IntN(2) == 0 {
			outcome = fleet.Failed
			failed++
			c.Failed++
		} else {
			c.Served++
		}
		fleets[i].Release(now, to.ID, fleet.Load{}, outcome)
		if shareVerdicts && at-lastReport >= 300*time.Millisecond {
			lastReport = at
			for i := range counts {
				for _, c := range counts[i] {
					d.Observe(now, "s", fmt.Sprint("i", i), 1, []Count{*c})
				}
			}
			for _, v := range d.Verdicts(now) {
				for _, f := range fleets {
					f.Suspect(v.Target, v.Share, now.Add(VerdictTTL))
				}
			}
		}
	}
	return failed
}

// Load pattern: a failing target that passes its health checks, with many instances sending a request or two a second each. With
// shared verdicts fewer than a third as many requests fail as when each instance uses its own outcomes only.
func TestSharedVerdictsReduceFailures(t *testing.T) {
	alone, judged := failuresWithOneBadTarget(false), failuresWithOneBadTarget(true)
	t.Logf("failed: %d alone, %d judged", alone, judged)
	must.Less(t, alone/3, judged)
}
