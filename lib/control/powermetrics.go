package control

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Power metrics of the shards that the entry owns and, at the lease holder, of the site.
var (
	powerLimit      = metrics.NewGauge("anvilwick_power_limit_watts", nil)         // limit of the entry's shards
	powerDrawn      = metrics.NewGauge("anvilwick_power_drawn_watts", nil)         // modelled draw of the entry's shards
	powerReadingAge = metrics.NewGauge("anvilwick_power_reading_age_seconds", nil) // age of the oldest target report of these shards
	powerAtFallback = metrics.NewGauge("anvilwick_power_shards_at_fallback", nil)
	powerUsable     = metrics.NewGauge("anvilwick_power_usable_watts", nil) // at the lease holder; 0 elsewhere
	powerGuard      = metrics.NewGauge("anvilwick_power_guard_watts", nil)  // at the lease holder; 0 elsewhere
)

func (f *followers) updateMetrics(v stateView, owned map[string]ownedShard, now time.Time) {
	var limit, drawn, age, atFallback float64
	for name, part := range f.parts {
		d := demandOf(f.plan.Parts[name], v, owned[name], now)
		limit += part.Limit(now)
		drawn += d.modelled
		age = max(age, float64(d.ageMS)/1000)
		if part.ValidFor(now) == 0 {
			atFallback++
		}
	}
	powerLimit.Set(limit)
	powerDrawn.Set(drawn)
	powerReadingAge.Set(age)
	powerAtFallback.Set(atFallback)
}

func (a *powerAllocation) updateMetrics(now time.Time) {
	powerUsable.Set(a.allocator.UsableWatts(now))
	powerGuard.Set(a.allocator.GuardWatts(now))
}

// resetSiteMetrics clears the metrics that only the lease holder reports.
func resetSiteMetrics() {
	powerUsable.Set(0)
	powerGuard.Set(0)
}
