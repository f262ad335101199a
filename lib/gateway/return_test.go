package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/routes"
)

// A run that a move stopped returns to its source, because the destination refused it. It counts there again: otherwise its end would be
// subtracted from the load of others, and the engine would look emptier than it is.
func TestReturnedRunCountsAtItsSource(t *testing.T) {
	g := newTestGateway()
	g.Fleet.SetSpecs(map[string]fleet.Spec{"s": {KVTokens: 1000}})
	now := time.Now()
	g.Fleet.Apply(now, []fleet.Info{{ID: "e", Service: "s"}}, nil, 0)
	other, ok := g.Fleet.AcquireAt(now, "e", fleet.Need{Service: "s", Tokens: 200})
	must.True(t, ok)
	route, engine := &routes.Route{Name: "r", Kind: routes.Stream}, &routes.Engine{}
	r := &run{g: g, c: &call{id: "x", service: "s", route: route, engine: engine}}
	target, _ := g.Fleet.AcquireAt(now, "e", fleet.Need{Service: "s", Tokens: 100})
	r.start(placement{target: target, load: fleet.Load{Tokens: 100}})
	stopped := &exchange{target: target}
	r.leave(endMoved, stopped)
	r.start(placement{target: target, copyFrom: "a/h", recounted: true})
	must.Eq(t, map[string]fleet.Load{"e": {Runs: 2, Tokens: 300}}, g.Fleet.LocalLoads())
	r.leave(endComplete, stopped)
	must.Eq(t, map[string]fleet.Load{"e": {Runs: 1, Tokens: 200}}, g.Fleet.LocalLoads())
	must.Eq(t, "e", other.ID)
}
