package roomforecast

import "time"

// Demand is what other streams take before a stream's turn, at each point of the forecast. The zero value is no demand.
type Demand struct {
	tokens [numPoints]float64 // memory held at the point
	unread [numPoints]float64 // prompt tokens to be prefilled until the point
}

// AddWaiting adds a stream that waits. One that holds memory for much less than the time until a point has passed by then: it takes part of
// an engine's time, not its memory for good.
func (d *Demand) AddWaiting(s *Stream) { d.AddPromised(0, s) }

// Remove removes a stream that AddWaiting added.
func (d *Demand) Remove(s *Stream) {
	d.AddWaiting(&Stream{Tokens: -s.Tokens, Unread: -s.Unread, Lasts: s.Lasts})
}

// AddPromised adds a stream that is expected after a time.
func (d *Demand) AddPromised(after time.Duration, s *Stream) {
	for i, at := range points {
		if at < after {
			continue
		}
		part := 1.0
		if since := at - after; since > s.Lasts {
			part = float64(s.Lasts) / float64(since)
		}
		d.tokens[i] += part * float64(s.Tokens)
		d.unread[i] += float64(s.Unread)
	}
}

// AddInflow adds streams that are yet to arrive: tokens of memory a second, each of which is held for a duration, and prompt tokens a
// second.
func (d *Demand) AddInflow(tokensPerSecond float64, lasts time.Duration, unreadPerSecond float64) {
	for i, at := range points {
		d.tokens[i] += tokensPerSecond * min(at, lasts).Seconds()
		d.unread[i] += unreadPerSecond * at.Seconds()
	}
}
