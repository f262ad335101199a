package roomforecast

import "time"

// Demand is the memory that other streams take before a stream's turn, at each point of the forecast. The zero value is no demand.
type Demand struct{ tokens [numPoints]float64 }

// AddWaiting adds a stream that waits and then runs for a duration. One that is much shorter than the time until a point has passed by then:
// it takes part of an engine's time, not its memory for good.
func (d *Demand) AddWaiting(tokens int, lasts time.Duration) {
	for i, at := range points {
		part := 1.0
		if at > lasts {
			part = float64(lasts) / float64(at)
		}
		d.tokens[i] += part * float64(tokens)
	}
}

// AddPromised adds a stream that is expected after a time, and then runs for a duration.
func (d *Demand) AddPromised(after time.Duration, tokens int, lasts time.Duration) {
	for i, at := range points {
		if at < after {
			continue
		}
		part := 1.0
		if since := at - after; since > lasts {
			part = float64(lasts) / float64(since)
		}
		d.tokens[i] += part * float64(tokens)
	}
}

// AddInflow adds streams that are yet to arrive: tokens a second, each of which is held for a duration.
func (d *Demand) AddInflow(tokensPerSecond float64, lasts time.Duration) {
	for i, at := range points {
		d.tokens[i] += tokensPerSecond * min(at, lasts).Seconds()
	}
}
