package poison

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Conviction is a verdict on segments of prompts: requests with all of them are refused. There are several only as long as they always came
// together, so that it is not known which of them crashes engines.
type Conviction struct {
	Service, Model string
	Segments       []uint64 // ascending
	Deaths         int      // of engines, that it rests on
	LastDeath      time.Time
	ProbeAt        time.Time // when one request may find out whether the verdict still holds
	Probes         int       // made so far
	Fixed          bool      // set by an operator: it has no probes, and no survival ends it
}

// Pauses between two probes: each costs an engine if the verdict still holds.
const (
	earlyProbePause = 2 * time.Second
	// FirstProbePause is the pause before the first probe of a verdict that has no early one.
	FirstProbePause = 2 * time.Minute
	maxProbePause   = 2 * time.Hour
)

// fewDeaths is the number of deaths below which a verdict has an early first probe: it is most likely to be wrong, and one engine more costs least.
const fewDeaths = 5

// ProbePause returns the pause after a number of probes of a verdict that rests on a number of deaths.
func ProbePause(deaths, probes int) time.Duration {
	if deaths < fewDeaths && probes == 0 {
		return earlyProbePause
	}
	pause := FirstProbePause
	for range probes {
		pause = min(2*pause, maxProbePause)
	}
	return pause
}

// Name identifies the conviction in logs and in the store.
func (v *Conviction) Name() string {
	ids := make([]string, len(v.Segments))
	for i, s := range v.Segments {
		ids[i] = fmt.Sprintf("%x", s)
	}
	return fmt.Sprintf("%s/%s/%s", v.Service, v.Model, strings.Join(ids, "+"))
}

func (v *Conviction) contains(c Cause) bool {
	return v.Service == c.Service && v.Model == c.Model && slices.Contains(v.Segments, c.Segment)
}

// matches reports whether a request has all segments of the conviction.
func (v *Conviction) matches(service, model string, segments []uint64) bool {
	if v.Service != service || v.Model != model {
		return false
	}
	return !slices.ContainsFunc(v.Segments, func(s uint64) bool { return !slices.Contains(segments, s) })
}

// covers reports whether v refuses each request that o refuses.
func (v *Conviction) covers(o *Conviction) bool { return v.matches(o.Service, o.Model, o.Segments) }

// convict puts a conviction in force that this instance has reached.
func (t *SegmentTable) convict(v *Conviction) {
	if t.enforce(v, SourceOwn) {
		t.outbox.add(v.record())
	}
}

// Convict puts a conviction in force that its caller has reached by other means, unless a segment of it has survived since the last death. It is
// sent to peers, and announced to be stored.
func (t *SegmentTable) Convict(now time.Time, v Conviction) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.unproved(now, &v)) == len(v.Segments) {
		t.convict(&v)
	}
}

// Acquit ends the convictions of a single segment, with which a request has just been completed.
func (t *SegmentTable) Acquit(now time.Time, c Cause) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range t.refused {
		if len(v.Segments) == 1 && v.contains(c) {
			t.known.add(now, c)
			t.outbox.offerSurvival(c, now)
			t.acquit(now)
			return
		}
	}
}

// enforce puts a conviction in force unless one that covers it is, and reports whether it did. Runs with its segments that have not survived are
// cancelled.
func (t *SegmentTable) enforce(v *Conviction, from Source) bool {
	for _, o := range t.refused {
		if o.covers(v) {
			o.update(v)
			return false
		}
	}
	if len(t.refused) >= t.cfg.MaxVerdicts {
		return false
	}
	t.announce(SegmentChange{Conviction: *v, Source: from})
	t.refused = slices.DeleteFunc(t.refused, func(o *Conviction) bool {
		ends := !o.Fixed && v.covers(o)
		if ends {
			t.announce(SegmentChange{Conviction: *o, Ended: true})
		}
		return ends
	})
	t.refused = append(t.refused, v)
	for r := range t.runs {
		if !r.survived && v.matchesRun(r) {
			go r.stop()
		}
	}
	return true
}

