// Package suspect detects failing targets of plain services from the outcomes of all instances' requests.
//
// Load pattern: a target fails part of its requests while its health checks pass. Each of many instances sends it a request now
// and then. From its own requests alone, an instance needs ten or more to tell a failing target from random failures, and loses
// some of them until then. The instance ranked first for a service aggregates the reports of all and publishes the targets to
// avoid.
//
// The package does no I/O and reads no clock.
package suspect

import (
	"cmp"
	"math"
	"slices"
	"time"

	"anvilwick.example/anvilwick/lib/rendezvous"
)

const (
	// averagingTime is the time constant of the decaying averages of outcomes.
	averagingTime = 2 * time.Second
	// minFailed and minShare are the failures, and their share of all outcomes, from which a target is suspected. Some requests
	// fail on any target.
	minFailed = 3
	minShare  = 0.3
	// minShareRatio is how many times the failure share of the service's other targets a suspect must have: where all targets
	// fail alike, avoiding one does not help.
	minShareRatio = 2
	// maxNew bounds what one report may add for one target, and maxFirst what an instance's first report may add. Larger reports
	// are ignored: a counter that jumps, or that grew unobserved for long, says nothing about the present.
	maxNew   = 64
	maxFirst = 16
	// DetectorReplicas is how many instances receive the reports, by rank: the active detector and its successor.
	DetectorReplicas = 2
	// VerdictTTL is how long a verdict holds unless it is repeated.
	VerdictTTL = 1500 * time.Millisecond
	// firstHold and maxHold bound how long a target without new requests stays suspected. The time doubles each time the target
	// fails again when it is retried.
	firstHold = 3 * time.Second
	maxHold   = 24 * time.Second
	// countsTTL is how long counts are kept without a new report: their instance is gone, or uses other targets.
	countsTTL = time.Minute
	// maxCounts bounds the number of counts kept.
	maxCounts = 1 << 16
)

// Count holds the outcomes of one instance's requests to a target since that instance started.
type Count struct {
	Target         string
	Served, Failed uint32
}

// Verdict states that a target is failing.
type Verdict struct {
	Target string
	Share  float64 // of its requests that fail
}

// Detector aggregates the reports of instances. It is not safe for concurrent use.
type Detector struct {
	lastCounts map[reporter]reportedCount
	lastPrune  time.Time
	targets    map[string]*tally // by target
}

// reportedCount is the latest count of an instance for a target.
type reportedCount struct {
	Count
	receivedAt time.Time
}

type reporter struct {
	instance    string
	incarnation uint64
	target      string
}

type tally struct {
	service        string
	served, failed float64 // decayed
	updatedAt      time.Time
	suspectedUntil time.Time
	hold           time.Duration // length of the latest suspicion
	lastShare      float64       // failure share when it was last found to fail
}

// NewDetector returns an empty Detector.
func NewDetector() *Detector {
	return &Detector{lastCounts: make(map[reporter]reportedCount), targets: make(map[string]*tally)}
}

// Observe adds an instance's counts for targets of a service.
func (d *Detector) Observe(now time.Time, service, instance string, incarnation uint64, counts []Count) {
	for _, c := range counts {
		key := reporter{instance, incarnation, c.Target}
		last, known := d.lastCounts[key]
		if !known && len(d.lastCounts) >= maxCounts {
			continue
		}
		if c.Served < last.Served || c.Failed < last.Failed {
			continue // out of order
		}
		d.lastCounts[key] = reportedCount{Count: c, receivedAt: now}
		served, failed := c.Served-last.Served, c.Failed-last.Failed
		limit := uint32(maxNew)
		if !known {
			limit = maxFirst
		}
		if served > limit || failed > limit {
			continue
		}
		t := d.targets[c.Target]
		if t == nil {
			t = &tally{service: service}
			d.targets[c.Target] = t
		}
		t.decay(now)
		t.served += float64(served)
		t.failed += float64(failed)
	}
}

// Active reports whether there are outcomes to evaluate.
func (d *Detector) Active() bool { return len(d.targets) > 0 }

func (t *tally) decay(now time.Time) {
	keep := math.Exp(-now.Sub(t.updatedAt).Seconds() / averagingTime.Seconds())
	t.served, t.failed, t.updatedAt = t.served*keep, t.failed*keep, now
}

func (t *tally) share() float64 {
	if t.failed == 0 {
		return 0
	}
	return t.failed / (t.served + t.failed)
}

// Verdicts returns the targets that are failing now, and forgets targets without recent reports.
func (d *Detector) Verdicts(now time.Time) []Verdict {
	var out []Verdict
	for id, t := range d.targets {
		t.decay(now)
		if t.served+t.failed < 0.01 && now.Sub(t.suspectedUntil) > maxHold {
			delete(d.targets, id)
		}
	}
	d.prune(now)
	for id, t := range d.targets {
		if now.After(t.suspectedUntil) && d.fails(id, t) {
			t.suspect(now)
		}
		if !now.After(t.suspectedUntil) {
			out = append(out, Verdict{Target: id, Share: t.lastShare})
		}
	}
	slices.SortFunc(out, func(a, b Verdict) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

func (d *Detector) fails(id string, t *tally) bool {
	return t.failed >= minFailed && t.share() >= minShare && t.share() >= minShareRatio*d.otherTargetsShare(id, t.service)
}

// suspect begins a period in which the target is avoided. Its outcomes are reset, so that the next try is judged by itself.
func (t *tally) suspect(now time.Time) {
	t.hold = min(max(2*t.hold, firstHold), maxHold)
	if now.Sub(t.suspectedUntil) > maxHold {
		t.hold = firstHold // it was healthy for long
	}
	t.suspectedUntil = now.Add(t.hold)
	t.lastShare = t.share()
	t.served, t.failed = 0, 0
}

// otherTargetsShare returns the failure share of a service's other targets.
func (d *Detector) otherTargetsShare(exclude, service string) float64 {
	var sum tally
	for id, t := range d.targets {
		if id != exclude && t.service == service {
			sum.served += t.served
			sum.failed += t.failed
		}
	}
	return sum.share()
}

// prune drops the counts of instances that are gone.
//
// Failure: each start of an instance has counts of its own. When these were kept for as long as their target lived, they reached
// maxCounts within days, and the counts of new instances were ignored: no target would have been suspected any more.
func (d *Detector) prune(now time.Time) {
	if now.Sub(d.lastPrune) < countsTTL/4 {
		return
	}
	d.lastPrune = now
	for key, c := range d.lastCounts {
		if now.Sub(c.receivedAt) > countsTTL {
			delete(d.lastCounts, key)
		}
	}
}

// Ranked returns the instances that evaluate a service, in order of rank.
func Ranked(service string, instances []string) []string {
	key := rendezvous.Hash("judge " + service)
	out := slices.Clone(instances)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvous.Rank(key, rendezvous.Hash(b)), rendezvous.Rank(key, rendezvous.Hash(a))), cmp.Compare(a, b))
	})
	return out[:min(DetectorReplicas, len(out))]
}
