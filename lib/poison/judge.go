package poison

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// evidence is the deaths that speak against each segment.
type evidence map[Cause]map[uint64]*segmentDeath

// judge returns the convictions that explain the deaths which have settled. Segments of which no run has survived are judged first: the deaths
// that they explain are no evidence against any other segment, such as one that all requests share.
func (t *SegmentTable) judge(now time.Time) []*Conviction {
	fresh, known := t.evidence(now)
	for _, v := range t.refused {
		t.extend(now, v)
		known.remove(v)
		// Of several segments, further deaths may still tell which one it is.
		if len(v.Segments) == 1 {
			fresh.remove(v)
		}
	}
	t.reached = nil
	t.explain(now, fresh, fresh, t.convictsNew)
	for _, v := range t.reached {
		known.remove(v)
	}
	known.removeSuspected(fresh, t.cfg.NewDeaths)
	t.explain(now, known, fresh, t.convictsKnown)
	t.updateTrials(now, fresh)
	out := t.reached
	t.reached = nil
	return out
}

// extend adds the deaths that a conviction explains to what it rests on.
func (t *SegmentTable) extend(now time.Time, v *Conviction) {
	n := 0
	for _, d := range t.deaths {
		if now.Sub(d.at) >= t.cfg.Window || !v.explains(d) {
			continue
		}
		n++
		if d.at.After(v.LastDeath) {
			v.LastDeath = d.at
		}
	}
	v.Deaths = max(v.Deaths, n)
	if at := v.LastDeath.Add(ProbePause(v.Deaths, v.Probes)); v.Deaths >= fewDeaths && at.After(v.ProbeAt) {
		v.ProbeAt = at // no early probe any more
	}
}

// evidence collects the deaths by segment, for segments that have never survived and for those that have not since.
func (t *SegmentTable) evidence(now time.Time) (fresh, known evidence) {
	fresh, known = make(evidence), make(evidence)
	for id, d := range t.deaths {
		if now.Sub(d.reported) < t.cfg.SettleTime || now.Sub(d.at) >= t.cfg.Window {
			continue
		}
		for c := range d.suspects {
			into := fresh
			if at := t.known.last(now, c); !at.IsZero() {
				into = known
				if !d.at.After(at) {
					continue
				}
			}
			if into[c] == nil {
				into[c] = make(map[uint64]*segmentDeath)
			}
			into[c][id] = d
		}
	}
	return fresh, known
}

// removeSuspected removes the deaths that speak against a segment of fresh with at least n deaths: whether that one is to blame is open.
func (e evidence) removeSuspected(fresh evidence, n int) {
	for _, suspected := range fresh {
		if len(suspected) < n {
			continue
		}
		for _, deaths := range e {
			maps.DeleteFunc(deaths, func(id uint64, _ *segmentDeath) bool { return suspected[id] != nil })
		}
	}
}

// remove removes the deaths that a conviction explains.
func (e evidence) remove(v *Conviction) {
	for _, deaths := range e {
		maps.DeleteFunc(deaths, func(_ uint64, d *segmentDeath) bool { return v.explains(d) })
	}
}

// explains reports whether a death was under a run with all segments of the conviction.
func (v *Conviction) explains(d *segmentDeath) bool {
	return !slices.ContainsFunc(v.Segments, func(s uint64) bool {
		return d.suspects[Cause{Service: v.Service, Model: v.Model, Segment: s}] == nil
	})
}

// enoughFunc reports whether deaths convict a segment.
type enoughFunc func(now time.Time, c Cause, deaths map[uint64]*segmentDeath, fresh evidence) bool

// explain adds to reached, one after the other, convictions of the segments that explain the most deaths that are not explained yet. One that explains more deaths, but not
// by more than chance, such as one that all requests share, does not keep others from being convicted.
func (t *SegmentTable) explain(now time.Time, e, fresh evidence, enough enoughFunc) {
	for {
		c, ok := t.heaviest(now, e, fresh, enough)
		if !ok {
			return
		}
		v := e.conviction(c, func(o Cause) bool { return enough(now, o, e[o], fresh) })
		t.reached = append(t.reached, v)
		e.remove(v)
	}
}

// heaviest returns the segment with the most deaths of those that they convict. Of several with as many deaths it is the one that is there least by
// chance, then the one of which most runs had begun.
func (t *SegmentTable) heaviest(now time.Time, e, fresh evidence, enough enoughFunc) (best Cause, ok bool) {
	bestChance := 0.0
	for c, deaths := range e {
		if len(deaths) < t.cfg.NewDeaths || len(deaths) < len(e[best]) || !enough(now, c, deaths, fresh) {
			continue
		}
		chance, _ := t.coincidence(now, c, deaths)
		if !ok || cmp.Or(
			cmp.Compare(len(e[best]), len(deaths)), cmp.Compare(chance, bestChance),
			cmp.Compare(e.begun(best), e.begun(c)), c.compare(best),
		) < 0 {
			best, bestChance, ok = c, chance, true
		}
	}
	return best, ok
}

// begun counts the deaths of a segment in which a response with it had begun.
func (e evidence) begun(c Cause) int {
	n := 0
	for _, d := range e[c] {
		if d.suspects[c].begun {
			n++
		}
	}
	return n
}

func (c Cause) compare(o Cause) int {
	return cmp.Or(cmp.Compare(c.Service, o.Service), cmp.Compare(c.Model, o.Model), cmp.Compare(c.Segment, o.Segment))
}

