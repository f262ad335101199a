package control

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// What a process knows of power, for the shards that its entry owns and, under the lease, for the site.
var (
	powerLimit      = metrics.NewGauge("anvilwick_power_limit_watts", nil)         // that the entry's shards may draw
	powerDrawn      = metrics.NewGauge("anvilwick_power_drawn_watts", nil)         // that they draw, modelled
	powerReadingAge = metrics.NewGauge("anvilwick_power_reading_age_seconds", nil) // of their oldest target's report
	powerAtFallback = metrics.NewGauge("anvilwick_power_shards_at_fallback", nil)
	powerUsable     = metrics.NewGauge("anvilwick_power_usable_watts", nil) // at the holder of the lease; else 0
	powerGuard      = metrics.NewGauge("anvilwick_power_guard_watts", nil)  // the same
)

func (f *followers) measure(v tablesView, owned map[string]ownedShard, now time.Time) {
	var limit, drawn, age, fallen float64
	for name, part := range f.parts {
		d := demandOf(f.plan.Parts[name], v, owned[name], now)
		limit += part.Limit(now)
		drawn += d.modelled
		age = max(age, float64(d.ageMS)/1000)
		if part.ValidFor(now) == 0 {
			fallen++
		}
	}
	powerLimit.Set(limit)
	powerDrawn.Set(drawn)
	powerReadingAge.Set(age)
	powerAtFallback.Set(fallen)
}

func (a *allotting) measure(now time.Time) {
	powerUsable.Set(a.allotter.UsableWatts(now))
	powerGuard.Set(a.allotter.GuardWatts(now))
}

// unmeasure ends what only the holder of the lease tells.
func unmeasure() {
	powerUsable.Set(0)
	powerGuard.Set(0)
}
