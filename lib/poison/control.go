package poison

import (
	"maps"
	"math"
	"slices"
	"time"
)

// control compares a segment with the runs of an instance that are alive when a death is reported, none of which has survived for good yet: how many
// there are, and how many of them have the segment.
type Control struct{ With, All int }

func (c *Control) add(o Control) {
	c.With += o.With
	c.All += o.All
}

// controls are the controls of all runs in flight, and of those that are older than the run that died. A segment that crashes engines has few runs that
// live to that age.
type Controls struct{ Any, Older Control }

// controlsOf compares a segment with this instance's runs.
func (t *SegmentTable) controlsOf(now time.Time, c Cause, age time.Duration) Controls {
	var out Controls
	for r := range t.runs {
		if r.survived || r.causes[0].Service != c.Service || r.causes[0].Model != c.Model {
			continue
		}
		one := Control{All: 1}
		if r.has(c) {
			one.With = 1
		}
		out.Any.add(one)
		if now.Sub(r.began) > age {
			out.Older.add(one)
		}
	}
	return out
}

// observe records that a run with the segment was on the dead engine.
func (s *suspect) observe(rec SegmentRecord) {
	s.begun = s.begun || rec.Death.Begun
	s.age = max(s.age, rec.RunAge)
	s.runs++
}

// compare takes this instance's controls for segments of a death. An instance that had runs on the engine sends them to its peers.
func (t *SegmentTable) compare(now time.Time, d *segmentDeath, rec SegmentRecord) {
	out := SegmentRecord{Kind: RecordControl, Service: rec.Service, Model: rec.Model, Death: rec.Death, At: rec.At, Reporter: t.id}
	for _, seg := range rec.Segments {
		c := Cause{Service: rec.Service, Model: rec.Model, Segment: seg}
		got := t.controlsOf(now, c, d.suspects[c].age)
		d.suspects[c].controls[t.id] = got
		out.Segments = append(out.Segments, seg)
		out.Controls = append(out.Controls, got)
	}
	if d.runs[t.id] > 0 {
		t.outbox.addControl(out)
	}
}

// mergeControls takes a peer's controls.
func (t *SegmentTable) mergeControls(rec SegmentRecord) {
	d := t.deaths[rec.Death.ID]
	if d == nil || len(rec.Controls) != len(rec.Segments) {
		return
	}
	for i, seg := range rec.Segments {
		if s := d.suspects[Cause{Service: rec.Service, Model: rec.Model, Segment: seg}]; s != nil {
			s.controls[rec.Reporter] = rec.Controls[i]
		}
	}
}

// has reports whether the run has a segment.
func (r *SegmentRun) has(c Cause) bool { return slices.Contains(r.causes, c) }

// runCount returns how many runs that had not survived were on the engine, at least.
func (d *segmentDeath) runCount() int {
	n := 0
	for _, of := range d.runs {
		n += of
	}
	return max(n, 1)
}

// minControls is the number of compared runs from which the probability of a coincidence is known.
const minControls = 8

// controlInterval is the least time between two controls that count: of deaths that follow each other closely they are of the same runs.
const controlInterval = 400 * time.Millisecond

// coincidence returns the probability that a segment that crashes nothing has runs on at least as many of the dead engines. known is false if too
// few runs were compared.
//
// A sound segment is on a dead engine as often as on any other: its share among the runs that are alive elsewhere, applied to the number of runs on each
// dead engine, gives how often it is there by chance.
func (t *SegmentTable) coincidence(now time.Time, c Cause, deaths map[uint64]*segmentDeath) (chance float64, known bool) {
	share, known := t.shareOf(c, deaths)
	first, n, present := firstDeath(deaths), 0, 0.0
	for _, d := range t.deaths {
		if d.at.Before(first) || now.Sub(d.reported) < t.cfg.SettleTime || !d.of(c) || t.isExplained(d) {
			continue
		}
		n++
		present += 1 - math.Pow(1-share, float64(d.runCount()))
	}
	if n == 0 {
		return 1, false
	}
	present /= float64(n)
	return binomialTail(n, len(deaths), present), known
}

// shareOf returns the share of a segment among the runs that are alive, as far as it may be if the segment crashes nothing: none of few runs says little.
func (t *SegmentTable) shareOf(c Cause, deaths map[uint64]*segmentDeath) (share float64, known bool) {
	var whole, older Control
	ordered := slices.SortedFunc(maps.Values(deaths), func(a, b *segmentDeath) int { return a.at.Compare(b.at) })
	var last time.Time
	for _, d := range ordered {
		if d.at.Sub(last) < controlInterval {
			continue
		}
		last = d.at
		for _, of := range d.suspects[c].controls {
			whole.add(of.Any)
			older.add(of.Older)
		}
	}
	compared := older
	if compared.All < minControls {
		compared = whole
	}
	with := float64(compared.With) + 2*math.Sqrt(float64(compared.With+1))
	return min(with/float64(compared.All+2), 1), compared.All >= minControls
}

// of reports whether a death was at the service and model of a segment.
func (d *segmentDeath) of(c Cause) bool {
	for o := range d.suspects {
		return o.Service == c.Service && o.Model == c.Model
	}
	return false
}

// isExplained reports whether a conviction explains a death.
func (t *SegmentTable) isExplained(d *segmentDeath) bool {
	explains := func(v *Conviction) bool { return v.explains(d) }
	return slices.ContainsFunc(t.refused, explains) || slices.ContainsFunc(t.reached, explains)
}

// epsilon keeps a probability below 1.
const epsilon = 1e-9

// binomialTail returns the probability of at least m successes in n trials that each succeed with probability p.
func binomialTail(n, m int, p float64) float64 {
	p = min(max(p, math.SmallestNonzeroFloat32), 1-epsilon)
	sum := 0.0
	for k := m; k <= n; k++ {
		lgN, _ := math.Lgamma(float64(n + 1))
		lgK, _ := math.Lgamma(float64(k + 1))
		lgR, _ := math.Lgamma(float64(n - k + 1))
		sum += math.Exp(lgN - lgK - lgR + float64(k)*math.Log(p) + float64(n-k)*math.Log1p(-p))
	}
	return min(sum, 1)
}
