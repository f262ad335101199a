package poison

import (
	"math"
	"time"
)

// Pauses between the runs of a segment on trial: each costs an engine if it is the segment that crashes them.
const (
	firstTrialPause = 2 * time.Second
	maxTrialPause   = 16 * time.Second
)

// maxTrialChance is the probability, at most, that a segment is on the dead engines by chance when it is put on trial although no run has survived.
const maxTrialChance = 0.5

// trial is what holds requests with a suspected segment back. It has never survived and is on each of several dead engines, but may be there by chance:
// one run at a time tests that, and fewer of its runs are on engines that others crash.
type trial struct {
	pause  time.Duration
	next   time.Time // no run before
	deaths int       // since it began
}

// Held reports whether a request is to wait because one of its segments is on trial, and for how long at least. self is the request's own run; nil: it has
// none yet.
func (t *SegmentTable) Held(now time.Time, service, model string, segments []uint64, self *SegmentRun) (wait time.Duration, held bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.trials) == 0 {
		return 0, false
	}
	for _, s := range segments {
		c := Cause{Service: service, Model: model, Segment: s}
		tr := t.trials[c]
		switch {
		case tr == nil:
		case now.Before(tr.next):
			wait, held = max(wait, tr.next.Sub(now)), true
		case t.runsBefore(c, self):
			wait, held = max(wait, firstTrialPause), true
		}
	}
	return wait, held
}

// runsBefore reports whether a run with a segment is under way, other than self, that began before it and has not survived.
func (t *SegmentTable) runsBefore(c Cause, self *SegmentRun) bool {
	for r := range t.runs {
		if r != self && !r.survived && r.has(c) && (self == nil || r.began.Before(self.began)) {
			return true
		}
	}
	return false
}

// updateTrials puts the suspected segments on trial, and ends the trials of all others.
func (t *SegmentTable) updateTrials(now time.Time, fresh evidence) {
	for c := range t.trials {
		if !t.mayCrash(now, c, fresh[c], fresh) {
			delete(t.trials, c)
		}
	}
	for c, deaths := range fresh {
		if t.trials[c] == nil && t.mayCrash(now, c, deaths, fresh) {
			t.trials[c] = &trial{pause: firstTrialPause, next: now}
		}
	}
}

// mayCrash reports whether a segment of which no run has survived explains deaths of engines. They must survive other runs; as long as they have not, its
// presence at the deaths must be no coincidence.
func (t *SegmentTable) mayCrash(now time.Time, c Cause, deaths map[uint64]*segmentDeath, fresh evidence) bool {
	if t.weigh(deaths) < t.cfg.NewDeaths || addresses(deaths) < t.cfg.MinAddresses {
		return false
	}
	if t.contrast(c, now.Add(-t.cfg.Window)) == 0 {
		chance, known := t.coincidence(now, c, deaths)
		return known && chance <= maxTrialChance
	}
	return t.weigh(deaths) >= t.deathsNeeded(now, c, fresh, t.cfg.NewDeaths)
}

// extendTrial makes runs with a segment wait longer after a further death.
func (t *SegmentTable) extendTrial(at time.Time, c Cause) {
	tr := t.trials[c]
	if tr == nil {
		return
	}
	tr.deaths++
	tr.next = at.Add(time.Duration((0.5 + t.draw(tr.deaths)) * float64(tr.pause)))
	tr.pause = min(2*tr.pause, maxTrialPause)
}

// draw returns a number in [0, 1) that differs between instances, so that one of them runs the next and the others receive the report of its end first.
func (t *SegmentTable) draw(n int) float64 {
	return float64(DeathID("trial", t.id+uint64(n))) / math.MaxUint64
}
