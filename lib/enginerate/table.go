// Package enginerate estimates how fast each engine of a service works: the time between two events of a stream, the time to prefill a
// prompt token, the momentary slowdown that engines report, and how often a pause between events becomes much longer than usual.
//
// Engines of one service may differ in speed, and each may be slowed down for some hundred milliseconds by other work on its machine.
// A prompt that is prefilled beside running streams lengthens their pauses. A choice among engines by free memory alone sends long streams
// to engines that can't keep their pauses short.
//
// The package does no I/O and reads no clock.
package enginerate

import "time"

// Table holds the estimates of the engines of all services. It is safe for concurrent use; the zero value is ready for use.
type Table struct{}

// Events is what one instance observed of the events of its streams on an engine during one report interval.
type Events struct {
	Shortest   time.Duration // shortest time between two events of a stream
	Longest    time.Duration // longest time between two events of a stream
	Prefilling bool          // a prompt was prefilled there during the interval
}

// ObserveEvents records what an instance observed on an engine.
func (t *Table) ObserveEvents(now time.Time, service, target string, e Events) {}

// ObservePrefill records the time to a first event on an engine that had the given prompt tokens to prefill.
func (t *Table) ObservePrefill(now time.Time, service, target string, unread int, took time.Duration) {
}

// ObserveSlowdown records the slowdown that an engine named in a response: the factor on its normal step time, 1 for normal.
func (t *Table) ObserveSlowdown(at time.Time, service, target string, factor float64) {}

// Forget drops what is known of a target, because a new incarnation has started or the target has left.
func (t *Table) Forget(service, target string) {}

// Rate is the estimated speed of an engine.
type Rate struct {
	EventTime   time.Duration // between two events of a stream while the engine prefills nothing, at normal speed; 0: unknown
	PrefillTime time.Duration // per prompt token, at normal speed; 0: unknown
	Slowdown    float64       // factor at this moment; 1 is normal or unknown
	Own         bool          // EventTime was observed on this engine; otherwise it is the median of the service's engines
}

// Rate returns the estimates for an engine. An engine without observations gets the median of its service.
func (t *Table) Rate(now time.Time, service, target string) Rate { return Rate{Slowdown: 1} }

// Risk is the probability that the longest pause of a stream exceeds a limit within Interval.
type Risk struct {
	Prefilling float64 // while the engine prefills a prompt
	Decoding   float64 // otherwise
}

// Interval is the period that a Risk refers to.
const Interval = 500 * time.Millisecond

// Risk returns the risk that a pause on an engine with the given rate exceeds limit, from the ratio of the longest to the usual pauses
// observed on all engines of the service.
func (t *Table) Risk(service string, r Rate, limit time.Duration) Risk { return Risk{} }
