package gateway

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"anvilwick.example/anvilwick/lib/fleet"
)

// metricPermits counts the permits asked for: given, denied, given by this instance alone, or for what is sent in any case.
const metricPermits = "anvilwick_gateway_permits_total"

// take chooses a target, with a permit where the target has named a limit, and counts the request there. A target for which there is no
// permit is passed over until there may be one.
func (g *Gateway) take(ctx context.Context, need fleet.Need) (fleet.Info, bool) {
	for {
		target, ok := g.Fleet.Acquire(time.Now(), need)
		if !ok || g.permitted(ctx, target) {
			return target, ok
		}
		g.Fleet.Release(time.Now(), target.ID, fleet.Load{Tokens: need.Tokens, Unread: need.Unread}, fleet.Abandoned)
	}
}

// permitted reports whether a request may be sent to a target now, which takes a permit if the target has named a limit.
func (g *Gateway) permitted(ctx context.Context, t fleet.Info) bool {
	if !g.Fleet.LimitOf(t.ID).On {
		return true
	}
	p, outcome := g.permit(ctx, t)
	countPermit(outcome)
	if !p.Granted {
		g.Fleet.HoldOff(time.Now(), t.ID, p.RetryAfter)
	}
	return p.Granted
}

func (g *Gateway) permit(ctx context.Context, t fleet.Info) (p fleet.Permit, outcome string) {
	if g.Owners != nil {
		p, err := g.Owners.RequestPermit(ctx, t, false)
		switch {
		case err == nil && p.Granted:
			return p, "given"
		case err == nil:
			return p, "denied"
		}
	}
	return g.Fleet.PermitWithoutOwner(time.Now(), t.ID), "alone"
}

// forced counts a request that is sent whatever its target's limit says: without it a run would be lost.
func (g *Gateway) forced(t fleet.Info) {
	if g.Owners == nil || !g.Fleet.LimitOf(t.ID).On {
		return
	}
	countPermit("forced")
	go func() {
		// Nobody waits for the answer: without one the owner does not know of this one request.
		_, _ = g.Owners.RequestPermit(context.Background(), t, true)
	}()
}

func countPermit(outcome string) {
	metrics.GetOrCreateCounter(metricPermits + `{outcome="` + outcome + `"}`).Inc()
}
