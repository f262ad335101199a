package enginerate

import (
	"math"
	"time"
)

const (
	// maxPlausible is the longest time between events, and to a first event, that counts as an observation.
	maxPlausible = time.Minute
	// MaxSlowdown is the largest slowdown that counts as one.
	MaxSlowdown = 100
	// minSamples is the number of observations from which an estimate is used.
	minSamples = 3
	// maxStep bounds the factor by which an observation is taken to differ from the estimate, so that no single one moves it far.
	maxStep = 2
	// downGain is the share of the distance to a shorter observation, in logarithms, by which an event time follows it. Nothing but a faster
	// engine makes events follow each other faster.
	downGain = 0.5
	// upGain is the same share for a longer observation of an undisturbed engine.
	upGain = 0.15
	// disturbedUpGain is the same share for an engine that prefilled a prompt in the interval. An engine that always does so still recovers
	// from an estimate that is too short.
	disturbedUpGain = 0.02
	// prefillStep is the largest step, in logarithms, by which an observation moves a prefill time, as in admit.PrefillRates.
	prefillStep = 0.05
	// firstPrefillStep is the largest step of the first observation after the one that a prefill time starts from. Each later one is
	// firstStepDecay times the one before.
	firstPrefillStep, firstStepDecay = 0.25, 0.8
	// nearGain is the share of the distance to an observation that is not too far away by which a prefill time follows it.
	nearGain = 0.5
)

// plausible reports whether a duration may have been observed on an engine.
func plausible(d time.Duration) bool { return d > 0 && d <= maxPlausible }

// ValidSlowdown reports whether an engine may be slowed down by a factor; others are ignored.
func ValidSlowdown(factor float64) bool { return factor > 0 && factor <= MaxSlowdown }

// target holds the estimates of one target.
type target struct {
	seen     time.Time // time of the newest observation
	event    eventTime
	prefill  medianTracker
	slowdown float64
	slowAt   time.Time
	noted    float64   // event time last returned by Changes, in nanoseconds; 0: none
	notedAt  time.Time // when it was returned
}

// slowdownAt returns the slowdown in force; 1 if none is known.
func (g *target) slowdownAt(now time.Time) float64 {
	if g.slowdown == 0 || now.Sub(g.slowAt) >= SlowdownTTL {
		return 1
	}
	return g.slowdown
}

// eventTime estimates the time between two events of a stream while the engine prefills nothing, at normal speed.
type eventTime struct {
	ns float64
	n  int // observations; counts up to minSamples
}

func (e *eventTime) known() bool          { return e.n >= minSamples }
func (e *eventTime) value() time.Duration { return time.Duration(e.ns) }

// observe applies the shortest time between events in an interval. While the engine is slowed down, it is no longer than that at normal
// speed times the slowdown, so it doesn't raise the estimate.
func (e *eventTime) observe(shortest time.Duration, prefilling bool, slowdown float64) {
	if e.n == 0 {
		e.ns, e.n = float64(shortest)/max(1, slowdown), 1
		return
	}
	e.n = min(e.n+1, minSamples)
	diff := math.Log(float64(shortest) / e.ns)
	diff = min(max(diff, -math.Log(maxStep)), math.Log(maxStep))
	gain := upGain
	switch {
	case diff < 0:
		gain = downGain
	case slowdown > 1:
		return
	case prefilling:
		gain = disturbedUpGain
	case e.n < minSamples:
		gain = downGain
	}
	e.ns *= math.Exp(gain * diff)
}

// medianTracker tracks the median of observations: some first events wait for memory as well, and a mean would count that as prefill.
type medianTracker struct {
	ns   float64
	n    int     // observations; counts up to minSamples
	step float64 // largest step, in logarithms, of the next observation
}

func (m *medianTracker) known() bool          { return m.n >= minSamples }
func (m *medianTracker) value() time.Duration { return time.Duration(m.ns) }

func (m *medianTracker) observe(ns float64) {
	if m.n == 0 {
		m.ns, m.n, m.step = ns, 1, firstPrefillStep
		return
	}
	m.n = min(m.n+1, minSamples)
	move := nearGain * math.Log(ns/m.ns)
	m.ns *= math.Exp(min(max(move, -m.step), m.step))
	m.step = max(prefillStep, firstStepDecay*m.step)
}
