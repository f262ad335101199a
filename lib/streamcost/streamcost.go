// Package streamcost computes how many streams are expected to become late by a long pause if a stream is placed on an engine.
//
// The load that it answers: engines of one service that differ in speed, each slowed down for moments. A prompt that an engine prefills
// between decode steps lengthens the pauses of the streams there. Slow engines then exceed the objective for pauses, fast ones never do;
// by free memory alone, long streams and prompts meet on both alike.
//
// The package does no I/O, reads no clock and keeps no state.
package streamcost

import (
	"math"
	"time"

	"anvilwick.example/anvilwick/lib/enginerate"
	"anvilwick.example/anvilwick/lib/fleet"
)

const (
	// margin is the share of the objective that is kept free: the time between events of an engine is estimated within this bound, and the
	// risk falls off steeply at the longest pause that slowdowns cause.
	margin = 0.15
	// maxCost is the cost of a placement that makes streams late for sure, in units of one fully loaded target: less than that of an engine
	// that fails every request.
	maxCost = 1.0
	// lateScale is the expected number of late streams at which the cost reaches 63 % of its bound. Below, load decides between engines;
	// far above, all are bad, and load decides again.
	lateScale = 0.025
)

// Limit returns the longest pause that is planned for under an objective.
func Limit(objective time.Duration) time.Duration {
	return time.Duration((1 - margin) * float64(objective))
}

// Engine is what is known of a candidate.
type Engine struct {
	Rate   enginerate.Rate
	Own    enginerate.Risk // of a pause beyond the new stream's objective
	Others enginerate.Risk // of a pause beyond the tightest objective of its service
}

// Stream is the stream to place.
type Stream struct {
	Unread    int // prompt tokens to prefill
	Remaining int // expected output tokens
}

// Load is what runs on the candidate.
type Load struct {
	Runs           []fleet.Size
	TokensPerEvent int     // of the service's streams; below 1: 1
	JoiningTokens  float64 // prompt tokens a second that are expected to join the runs there
}

// Penalty returns the cost of placing the stream on the engine, in units of one fully loaded target: it grows with the expected number of
// streams that become late, and is bounded. It is 0 where the rates or the risk are not known.
func Penalty(e Engine, s Stream, l Load) float64 {
	return maxCost * (1 - math.Exp(-Late(e, s, l)/lateScale))
}

// Late returns the expected number of streams that become late if the stream is placed on the engine.
func Late(e Engine, s Stream, l Load) float64 { return e.others(s, l) + e.own(s, l) }

// others returns the expected number of runs that become late while the stream's prompt is prefilled beside them.
func (e *Engine) others(s Stream, l Load) float64 {
	if e.Others.Prefilling <= 0 {
		return 0
	}
	endangered := 0
	for _, r := range l.Runs {
		if l.pauses(r.Remaining) {
			endangered++
		}
	}
	if endangered == 0 {
		return 0
	}
	return float64(endangered) * within(e.Others.Prefilling, e.prefillTime(float64(s.Unread)))
}

// own returns the probability that the stream becomes late by the prompts that join it, or without any.
func (e *Engine) own(s Stream, l Load) float64 {
	if !l.pauses(s.Remaining) || e.Own.Prefilling <= 0 && e.Own.Decoding <= 0 {
		return 0
	}
	events := float64(s.Remaining)/float64(max(1, l.TokensPerEvent)) - 1
	duration := time.Duration(events * float64(e.Rate.EventTime))
	prefilling := min(duration, e.prefillTime(l.JoiningTokens*duration.Seconds()))
	inTime := (1 - within(e.Own.Prefilling, prefilling)) * (1 - within(e.Own.Decoding, duration-prefilling))
	return 1 - inTime
}

// pauses reports whether a stream with the given output tokens to come has pauses between events.
func (l *Load) pauses(remaining int) bool { return remaining > max(1, l.TokensPerEvent) }

// prefillTime returns how long the engine takes to prefill prompt tokens.
func (e *Engine) prefillTime(tokens float64) time.Duration {
	return time.Duration(tokens * float64(e.Rate.PrefillTime))
}

// within returns the probability of an occurrence during d if it is p during enginerate.Interval.
func within(p float64, d time.Duration) float64 {
	if p <= 0 || d <= 0 {
		return 0
	}
	return 1 - math.Pow(1-min(p, 1), float64(d)/float64(enginerate.Interval))
}
