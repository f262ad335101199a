// Package suspect judges plain targets by what all instances' requests show.
//
// Load pattern: a target fails part of its requests while its health answers are good. Each of many instances sends it a request now
// and then; one that goes by its own requests alone needs ten or more to tell a failing target from callers' bad luck, and by then
// each has lost some. The instance that ranks to judge a service adds up what all report and tells all whom to avoid.
//
// Nothing here does I/O or reads a clock.
package suspect

import (
	"cmp"
	"math"
	"slices"
	"time"

	"anvilwick.example/anvilwick/lib/rendezvous"
)

const (
	// memory is the time over which outcomes are averaged.
	memory = 2 * time.Second
	// leastFailed and leastShare are the failures, and their share of all outcomes, from which a target is suspected. Some requests
	// fail wherever they run.
	leastFailed = 3
	leastShare  = 0.3
	// worse is how many times the share of the service's other targets a suspect's is: where all fail alike, avoiding one helps
	// nobody.
	worse = 2
	// mostNew bounds what one report adds for one target, and mostFirst what the first of an instance does: a counter that jumps, or
	// has grown for long unseen, says nothing of now.
	mostNew   = 64
	mostFirst = 16
	// DetectorReplicas is how many instances are told, in rank: the one that judges and the one that takes over.
	DetectorReplicas = 2
	// VerdictTTL is how long a verdict holds that is not told again.
	VerdictTTL = 1500 * time.Millisecond
	// holdFirst and holdMax bound how long a target stays suspected that gets no more requests: each time that it fails again when it
	// is tried, twice as long.
	holdFirst = 3 * time.Second
	holdMax   = 24 * time.Second
	// countsLife is how long counts are kept that are not reported again: their instance is gone, or asks other targets.
	countsLife = time.Minute
	// countsMax bounds the counts that are kept.
	countsMax = 1 << 16
)

// Count is how requests of one instance ended at a target since that instance was started.
type Count struct {
	Target         string
	Served, Failed uint32
}

// Verdict says that a target fails.
type Verdict struct {
	Target string
	Share  float64 // of its requests that fail
}

// Detector adds up what instances report. It is not safe for concurrent use.
type Detector struct {
	last    map[reporter]counted
	pruned  time.Time         // when counts were last forgotten
	targets map[string]*tally // by target
}

// counted is the newest count of an instance at a target.
type counted struct {
	Count
	at time.Time
}

type reporter struct {
	instance    string
	incarnation uint64
	target      string
}

type tally struct {
	service        string
	served, failed float64 // decayed
	at             time.Time
	until          time.Time     // it stays suspected
	hold           time.Duration // the last time for which it did
	seen           float64       // share that failed when it was last found to fail
}

// NewDetector returns a Judge that knows nothing.
func NewDetector() *Detector {
	return &Detector{last: make(map[reporter]counted), targets: make(map[string]*tally)}
}

// Observe takes in an instance's counts for targets of a service.
func (j *Detector) Observe(now time.Time, service, instance string, incarnation uint64, counts []Count) {
	for _, c := range counts {
		key := reporter{instance, incarnation, c.Target}
		last, known := j.last[key]
		if !known && len(j.last) >= countsMax {
			continue
		}
		if c.Served < last.Served || c.Failed < last.Failed {
			continue // it comes late
		}
		j.last[key] = counted{Count: c, at: now}
		served, failed := c.Served-last.Served, c.Failed-last.Failed
		most := uint32(mostNew)
		if !known {
			most = mostFirst
		}
		if served > most || failed > most {
			continue
		}
		t := j.targets[c.Target]
		if t == nil {
			t = &tally{service: service}
			j.targets[c.Target] = t
		}
		t.decay(now)
		t.served += float64(served)
		t.failed += float64(failed)
	}
}

// Active reports whether there is something to judge.
func (j *Detector) Active() bool { return len(j.targets) > 0 }

func (t *tally) decay(now time.Time) {
	keep := math.Exp(-now.Sub(t.at).Seconds() / memory.Seconds())
	t.served, t.failed, t.at = t.served*keep, t.failed*keep, now
}

func (t *tally) share() float64 {
	if t.failed == 0 {
		return 0
	}
	return t.failed / (t.served + t.failed)
}

// Verdicts returns the targets that fail now, and forgets those that nobody has reported for long.
func (j *Detector) Verdicts(now time.Time) []Verdict {
	var out []Verdict
	for id, t := range j.targets {
		t.decay(now)
		if t.served+t.failed < 0.01 && now.Sub(t.until) > holdMax {
			delete(j.targets, id)
		}
	}
	j.prune(now)
	for id, t := range j.targets {
		if now.After(t.until) && j.fails(id, t) {
			t.suspect(now)
		}
		if !now.After(t.until) {
			out = append(out, Verdict{Target: id, Share: t.seen})
		}
	}
	slices.SortFunc(out, func(a, b Verdict) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

func (j *Detector) fails(id string, t *tally) bool {
	return t.failed >= leastFailed && t.share() >= leastShare && t.share() >= worse*j.others(id, t.service)
}

// suspect begins a time in which the target is avoided. What is known of it is forgotten then: the next try is judged by itself.
func (t *tally) suspect(now time.Time) {
	t.hold = min(max(2*t.hold, holdFirst), holdMax)
	if now.Sub(t.until) > holdMax {
		t.hold = holdFirst // it was sound for long
	}
	t.until = now.Add(t.hold)
	t.seen = t.share()
	t.served, t.failed = 0, 0
}

// others is the share of requests that fail at a service's other targets.
func (j *Detector) others(not, service string) float64 {
	var sum tally
	for id, t := range j.targets {
		if id != not && t.service == service {
			sum.served += t.served
			sum.failed += t.failed
		}
	}
	return sum.share()
}

// prune forgets the counts of instances that are gone.
//
// Failure: each start of an instance has counts of its own. Kept for as long as their target lives they fill all the room there is within
// days, and those of new instances are left out: nobody would be suspected any more.
func (j *Detector) prune(now time.Time) {
	if now.Sub(j.pruned) < countsLife/4 {
		return
	}
	j.pruned = now
	for key, c := range j.last {
		if now.Sub(c.at) > countsLife {
			delete(j.last, key)
		}
	}
}

// Ranked returns the names of the instances that judge a service, the first in rank first.
func Ranked(service string, instances []string) []string {
	key := rendezvous.Hash("judge " + service)
	out := slices.Clone(instances)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvous.Rank(key, rendezvous.Hash(b)), rendezvous.Rank(key, rendezvous.Hash(a))), cmp.Compare(a, b))
	})
	return out[:min(DetectorReplicas, len(out))]
}
