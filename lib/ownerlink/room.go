package ownerlink

import (
	"github.com/VictoriaMetrics/metrics"

	"anvilwick.example/anvilwick/lib/owner"
)

var (
	// refusals counts the streams that this instance refused as owner.
	refusals = map[owner.RefusalCause]*metrics.Counter{
		owner.Waited:    metrics.NewCounter(`anvilwick_owner_refusals_total{cause="waited"}`),
		owner.Forecast:  metrics.NewCounter(`anvilwick_owner_refusals_total{cause="forecast"}`),
		owner.OverLimit: metrics.NewCounter(`anvilwick_owner_refusals_total{cause="limit"}`),
	}
	// roomLate is the time from the retry time given to a caller until its retry was placed, roomEarly that by which it was placed before.
	roomLate  = metrics.NewHistogram(`anvilwick_owner_room_error_seconds{direction="late"}`)
	roomEarly = metrics.NewHistogram(`anvilwick_owner_room_error_seconds{direction="early"}`)
)

// countRoom counts what an answer says about the room of a shard.
func countRoom(a *owner.Answer) {
	if c := refusals[a.Cause]; c != nil {
		c.Inc()
	}
	switch {
	case !a.Returned:
	case a.RoomError < 0:
		roomEarly.Update(-a.RoomError.Seconds())
	default:
		roomLate.Update(a.RoomError.Seconds())
	}
}
