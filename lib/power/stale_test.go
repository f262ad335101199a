package power

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// After an outage of the store the first reading was a minute and a half old, and the work that explained its watts was no
// longer in the model. Counted as excess, the reading held every part at its fallback although the site was idle.
func TestReadingOlderThanMaxAgeIsNotCountedAsExcess(t *testing.T) {
	m := meter{cfg: DefaultConfig(4000, 100)}
	now := time.Unix(1000, 0)
	m.addModelled(now, 1700)
	m.addReading(now, Reading{Watts: 1700})
	for range 36 {
		now = now.Add(2500 * time.Millisecond)
		m.addModelled(now, 1700)
	}
	m.addReading(now, Reading{Watts: 1700, Age: 90 * time.Second})
	must.Eq(t, 0, m.excess)
	must.Eq(t, m.cfg.CapWatts-m.cfg.MaxGuardWatts, m.usable(now))
}
