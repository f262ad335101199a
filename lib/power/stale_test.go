package power

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The store was down, and the first reading after it is a minute and a half old. Its watts were explained by work that
// is modelled no longer; counted as excess over the model, they held every part at its fallback though the site was idle.
func TestReadingOlderThanMaxAgeIsNoExcess(t *testing.T) {
	m := meter{cfg: DefaultConfig(4000, 100)}
	now := time.Unix(1000, 0)
	m.model(now, 1700)
	m.read(now, Reading{Watts: 1700})
	for range 36 {
		now = now.Add(2500 * time.Millisecond)
		m.model(now, 1700)
	}
	m.read(now, Reading{Watts: 1700, Age: 90 * time.Second})
	must.Eq(t, 0, m.excess)
	must.Eq(t, m.cfg.CapWatts-m.cfg.MaxGuardWatts, m.usable(now))
}
