package poison

import "time"

// Level is how strongly a content was suspected before an engine's death.
type Level uint8

// The levels, in ascending order of suspicion up to LevelStrong.
const (
	LevelNone       Level = iota
	LevelWeak             // was running, among many, when an engine died
	LevelStrong           // had only just started when an engine died, or was running at more than one death
	LevelExonerated       // finished elsewhere shortly before, so not to blame
	LevelFinished         // marks a Record of a run that finished
)

// blameTolerance is the tolerance when fractional blame is compared with a whole number.
const blameTolerance = 1e-6

// blameOf sums the blame of a content that still counts, without the death except. It also returns the time of the last death and
// of the last report.
func (t *Table) blameOf(now time.Time, fingerprint, except uint64, c *content) (weight float64, lastDeath, lastReport time.Time) {
	for id := range c.deaths {
		d := t.deaths[id]
		if id == except || d == nil || !d.at.After(c.clearedAt) || now.Sub(d.at) >= t.cfg.Window {
			continue
		}
		weight += d.blameShare(fingerprint)
		if d.at.After(lastDeath) {
			lastDeath = d.at
		}
		if d.lastReportAt.After(lastReport) {
			lastReport = d.lastReportAt
		}
	}
	return weight, lastDeath, lastReport
}

// blameShare is the part of a death's blame that falls on one content. The contents most suspected before the death share it equally;
// the others running on the engine get none, as they are most likely innocent. When none was suspected, each gets a whole
// death's blame.
func (d *death) blameShare(fingerprint uint64) float64 {
	top, n := LevelNone, 0
	for _, b := range d.running {
		switch {
		case b.level == LevelExonerated:
		case b.level > top:
			top, n = b.level, 1
		case b.level == top:
			n++
		}
	}
	switch {
	case d.running[fingerprint].level < top, d.running[fingerprint].level == LevelExonerated:
		return 0
	case top == LevelNone:
		return 1
	}
	return 1 / float64(n)
}

// level is how strongly a content is suspected now, without the death except: peers may have reported that death already, and it
// must not raise the level that the content had before it.
func (t *Table) level(now time.Time, fingerprint, except uint64) Level {
	c := t.contents[fingerprint]
	if c == nil {
		return LevelNone
	}
	weight, _, _ := t.blameOf(now, fingerprint, except, c)
	if weight == 0 {
		return LevelNone
	}
	if weight > 1+blameTolerance {
		return LevelStrong
	}
	for id := range c.deaths {
		d := t.deaths[id]
		if id != except && d != nil && d.at.After(c.clearedAt) && d.running[fingerprint].newest && d.blameShare(fingerprint) > 0 {
			return LevelStrong
		}
	}
	return LevelWeak
}

// finishedSet remembers recently finished contents, for between one and two periods.
//
// Failure: a rack fails and takes several targets with it. A call that everybody makes, such as a status check, was running on
// all of them, and would be refused everywhere as if it had killed them. Content that kills engines does not finish.
type finishedSet struct {
	period      time.Duration
	max         int
	rotatedAt   time.Time
	recent, old map[uint64]struct{}
}

func (v *finishedSet) add(now time.Time, fingerprint uint64) {
	v.rotate(now)
	if v.recent == nil {
		v.recent = make(map[uint64]struct{})
	}
	v.recent[fingerprint] = struct{}{}
}

func (v *finishedSet) has(now time.Time, fingerprint uint64) bool {
	v.rotate(now)
	_, recent := v.recent[fingerprint]
	_, old := v.old[fingerprint]
	return recent || old
}

func (v *finishedSet) rotate(now time.Time) {
	switch {
	case now.Sub(v.rotatedAt) >= 2*v.period:
		v.recent, v.old, v.rotatedAt = nil, nil, now
	case now.Sub(v.rotatedAt) >= v.period || len(v.recent) >= v.max:
		v.recent, v.old, v.rotatedAt = nil, v.recent, now
	}
}
