package poison

import (
	"math"
	"slices"
	"time"
)

// survivals remembers when a run with each segment last survived, for between one and two periods.
type survivals struct {
	period      time.Duration
	max         int
	rotatedAt   time.Time
	recent, old map[Cause]time.Time
	newest      map[serviceModel]time.Time // of any segment
}

func newSurvivals(period time.Duration, most int) survivals {
	return survivals{period: period, max: most, recent: make(map[Cause]time.Time), newest: make(map[serviceModel]time.Time)}
}

func (s *survivals) add(at time.Time, c Cause) {
	if at.Sub(s.rotatedAt) >= s.period || len(s.recent) >= s.max {
		s.recent, s.old, s.rotatedAt = make(map[Cause]time.Time), s.recent, at
	}
	if at.After(s.recent[c]) {
		s.recent[c] = at
	}
	if key := (serviceModel{c.Service, c.Model}); at.After(s.newest[key]) {
		s.newest[key] = at
	}
}

// any reports whether a run at a model of a service has survived within the period before now, at any instance as far as is known.
func (s *survivals) any(now time.Time, service, model string) bool {
	at, ok := s.newest[serviceModel{service, model}]
	return ok && now.Sub(at) < s.period
}

// last returns the last survival within the period before now; zero: there was none.
func (s *survivals) last(now time.Time, c Cause) time.Time {
	at, ok := s.recent[c]
	if !ok {
		at = s.old[c]
	}
	if now.Sub(at) >= s.period {
		return time.Time{}
	}
	return at
}

// maxOutcomes is the number of survived runs kept for each model of a service.
const maxOutcomes = 64

// outcomes are the last runs that survived at a model of a service, oldest first.
type outcomes []outcome

type outcome struct {
	at     time.Time
	causes []Cause
	death  uint64 // that ended the run; 0: it survived
}

// add keeps the newest outcomes.
func (o *outcomes) add(n outcome) {
	if len(*o) >= maxOutcomes {
		*o = slices.Delete(*o, 0, 1)
	}
	*o = append(*o, n)
}

// recordOutcome records how a run of this instance ended.
func (t *SegmentTable) recordOutcome(n outcome) {
	key := serviceModel{n.causes[0].Service, n.causes[0].Model}
	into := t.recent
	if n.death != 0 {
		into = t.failed
	}
	if into[key] == nil {
		into[key] = new(outcomes)
	}
	into[key].add(n)
}

// contrast counts the runs without a segment that survived since a time.
func (t *SegmentTable) contrast(c Cause, since time.Time) int {
	list := t.recent[serviceModel{c.Service, c.Model}]
	if list == nil {
		return 0
	}
	n := 0
	for _, o := range *list {
		if o.at.After(since) && !slices.Contains(o.causes, c) {
			n++
		}
	}
	return n
}

// rateWindow is the time over which the rate of failing runs is taken.
const rateWindow = 30 * time.Second

// failureRate is the share of this instance's runs without a segment that ended by an engine's death lately, other than by deaths that the segment, a
// conviction or another new segment with as many deaths as convict may explain. It is how probable it is that a run with a sound segment ends so.
func (t *SegmentTable) failureRate(now time.Time, c Cause, fresh evidence) failures {
	survived, failed := t.contrast(c, now.Add(-rateWindow)), 0
	if list := t.failed[serviceModel{c.Service, c.Model}]; list != nil {
		for _, o := range *list {
			if d := t.deaths[o.death]; d != nil && now.Sub(o.at) < rateWindow && !slices.Contains(o.causes, c) && !t.explained(d, c) && !t.heavyOther(o.death, c, fresh) {
				failed++
			}
		}
	}
	return failures{failed: failed, all: survived + failed}
}

// failures are the runs that failed, of all that ended.
type failures struct{ failed, all int }

func (f failures) rate() float64 { return float64(f.failed) / float64(max(1, f.all)) }

// bound is the rate with one more success and one more failure: none of few runs says little.
func (f failures) bound() float64 { return float64(f.failed+1) / float64(f.all+2) }

// explained reports whether a death may be due to a segment, or is due to convicted ones.
func (t *SegmentTable) explained(d *segmentDeath, c Cause) bool {
	if d.suspects[c] != nil {
		return true
	}
	return t.isExplained(d)
}

// heavyOther reports whether a death speaks against another new segment with as many deaths as convict one.
func (t *SegmentTable) heavyOther(death uint64, c Cause, fresh evidence) bool {
	for o, deaths := range fresh {
		if o != c && deaths[death] != nil && len(deaths) >= t.cfg.NewDeaths {
			return true
		}
	}
	return false
}

// maxChance is the probability, at most, that all runs with a convicted segment ended by chance.
const maxChance = 1e-3

// deathsNeeded returns how many deaths convict a segment where least do if no other run fails.
func (t *SegmentTable) deathsNeeded(now time.Time, c Cause, fresh evidence, least int) int {
	rate := t.failureRate(now, c, fresh).rate()
	if rate <= 0 || rate >= 1 {
		return least
	}
	return max(least, int(math.Ceil(math.Log(maxChance)/math.Log(rate))))
}
