package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// arrival is an arrival of events at a time in milliseconds.
type arrival struct {
	at, n int
	cut   bool
}

// measure returns the shortest and the longest time that an eventClock finds, in milliseconds.
func measure(arrivals []arrival) (shortest, longest float64) {
	var c eventClock
	start := time.Unix(1_000_000, 0)
	var least, most time.Duration
	for _, a := range arrivals {
		short, gap := c.arrive(start.Add(time.Duration(a.at)*time.Millisecond), a.n, a.cut)
		if short > 0 && (least == 0 || short < least) {
			least = short
		}
		most = max(most, gap)
	}
	return least.Seconds() * 1000, most.Seconds() * 1000
}

// singles returns arrivals of one event each.
func singles(times ...int) []arrival {
	out := make([]arrival, len(times))
	for i, at := range times {
		out[i] = arrival{at: at, n: 1}
	}
	return out
}

// Events of a stream are made every 30 ms, are delayed, bunched and cut on the way, and the engine is slower beside a prompt. The shortest
// time must be 30 ms: a shorter one would make the engine look faster than it is.
func TestEventClock(t *testing.T) {
	after := singles(150, 180, 210, 240)
	for name, c := range map[string]struct {
		arrivals          []arrival
		shortest, longest float64
	}{
		"steady":              {singles(0, 30, 60, 90), 30, 30},
		"too few":             {singles(0, 30), 0, 30},
		"prompt in between":   {singles(0, 80, 110, 140, 170), 30, 80},
		"short last event":    {singles(0, 30, 60, 90, 114), 30, 30},
		"one event delayed":   {singles(0, 30, 82, 90, 120, 150, 180), 30, 52},
		"incomplete events":   {append([]arrival{{at: 0, n: 1}, {at: 29}, {at: 120, n: 1}, {at: 149}}, after...), 30, 120},
		"bunch after a delay": {append([]arrival{{at: 0, n: 1}, {at: 115, n: 4}, {at: 120, n: 1}}, after...), 30, 115},
		"bunch cut by a read": {append([]arrival{{at: 0, n: 1}, {at: 115, n: 2, cut: true}, {at: 115, n: 2}}, after...), 30, 115},
		"burst read singly":   {append(singles(0, 118, 119, 120, 121), after...), 30, 118},
	} {
		shortest, longest := measure(c.arrivals)
		must.Between(t, 0.95*c.shortest, shortest, 1.01*c.shortest, must.Sprint(name))
		must.Eq(t, c.longest, longest, must.Sprint(name))
	}
}
