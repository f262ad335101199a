package poison

import (
	"maps"
	"math"
	"time"
)

// Pauses between the runs of a segment on trial: each costs an engine if it is the segment that crashes them.
const (
	firstTrialPause = 2 * time.Second
	maxTrialPause   = 64 * time.Second
)

// maxTrials bounds the trials that peers' reports begin: honest ones have a few.
const maxTrials = 256

// maxTrialChance is the probability, at most, that a segment is on the dead engines by chance when it is put on trial although no run has survived.
const maxTrialChance = 0.5

// trial is what holds requests with a suspected segment back. It has never survived and is on each of several dead engines, but may be there by chance:
// one run at a time tests that, and fewer of its runs are on engines that others crash.
type trial struct {
	pause  time.Duration
	next   time.Time // no run before
	deaths int       // since it began
	byPeer time.Time // when a peer last began a run with it
	told   time.Time // when any instance last reported the trial
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
		case tr == nil, !t.known.last(now, c).IsZero():
			continue
		case now.Before(tr.next):
			wait, held = max(wait, tr.next.Sub(now)), true
		case t.runsBefore(c, self):
			wait, held = max(wait, firstTrialPause), true
		default:
			continue
		}
		if now.Sub(tr.told) >= trialHold {
			t.repeatTrial(now, c, tr)
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
		if !t.isSuspect(now, c, fresh[c]) && (now.Sub(t.trials[c].byPeer) >= maxTrialPause || !t.known.last(now, c).IsZero()) {
			delete(t.trials, c)
		}
	}
	for c, deaths := range fresh {
		if t.trials[c] == nil && t.isSuspect(now, c, deaths) {
			t.trials[c] = &trial{pause: firstTrialPause, next: now}
		}
	}
}

// mayCrash reports whether a suspect's deaths are enough for a verdict, as often as other runs end by deaths.
func (t *SegmentTable) mayCrash(now time.Time, c Cause, deaths map[uint64]*segmentDeath, fresh evidence) bool {
	return t.isSuspect(now, c, deaths) && t.weigh(deaths) >= t.deathsNeeded(now, c, fresh, t.cfg.NewDeaths)
}

// isSuspect reports whether a segment of which no run has survived is to be tried: engines survive other runs, at this instance or another, however
// often. A trial costs less than
// a wrong verdict.
func (t *SegmentTable) isSuspect(now time.Time, c Cause, deaths map[uint64]*segmentDeath) bool {
	return t.isRepeated(deaths) && (t.known.any(now, c.Service, c.Model) || t.exceedsChance(now, c, deaths))
}

// isRepeated reports whether deaths are enough to suspect a segment, and not those of one engine or one burst.
func (t *SegmentTable) isRepeated(deaths map[uint64]*segmentDeath) bool {
	return t.weigh(deaths) >= t.cfg.NewDeaths && addresses(deaths) >= t.cfg.MinAddresses
}

// exceedsChance reports whether a segment is on the dead engines more often than by chance, as far as runs could be compared.
func (t *SegmentTable) exceedsChance(now time.Time, c Cause, deaths map[uint64]*segmentDeath) bool {
	chance, known := t.coincidence(now, c, deaths)
	return known && chance <= maxTrialChance
}

// trialHold is how long a peer's run with a segment on trial is awaited: until it has survived, or its engine's death has been reported.
const trialHold = 3 * time.Second

// reportTrial reports to peers that a run with segments on trial begins, so that they await its end before they begin another.
func (t *SegmentTable) reportTrial(now time.Time, r *SegmentRun) {
	rec := SegmentRecord{Kind: RecordTrial, Service: r.causes[0].Service, Model: r.causes[0].Model, At: now}
	for _, c := range r.causes {
		if tr := t.trials[c]; tr != nil {
			tr.told = now
			rec.Segments = append(rec.Segments, c.Segment)
		}
	}
	if len(rec.Segments) > 0 {
		t.outbox.add(rec)
	}
}

// remindOfTrials reports trials to a peer that knows nothing of them: it has had a run with such a segment, and has not reported it.
func (t *SegmentTable) remindOfTrials(now time.Time, rec SegmentRecord) {
	for _, seg := range rec.Segments {
		c := Cause{Service: rec.Service, Model: rec.Model, Segment: seg}
		tr := t.trials[c]
		if tr != nil && rec.At.Sub(tr.told) >= trialHold && t.known.last(now, c).IsZero() {
			t.repeatTrial(now, c, tr)
		}
	}
}

// repeatTrial reports a trial to instances that have started since it was last reported.
func (t *SegmentTable) repeatTrial(now time.Time, c Cause, tr *trial) {
	tr.told = now
	t.outbox.add(SegmentRecord{
		Kind: RecordTrial, Service: c.Service, Model: c.Model, Segments: []uint64{c.Segment}, At: now, Deaths: max(1, t.blamed[c]), ProbeAt: tr.next,
	})
}

// mergeTrial takes a peer's report of a trial, or of a run that begins.
func (t *SegmentTable) mergeTrial(rec SegmentRecord) {
	for _, seg := range rec.Segments {
		c := Cause{Service: rec.Service, Model: rec.Model, Segment: seg}
		tr := t.trials[c]
		if tr == nil && !t.hasRoomForTrial(rec.At) {
			return
		}
		if tr == nil {
			tr = &trial{pause: firstTrialPause, next: rec.ProbeAt}
			for range rec.Deaths - t.cfg.NewDeaths {
				tr.pause = min(2*tr.pause, maxTrialPause)
			}
			t.trials[c] = tr
		}
		tr.byPeer, tr.told = rec.At, rec.At
		t.outbox.dropTrial(c)
		// The end of a run that begins is awaited.
		if next := rec.At.Add(trialHold); rec.Deaths == 0 && next.After(tr.next) {
			tr.next = next
		}
	}
}

// hasRoomForTrial reports whether a peer's report may begin a trial. If there are too many, those end that were begun so and that nobody has reported for long.
func (t *SegmentTable) hasRoomForTrial(now time.Time) bool {
	if len(t.trials) < maxTrials {
		return true
	}
	maps.DeleteFunc(t.trials, func(c Cause, tr *trial) bool {
		return t.blamed[c] == 0 && now.Sub(tr.byPeer) >= maxTrialPause
	})
	return len(t.trials) < maxTrials
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
