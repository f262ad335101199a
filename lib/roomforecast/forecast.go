// Package roomforecast forecasts when the engines of a shard will have memory for one more stream.
//
// Runs release their memory when they end, and their lengths are only estimates. The package combines what is known of each run, how
// outputs of the service compare with their expected lengths, and the streams that will take memory first, into the probability that a
// stream of a given size fits on some engine at a given time from now.
//
// The load that it answers is a shortage that outlasts the time for which a stream may wait: a stream that certainly finds no room is
// refused at once, and its retry time is the one at which room is expected.
//
// The package does no I/O and reads no clock.
package roomforecast

import (
	"math"
	"time"
)

// Run is a run on an engine, in tokens.
type Run struct {
	Held   int // memory held now
	Output int // output so far
	Hint   int // expected total output
}

// Engine is the state of one engine.
type Engine struct {
	Memory    int           // tokens that runs may take
	TokenTime time.Duration // time per output token
	Runs      []Run
	Copies    int // tokens taken by copies of other engines' runs
	Unread    int // prompt tokens to be prefilled
}

// Stream is a stream that needs room.
type Stream struct {
	Tokens int           // of memory
	Unread int           // prompt tokens to be prefilled
	Lasts  time.Duration // how long it holds memory
	// Budget returns how long the prompts pending on its engine, its own included, may take if it is placed d from now; nil: any time.
	Budget func(d time.Duration) time.Duration
}

// points are the times from now for which room is forecast. Retry times beyond the last are not respected by callers.
var points = [...]time.Duration{
	0, 100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 450 * time.Millisecond, 600 * time.Millisecond,
	800 * time.Millisecond, time.Second, 1300 * time.Millisecond, 1700 * time.Millisecond, 2200 * time.Millisecond,
	2800 * time.Millisecond, 3600 * time.Millisecond, 4600 * time.Millisecond, 6 * time.Second, 8 * time.Second, 10 * time.Second,
	13 * time.Second, 17 * time.Second,
}

// Horizon is the latest time from now for which room is forecast.
const Horizon = 17 * time.Second

const numPoints = len(points)

// Confidence is the number of standard deviations by which the expected room must exceed what is needed.
type Confidence float64

// Values of Confidence.
const (
	Fast   Confidence = -0.674 // room comes with probability 1/4: the fast quarter of the outcomes
	Even   Confidence = 0      // as likely as not
	Likely Confidence = 0.842  // room comes with probability 4/5
)

// moments are the mean and variance of a number of tokens or streams.
type moments struct{ mean, variance float64 }

// sizeClasses is the number of sizes, as parts of an engine's memory, that a Forecast distinguishes.
const sizeClasses = 32

// Forecast is the room on the engines of a shard as forecast at one moment.
type Forecast struct {
	memory  int
	prefill time.Duration      // time per prompt token; 0: unknown
	unread  []int              // by engine
	used    [][numPoints]usage // by engine
	room    [sizeClasses + 1]*[numPoints]moments
}

// New forecasts the room on some engines of the same memory that take prefill to prefill a prompt token (0: unknown). It returns nil if
// nothing is known of how fast one of them works, or if there is no engine.
func New(engines []Engine, prefill time.Duration, lengths *Lengths) *Forecast {
	if len(engines) == 0 {
		return nil
	}
	f := &Forecast{
		memory: engines[0].Memory, prefill: prefill, unread: make([]int, len(engines)), used: make([][numPoints]usage, len(engines)),
	}
	for i := range engines {
		e := &engines[i]
		if len(e.Runs) > 0 && e.TokenTime <= 0 || e.Memory <= 0 {
			return nil
		}
		f.used[i], f.unread[i] = e.forecast(lengths), e.Unread
	}
	return f
}

// usage is the memory in use on an engine at one of points.
type usage struct {
	moments
	unchanged float64 // probability that no run has ended
	grown     float64 // memory in use if none has
}

// forecast returns the memory in use at each of points.
func (e *Engine) forecast(lengths *Lengths) (out [numPoints]usage) {
	for i := range out {
		out[i] = usage{moments: moments{mean: float64(e.Copies)}, unchanged: 1, grown: float64(e.Copies)}
	}
	for _, r := range e.Runs {
		length := lengths.survival(r.Hint)
		given := length.Reach(r.Output - 1)
		for i, d := range points {
			steps, p := int(d/max(1, e.TokenTime)), 1.0
			switch {
			case i == 0:
			case given <= 0:
				p = 0 // longer than any output before: it may end at any moment
			default:
				p = min(1, length.Reach(r.Output+steps)/given)
			}
			held := float64(r.Held + steps)
			out[i].mean += p * held
			out[i].variance += p * (1 - p) * held * held
			out[i].unchanged *= p
			out[i].grown += held
		}
	}
	return out
}

