package gateway

import "time"

// eventClock measures the times between the events that one target sends for one stream. The zero value is ready for use.
//
// The shortest of these times shows how fast the target works. Events that the network or this machine has delayed follow each other
// too closely. Therefore a time counts as short only as the mean of two that are nearly equal, not directly after several events
// that arrived at once, and not if it is a small part of the mean time. The last event of a stream may contain fewer tokens, so a
// time counts once another event has followed.
type eventClock struct {
	first   time.Time     // first arrival
	events  int           // that arrived after the first arrival
	last    time.Time     // last arrival
	gap     time.Duration // before the last arrival; 0: unusable
	bunched bool          // the last arrival brought several events, or was cut by the size of a read
	pending time.Duration // mean of the last two gaps; 0: unusable
}

const (
	// maxGapRatio is the ratio of two successive gaps up to which they count as nearly equal.
	maxGapRatio = 1.3
	// minMeanShare is the share of the mean time between events below which two gaps are taken for the end of a delay.
	minMeanShare = 0.125
)

// arrive records an arrival of n events. It returns a robust value for a short time between two events, and the time since the arrival
// before; 0 if there is none. With cut, more events may have arrived than were read.
func (c *eventClock) arrive(now time.Time, n int, cut bool) (short, gap time.Duration) {
	if n == 0 {
		return 0, 0
	}
	short, c.pending = c.pending, 0
	afterBunch := c.bunched
	c.bunched = n > 1 || cut
	first := c.last.IsZero()
	if first {
		c.first = now
	} else {
		gap = now.Sub(c.last)
		c.events += n
	}
	c.last = now
	before := c.gap
	c.gap = 0
	if first || c.bunched || afterBunch {
		return short, gap
	}
	c.gap = gap
	if mean := (before + gap) / 2; before > 0 && nearlyEqual(before, gap) && mean >= c.minShort() {
		c.pending = mean
	}
	return short, gap
}

func nearlyEqual(a, b time.Duration) bool {
	return float64(max(a, b)) <= maxGapRatio*float64(min(a, b))
}

// minShort returns the shortest plausible time between two events.
func (c *eventClock) minShort() time.Duration {
	return time.Duration(minMeanShare * float64(c.last.Sub(c.first)) / float64(c.events))
}
