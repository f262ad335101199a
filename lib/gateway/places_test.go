package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/routes"
)

// A run was placed, or its copy made, seconds before its engine's failure domain is evacuated. The choice was valid when it was
// made, so only the check before the send can prevent the run from being sent there.
func TestNothingIsSentToAnEvacuatedDomain(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = ln.Close() }()
	g := newTestGateway()
	to := fleet.Info{ID: "e", Service: "s", Domain: "z", Addr: ln.Addr().String()}
	g.Fleet.Apply(time.Now(), []fleet.Info{to}, nil, 0)
	r := &run{g: g, c: &call{id: "x", service: "s", route: &routes.Route{Name: "r"}}}
	got, ok := g.Fleet.Acquire(time.Now(), fleet.Need{Service: "s"})
	must.True(t, ok)
	g.Fleet.Evacuate("z")
	e, x := r.runOn(context.Background(), placement{target: got, copyFrom: "10.0.0.1:1/h"})
	must.Eq(t, endUnsent, e)
	must.ErrorIs(t, x.err, errEvacuated)
	g.Fleet.EndEvacuation(time.Now(), "z")
	conn, err := g.connect(context.Background(), got)
	must.NoError(t, err)
	conn.Close()
}

// The settings in force at the time of a send determine the regions, not those at the request's arrival: a stream may outlast the
// rollout of a change.
func TestRegionsFollowTheSettingsInForce(t *testing.T) {
	g := newTestGateway()
	apply := func(version int64, route, workspace []string) {
		tab, err := routes.NewTable(&routes.Revision{
			Version: version,
			Routes: []routes.Route{{
				Name: "r", Host: "h", Prefix: "/", Kind: routes.Stream, Split: []routes.Share{{Service: "s"}}, Regions: route,
			}},
			Services:   []routes.Service{{Name: "s"}},
			Workspaces: []routes.Workspace{{Name: "w", Regions: workspace}},
		})
		must.NoError(t, err)
		must.True(t, g.Apply(tab))
	}
	apply(1, nil, nil)
	c := &call{host: "h", target: "/x?y", workspace: "w", route: g.Table().Match("h", "/x")}
	must.Nil(t, g.regions(c))
	apply(2, []string{"a", "b"}, nil)
	must.Eq(t, []string{"a", "b"}, g.regions(c))
	apply(3, []string{"a", "b"}, []string{"b", "c"})
	must.Eq(t, []string{"b"}, g.regions(c))
	apply(4, []string{"a"}, []string{"c"})
	must.NotNil(t, g.regions(c))
	must.SliceEmpty(t, g.regions(c))
}

// lastCopies counts the final copies, which stop a run.
type lastCopies struct {
	Engines
	last int
}

func (c *lastCopies) Copy(_ context.Context, _, _ fleet.Info, _ string, last bool) (CopyResult, error) {
	if last {
		c.last++
	}
	return CopyResult{Handle: "h"}, nil
}

func (c *lastCopies) ReleaseCopy(context.Context, fleet.Info, string) error { return nil }

// A run has a copy on an engine whose domain is evacuated before the final copy. If it were stopped, it could continue at neither
// end when its source is evacuated, too. It must not be stopped, and its reservation there must be released.
func TestRunIsNotStoppedForAnEvacuatedDestination(t *testing.T) {
	g := newTestGateway()
	engines := new(lastCopies)
	g.Engines = engines
	from, to := fleet.Info{ID: "from", Service: "s", Domain: "a"}, fleet.Info{ID: "to", Service: "s", Domain: "b"}
	g.Fleet.Apply(time.Now(), []fleet.Info{from, to}, nil, 0)
	r := &run{g: g, c: &call{id: "x", service: "s", route: &routes.Route{Name: "r"}}, target: from, outputTokens: 4}
	g.runs.add("from", r)
	_, ok := g.reserveAt(r, "to", fleet.Need{Service: "s", Tokens: 10})
	must.True(t, ok)
	r.setPartialCopy(from, placement{target: to, copyFrom: "addr/h"})
	g.Fleet.Evacuate("b")
	must.ErrorIs(t, g.finalCopy(r, from, to, fleet.Load{Tokens: 10}), ErrNoCapacity)
	must.Eq(t, 0, engines.last)
	must.MapEmpty(t, g.Fleet.LocalLoads())
	must.True(t, r.runsOn("from"))
}