// update takes over what another source knows of the same conviction.
func (v *Conviction) update(o *Conviction) {
	if len(v.Segments) != len(o.Segments) || v.Fixed {
		return
	}
	v.Fixed = o.Fixed
	v.Deaths = max(v.Deaths, o.Deaths)
	v.Probes = max(v.Probes, o.Probes)
	if o.LastDeath.After(v.LastDeath) {
		v.LastDeath = o.LastDeath
	}
	if o.ProbeAt.After(v.ProbeAt) {
		v.ProbeAt = o.ProbeAt
	}
}

func (v *Conviction) matchesRun(r *SegmentRun) bool {
	for _, s := range v.Segments {
		if !slices.Contains(r.causes, Cause{Service: v.Service, Model: v.Model, Segment: s}) {
			return false
		}
	}
	return len(r.causes) > 0
}

// acquit takes out of the convictions each segment that has survived since the last death that they rest on. The others stay convicted: it is one of
// them that crashed the engines. A conviction ends when none is left.
func (t *SegmentTable) acquit(now time.Time) {
	for _, v := range slices.Clone(t.refused) {
		left := t.unproved(now, v)
		if v.Fixed || len(left) == len(v.Segments) {
			continue
		}
		// The narrower conviction is announced first: it is to be in the store before the row of the wider one is removed.
		if len(left) > 0 {
			narrower := *v
			narrower.Segments = left
			t.convict(&narrower)
		}
		if i := slices.Index(t.refused, v); i >= 0 {
			t.refused = slices.Delete(t.refused, i, i+1)
			t.announce(SegmentChange{Conviction: *v, Ended: true})
		}
	}
}

// unproved returns the segments of a conviction of which none has survived since its last death.
func (t *SegmentTable) unproved(now time.Time, v *Conviction) []uint64 {
	return slices.DeleteFunc(slices.Clone(v.Segments), func(s uint64) bool {
		return t.known.last(now, Cause{Service: v.Service, Model: v.Model, Segment: s}).After(v.LastDeath)
	})
}

// adopt puts a conviction of another source in force, without the segments that are known to have survived. It returns false if that changes it.
func (t *SegmentTable) adopt(now time.Time, v *Conviction, from Source) (whole bool) {
	left := t.unproved(now, v)
	if v.Fixed || len(left) == len(v.Segments) {
		t.enforce(v, from)
		return true
	}
	if len(left) > 0 {
		narrower := *v
		narrower.Segments = left
		t.convict(&narrower)
	}
	return false
}

// Enforce puts a conviction in force that was read from the store. It returns false if survivals have disproved it in whole or in part.
func (t *SegmentTable) Enforce(now time.Time, v Conviction) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.adopt(now, &v, SourceStore)
}

// TakeProbe reports whether a request may be the probe that is due on a conviction, and puts the next one off. It is for instances that
// share no store: each may make its own.
func (t *SegmentTable) TakeProbe(now time.Time, v Conviction) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := slices.IndexFunc(t.refused, func(o *Conviction) bool { return o.Name() == v.Name() })
	if i < 0 || t.refused[i].Fixed || now.Before(t.refused[i].ProbeAt) {
		return false
	}
	o := t.refused[i]
	o.Probes++
	o.ProbeAt = now.Add(ProbePause(o.Deaths, o.Probes))
	t.outbox.add(o.record())
	return true
}

// Lift ends a conviction that the store does not have any more.
func (t *SegmentTable) Lift(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := slices.IndexFunc(t.refused, func(v *Conviction) bool { return v.Name() == name })
	if i < 0 {
		return
	}
	v := t.refused[i]
	if v.Fixed || len(v.Segments) > 1 {
		// An instance that has heard of a survival removes the row of several segments, of which the others stay convicted. Nothing is known
		// of these here.
		t.refused = slices.Delete(t.refused, i, i+1)
		t.announce(SegmentChange{Conviction: *v, Ended: true})
		return
	}
	// Deaths up to now speak against it no longer, or the next judgement would convict it again.
	t.known.add(now, Cause{Service: v.Service, Model: v.Model, Segment: v.Segments[0]})
	t.acquit(now)
}

// Convictions returns those in force.
func (t *SegmentTable) Convictions() []Conviction {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Conviction, len(t.refused))
	for i, v := range t.refused {
		out[i] = *v
	}
	return out
}
