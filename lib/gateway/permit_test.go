package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/routes"
)

func limitedGateway(perSecond float64) (*Gateway, fleet.Info) {
	g := newTestGateway()
	target := fleet.Info{ID: "t", Service: "s", Slots: 6}
	now := time.Now()
	g.Fleet.Apply(now, []fleet.Info{target}, nil, 0)
	g.Fleet.ApplyLimit("t", fleet.LimitNotice{Limit: fleet.Limit{On: true, PerSecond: perSecond}, RequestedAt: now, ReceivedAt: now})
	return g, target
}

// Many callers are refused at once by the only target's limit. With equal Retry-After values all would return for one permit.
func TestRetryAfterOfLimitedCallersIsSpread(t *testing.T) {
	const holdOff = 100 * time.Millisecond
	g, target := limitedGateway(5)
	g.Fleet.HoldOff(time.Now(), target.ID, holdOff)
	c := &call{service: "s", route: &routes.Route{}, deadline: time.Now().Add(5 * time.Second)}
	shortest, longest := time.Hour, time.Duration(0)
	for range 200 {
		ref := g.noTargetRefusal(c)
		must.Eq(t, "targets_limited", ref.reason)
		shortest, longest = min(shortest, ref.after), max(longest, ref.after)
	}
	must.Greater(t, holdOff/2, shortest)
	must.Less(t, holdOff+retryAfterPlain, longest)
	must.Greater(t, retryAfterPlain/2, longest-shortest)
}

// When no owner answers, the instance sends only its small share of the limit and passes the target over otherwise.
func TestInstanceWithoutOwnerStaysWithinItsShare(t *testing.T) {
	g, _ := limitedGateway(10)
	sent := 0
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if target, ok := g.acquirePermitted(context.Background(), fleet.Need{Service: "s"}); ok {
			g.Fleet.Release(time.Now(), target.ID, fleet.Load{}, fleet.Served)
			sent++
		}
	}
	must.Between(t, 1, sent, 3)
}