// conviction returns the conviction of a segment together with those that the same deaths speak against as strongly.
func (e evidence) conviction(c Cause, enough func(Cause) bool) *Conviction {
	v := &Conviction{Service: c.Service, Model: c.Model, Deaths: len(e[c])}
	for o, deaths := range e {
		if o.Service == c.Service && o.Model == c.Model && sameDeaths(deaths, e[c]) && (o == c || e.begun(o) >= e.begun(c) && enough(o)) {
			v.Segments = append(v.Segments, o.Segment)
		}
	}
	slices.Sort(v.Segments)
	for _, d := range e[c] {
		if d.at.After(v.LastDeath) {
			v.LastDeath = d.at
		}
	}
	v.ProbeAt = v.LastDeath.Add(ProbePause(v.Deaths, 0))
	return v
}

func sameDeaths(a, b map[uint64]*segmentDeath) bool {
	if len(a) != len(b) {
		return false
	}
	for id := range a {
		if b[id] == nil {
			return false
		}
	}
	return true
}

// convictsNew reports whether deaths convict a segment that has never survived. Engines must have survived other runs; as long as they have not, its
// presence at the deaths must be beyond chance.
func (t *SegmentTable) convictsNew(now time.Time, c Cause, deaths map[uint64]*segmentDeath, fresh evidence) bool {
	if !t.mayCrash(now, c, deaths, fresh) {
		return false
	}
	chance, known := t.coincidence(now, c, deaths)
	if !known {
		return t.exceedsOthers(now, c, deaths, fresh) && !fresh.hasRival(c)
	}
	return chance <= maxChance
}

const (
	// blindShare is the share of the deaths that a sound segment is assumed to be at, where too few runs can be compared to know it.
	blindShare = 0.25
	// maxBlindChance is the probability, at most, that a convicted segment is at so many of the deaths with that share.
	maxBlindChance = 0.02
)

// exceedsOthers reports whether a segment is at more of the deaths than a sound one is likely to be, or more of its runs ended so than of others. Deaths
// without it, from before its first one too, show that engines die of other causes, unless one other suspect explains them.
func (t *SegmentTable) exceedsOthers(now time.Time, c Cause, deaths map[uint64]*segmentDeath, fresh evidence) bool {
	from, all, second := firstDeath(deaths).Add(-rateWindow), 0, fresh.heaviestBut(c, t.cfg.NewDeaths)
	for id, d := range t.deaths {
		if d.of(c) && !d.at.Before(from) && !t.isExplained(d) && (deaths[id] != nil || second[id] == nil) {
			all++
		}
	}
	if binomialTail(max(all, len(deaths)), len(deaths), blindShare) <= maxBlindChance {
		return true
	}
	return math.Pow(t.failureRate(now, c, fresh).bound(), float64(t.weigh(deaths))) <= maxChance
}

// heaviestBut returns the deaths of the other segment that is at most deaths, if these are at least n.
func (e evidence) heaviestBut(c Cause, n int) map[uint64]*segmentDeath {
	var best Cause
	for o, deaths := range e {
		if o != c && len(deaths) >= n && cmp.Or(cmp.Compare(len(e[best]), len(deaths)), o.compare(best)) < 0 {
			best = o
		}
	}
	return e[best]
}

// hasRival reports whether another segment explains the deaths of c as well: it is there at more deaths, or at as many and its response had begun, too.
func (e evidence) hasRival(c Cause) bool {
	for o, deaths := range e {
		if o == c || len(deaths) < len(e[c]) || !containsDeaths(deaths, e[c]) {
			continue
		}
		if len(deaths) > len(e[c]) || e.begun(o) > 0 && !e.alike(o, c) {
			return true
		}
	}
	return false
}

// alike reports whether two segments always came together, in the same runs as far as is known.
func (e evidence) alike(a, b Cause) bool {
	return sameDeaths(e[a], e[b]) && e.begun(a) == e.begun(b)
}

// containsDeaths reports whether all holds each death of some.
func containsDeaths(all, some map[uint64]*segmentDeath) bool {
	for id := range some {
		if all[id] == nil {
			return false
		}
	}
	return true
}

// maxKnownChance is maxChance for segments that had survived: they are many, and judged at each death.
const maxKnownChance = 1e-4

// convictsKnown reports whether deaths convict a segment that had survived: meanwhile, other runs must survive on.
func (t *SegmentTable) convictsKnown(now time.Time, c Cause, deaths map[uint64]*segmentDeath, fresh evidence) bool {
	if t.weigh(deaths) < t.deathsNeeded(now, c, fresh, t.cfg.KnownDeaths) || addresses(deaths) < t.cfg.MinAddresses {
		return false
	}
	if t.contrast(c, firstDeath(deaths)) < t.cfg.KnownContrast {
		return false
	}
	chance, known := t.coincidence(now, c, deaths)
	return known && chance <= maxKnownChance || !known && t.exceedsOthers(now, c, deaths, fresh)
}

// firstDeath returns the time of the first of some deaths.
func firstDeath(deaths map[uint64]*segmentDeath) time.Time {
	first := time.Time{}
	for _, d := range deaths {
		if first.IsZero() || d.at.Before(first) {
			first = d.at
		}
	}
	return first
}

// weigh counts deaths, of each burst at most MaxBurstDeaths.
func (t *SegmentTable) weigh(deaths map[uint64]*segmentDeath) int {
	times := make([]time.Time, 0, len(deaths))
	for _, d := range deaths {
		times = append(times, d.at)
	}
	slices.SortFunc(times, time.Time.Compare)
	n, inBurst := 0, 0
	var burst time.Time
	for i, at := range times {
		if i == 0 || at.Sub(burst) > t.cfg.BurstSpan {
			burst, inBurst = at, 0
		}
		if inBurst++; inBurst <= t.cfg.MaxBurstDeaths {
			n++
		}
	}
	return n
}

func addresses(deaths map[uint64]*segmentDeath) int {
	seen := make(map[uint64]bool)
	for _, d := range deaths {
		seen[d.address] = true
	}
	return len(seen)
}
