package owner

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/roomforecast"
)

// A clock is set back for a process that takes times from the wall clock. Rates must not grow by it, at worst exponentially.
func TestTimeGoingBackDoesNotRaiseRates(t *testing.T) {
	var f flow
	stream := roomforecast.Stream{Tokens: 1000, Lasts: time.Second}
	f.add(t0, &stream)
	f.add(t0.Add(-time.Hour), &stream)
	must.Eq(t, 2000, f.tokens)
	var r tokenRate
	r.add(t0, 1000)
	r.add(t0.Add(-time.Hour), 1000)
	must.Eq(t, 2000, r.sum)
	must.Eq(t, 1/math.E, decay(t0, t0.Add(time.Second), time.Second))
	must.Eq(t, 0, decay(time.Time{}, t0, time.Second))
}