// classOf returns the size class of a stream, rounded down.
func (f *Forecast) classOf(tokens int) int {
	return min(max(1, sizeClasses*tokens/f.memory), sizeClasses)
}

// roomFor returns, at each of points, how many streams of a size class fit on all engines together.
func (f *Forecast) roomFor(class int) *[numPoints]moments {
	if f.room[class] == nil {
		f.room[class] = f.computeRoom(float64(f.memory) * float64(class) / sizeClasses)
	}
	return f.room[class]
}

// maxPerEngine bounds the streams of one size that are counted as fitting on an engine: prompts are prefilled one after another.
const maxPerEngine = 4

func (f *Forecast) computeRoom(tokens float64) *[numPoints]moments {
	out := new([numPoints]moments)
	for _, used := range f.used {
		for i, u := range used {
			deviation := math.Sqrt(u.variance)
			for n := 1; n <= maxPerEngine; n++ {
				needed := float64(n) * tokens
				p := exceeds(float64(f.memory)-u.mean-needed, deviation)
				if u.grown+needed > float64(f.memory) {
					p = min(p, 1-u.unchanged) // some run must end; the sum of a few is not normal
				}
				if p < negligible {
					break
				}
				out[i].mean += p
				out[i].variance += p * (1 - p)
			}
		}
	}
	return out
}

const (
	// negligible is a probability of room that is ignored.
	negligible = 0.005
	// logisticScale makes the logistic function approximate the normal distribution, within 0.01.
	logisticScale = 1.702
)

// exceeds returns the probability that a normal variable with mean 0 is below margin.
func exceeds(margin, deviation float64) float64 {
	if deviation < 1 {
		if margin >= 0 {
			return 1
		}
		return 0
	}
	return 1 / (1 + math.Exp(-logisticScale*margin/deviation))
}

const (
	// half is the continuity correction: a normal variable stands for a number of streams.
	half = 0.5
	// prefillSpread is the relative standard deviation of the prompt tokens that the engines prefill in a given time.
	prefillSpread = 0.3
)

// Time returns the earliest time from now at which a stream has room, with the given confidence, when demand takes room first; ok is false
// if that is beyond Horizon.
func (f *Forecast) Time(s *Stream, demand *Demand, confidence Confidence) (d time.Duration, ok bool) {
	size := float64(max(s.Tokens, 1))
	before := 0.0
	for i, m := range f.roomFor(f.classOf(s.Tokens)) {
		surplus := m.mean - float64(confidence)*math.Sqrt(m.variance) - demand.tokens[i]/size - half
		if surplus >= 0 {
			surplus = min(surplus, f.prefillSurplus(i, s, demand, confidence))
		}
		if surplus >= 0 {
			return interpolate(i, before, surplus), true
		}
		before = surplus
	}
	return 0, false
}

// prefillSurplus returns for how many more streams, beyond the given one, the engines can prefill prompts in time by a point.
func (f *Forecast) prefillSurplus(i int, s *Stream, demand *Demand, confidence Confidence) float64 {
	if f.prefill <= 0 || s.Unread <= 0 || s.Budget == nil {
		return math.Inf(1)
	}
	unread := float64(s.Unread)
	done := float64(points[i]) / float64(f.prefill) * (1 - prefillSpread*float64(confidence))
	// An engine without pending prompts takes a prompt of any length.
	pending := max(float64(s.Budget(points[i]))/float64(f.prefill), unread)
	streams := 0.0
	for _, before := range f.unread {
		streams += math.Floor(max(0, done+pending-float64(before)) / unread)
	}
	return streams - demand.unread[i]/unread - 1
}

// interpolate returns where the surplus becomes positive between the point before i and i.
func interpolate(i int, before, surplus float64) time.Duration {
	if i == 0 {
		return 0
	}
	part := 1.0
	if !math.IsInf(surplus, 1) {
		part = before / (before - surplus)
	}
	return points[i-1] + time.Duration(part*float64(points[i]-points[i-1]))
}
