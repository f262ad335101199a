package ownerlink

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"

	"anvilwick.example/anvilwick/lib/enginerate"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/ownerpb"
)

const (
	// maxSlowdownRate bounds the notices a second of all instances together, apart from a burst of slowdownBurst from each.
	maxSlowdownRate = rate.Limit(20)
	slowdownBurst   = 2
	// percent is the unit of a slowdown in a datagram.
	percent = 100
)

var (
	slowdownsAnnounced = metrics.NewCounter(`anvilwick_owner_slowdowns_total{way="out"}`)
	slowdownsLimited   = metrics.NewCounter(`anvilwick_owner_slowdowns_total{way="limited"}`)
	slowdownsReceived  = metrics.NewCounter(`anvilwick_owner_slowdowns_total{way="in"}`)
)

// AnnounceSlowdown informs all instances that a plain target has named a slowdown: a factor on its usual service time.
func (l *Link) AnnounceSlowdown(t fleet.Info, factor float64) {
	if !l.allowSlowdown(time.Now()) {
		slowdownsLimited.Inc()
		return
	}
	slowdownsAnnounced.Inc()
	slowed := &ownerpb.Slowed{Target: t.ID, Born: t.Born, Percent: uint32(percent * factor)}
	l.broadcastSuspects(&ownerpb.Suspects{Slowed: []*ownerpb.Slowed{slowed}})
}

// allowSlowdown reports whether this instance may send a notice now: each has the same share of maxSlowdownRate.
func (l *Link) allowSlowdown(now time.Time) bool {
	l.mu.Lock()
	instances := len(l.addrByName)
	l.mu.Unlock()
	l.plain.slowdowns.SetLimitAt(now, maxSlowdownRate/rate.Limit(max(1, instances)))
	return l.plain.slowdowns.AllowN(now, 1)
}

func (l *Link) applySlowed(now time.Time, list []*ownerpb.Slowed) {
	for _, s := range list[:min(maxCounts, len(list))] {
		factor := float64(s.GetPercent()) / percent
		if !enginerate.ValidSlowdown(factor) {
			continue
		}
		slowdownsReceived.Inc()
		l.Fleet.ObservePeerSlowdown(now, s.Target, s.Born, factor)
	}
}
