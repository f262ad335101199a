package admit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// One first event in four waits seconds for memory. The estimate must be the prefill time: a median is not raised by such outliers.
func TestPrefillRatesFollowMedian(t *testing.T) {
	var r PrefillRates
	must.Eq(t, 0, r.TokensWithin("s", time.Second)) // no estimate: no bound
	for i := range 400 {
		d := 300 * time.Millisecond
		if i%4 == 3 {
			d = 4 * time.Second
		}
		r.Observe("s", 2000, d)
	}
	must.Between(t, 5000, r.TokensWithin("s", time.Second), 8000) // 6,667 at 0.15 ms a token
	must.Eq(t, 0, r.TokensWithin("other", time.Second))
	r.Observe("s", 0, time.Second)
	r.Observe("s", 10, 0)
	must.Between(t, 5000, r.TokensWithin("s", time.Second), 8000)
}
