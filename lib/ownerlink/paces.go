package ownerlink

import (
	"math"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"anvilwick.example/anvilwick/lib/enginerate"
	"anvilwick.example/anvilwick/lib/owner"
)

// ratedEngines is the number of engines whose speed this instance knows from reports, as a candidate for their shards.
var ratedEngines = metrics.NewGauge(`anvilwick_owner_rated_engines`, nil)

const (
	// maxTrackedPaces bounds the engines whose paces are collected between two reports.
	maxTrackedPaces = 1024
	// maxReportedPaces bounds the paces in one report.
	maxReportedPaces = 64
	// slowdownStep is the relative change of a slowdown that is reported at once, with the next report for whatever reason. A slowdown may
	// be over before the next regular report.
	slowdownStep = 0.25
)

// paceCollector collects how fast engines worked since the last regular report. At rest it holds nothing.
type paceCollector struct {
	mu       sync.Mutex
	byTarget map[string]*collectedPace
}

type collectedPace struct {
	owner.Pace
	slowdownAt       time.Time // when Slowdown was received
	reportedSlowdown float64   // as of the last report since the last regular one; 0: none
}

func newPaceCollector() paceCollector {
	return paceCollector{byTarget: make(map[string]*collectedPace)}
}

// record merges an observation that was made now.
func (c *paceCollector) record(now time.Time, p owner.Pace) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.byTarget[p.Target]
	if m == nil {
		if len(c.byTarget) >= maxTrackedPaces {
			return
		}
		m = &collectedPace{Pace: owner.Pace{Target: p.Target}}
		c.byTarget[p.Target] = m
	}
	if p.Shortest > 0 && (m.Shortest == 0 || p.Shortest < m.Shortest) {
		m.Shortest = p.Shortest
	}
	m.Longest = max(m.Longest, p.Longest)
	if enginerate.ValidSlowdown(p.Slowdown) {
		m.Slowdown, m.slowdownAt = p.Slowdown, now
	}
}

// take returns the paces to report, by shard. A regular report takes all of them; others only slowdowns that have changed.
func (c *paceCollector) take(now time.Time, regular bool, shardOf func(engine string) *owner.Shard) map[string][]owner.Pace {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.byTarget) == 0 {
		return nil
	}
	out := make(map[string][]owner.Pace)
	for _, m := range c.byTarget {
		s := shardOf(m.Target)
		if s == nil || !regular && !m.slowdownChanged() || len(out[s.Key]) >= maxReportedPaces {
			continue
		}
		p := m.Pace
		if p.Slowdown > 0 {
			p.SlowdownAge = now.Sub(m.slowdownAt)
		}
		if !regular {
			p.Shortest, p.Longest = 0, 0
			m.reportedSlowdown = m.Slowdown
		}
		out[s.Key] = append(out[s.Key], p)
	}
	if regular {
		clear(c.byTarget)
	}
	return out
}

// slowdownChanged reports whether the slowdown differs from the one reported last, or from the normal speed if none was.
func (m *collectedPace) slowdownChanged() bool {
	last := m.reportedSlowdown
	if last == 0 {
		last = 1
	}
	return m.Slowdown > 0 && math.Abs(m.Slowdown-last) >= slowdownStep*last
}

// RecordPace records how fast an engine worked, as a stream or a response has just shown, for the next report.
func (l *Link) RecordPace(p owner.Pace) { l.paces.record(time.Now(), p) }

// reportRateChanges reports engines whose estimated speed has changed a lot, and exports the number of those with an estimate.
func (l *Link) reportRateChanges(now time.Time) {
	rates := l.Coordinator.Rates()
	ratedEngines.Set(float64(rates.Own()))
	for _, c := range rates.Changes(now) {
		if l.OnRateChanged != nil {
			l.OnRateChanged(c)
		}
	}
}
