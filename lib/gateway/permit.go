package gateway

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"anvilwick.example/anvilwick/lib/fleet"
)

// metricPermits counts permit requests by outcome: given, denied, given by this instance alone, or forced.
const metricPermits = "anvilwick_gateway_permits_total"

// acquirePermitted chooses a target and counts the request there. If the target has named a limit, it needs a permit: a target
// without one is passed over until a permit may be available.
func (g *Gateway) acquirePermitted(ctx context.Context, need fleet.Need) (fleet.Info, bool) {
	for {
		target, ok := g.Fleet.Acquire(time.Now(), need)
		if !ok || g.permitted(ctx, target) {
			return target, ok
		}
		g.Fleet.Release(time.Now(), target.ID, fleet.Load{Tokens: need.Tokens, Unread: need.Unread}, fleet.Abandoned)
	}
}

// permitted reports whether a request may be sent to a target now. It obtains a permit if the target has named a limit.
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

// countForced reports a request that is sent regardless of its target's limit, because its run would be lost otherwise.
func (g *Gateway) countForced(t fleet.Info) {
	if g.Owners == nil || !g.Fleet.LimitOf(t.ID).On {
		return
	}
	countPermit("forced")
	go func() {
		// The answer isn't needed; if the call fails, the owner misses this one request in its count.
		_, _ = g.Owners.RequestPermit(context.Background(), t, true)
	}()
}

func countPermit(outcome string) {
	metrics.GetOrCreateCounter(metricPermits + `{outcome="` + outcome + `"}`).Inc()
}
