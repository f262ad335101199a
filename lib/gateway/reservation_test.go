package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/moveplan"
	"anvilwick.example/anvilwick/lib/routes"
)

// countingOwners counts the changes reported to owners.
type countingOwners struct {
	Owners
	changes int
}

func (o *countingOwners) ScheduleReport() { o.changes++ }

// Without a reservation only a moving run's own instance knows of the memory that the run needs at its destination: peers send
// new streams there, which then wait behind the run for seconds. The reservation must count from the plan on, here and at
// peers, until it is released.
func TestMoveReservationCountsAtAllInstances(t *testing.T) {
	g := newTestGateway()
	owners := new(countingOwners)
	g.Owners = owners
	g.Fleet.SetSpecs(map[string]fleet.Spec{"s": {KVTokens: 1000}})
	g.Fleet.Apply(time.Now(), []fleet.Info{{ID: "from", Service: "s"}, {ID: "to", Service: "s"}}, nil, 0)
	r := &run{g: g, c: &call{id: "x", service: "s"}}
	g.runs.add("from", r)
	_, ok := g.reserveAt(r, "to", fleet.Need{Service: "s", Tokens: 600, RequireMemory: true})
	must.True(t, ok)
	must.Eq(t, 1, owners.changes)
	must.Len(t, 1, g.HeldMemory())
	must.Eq(t, "to", g.HeldMemory()[0].Target)
	must.Eq(t, 600, g.HeldMemory()[0].Tokens)
	other := fleet.Need{Service: "s", Tokens: 500, RequireMemory: true, Peak: fleet.Size{Held: 500}, Exclude: map[string]bool{"from": true}}
	_, ok = g.Fleet.Acquire(time.Now(), other)
	must.False(t, ok)
	g.releaseReservation(r)
	must.SliceEmpty(t, g.HeldMemory())
	_, ok = g.Fleet.Acquire(time.Now(), other)
	must.True(t, ok)
}

// failingCopies answers the first copy and fails later ones, like a connection that is reset.
type failingCopies struct {
	Engines
	copies int
}

func (f *failingCopies) Copy(context.Context, fleet.Info, fleet.Info, string, bool) (CopyResult, error) {
	if f.copies++; f.copies == 1 {
		return CopyResult{Handle: "h"}, nil
	}
	return CopyResult{}, errors.New("reset")
}

func (f *failingCopies) ReleaseCopy(context.Context, fleet.Info, string) error { return nil }

// A copy fails while it is brought up to date, and the run continues at its source. The next attempt reserves memory on
// another engine; if the first reservation is not released, it counts until the process exits.
func TestFailedCopyReleasesReservation(t *testing.T) {
	g := newTestGateway()
	g.Engines = &failingCopies{}
	g.Fleet.SetSpecs(map[string]fleet.Spec{"s": {KVTokens: 1000}})
	g.Fleet.Apply(time.Now(), []fleet.Info{{ID: "from", Service: "s"}, {ID: "a", Service: "s"}, {ID: "b", Service: "s"}}, nil, 0)
	r := &run{
		g: g, c: &call{id: "x", service: "s", route: &routes.Route{Name: "r"}}, target: fleet.Info{ID: "from", Service: "s"}, outputTokens: 4,
	}
	r.load = fleet.Load{Tokens: 100}
	g.runs.add("from", r)
	g.move(r, r.target, time.Now().Add(500*time.Millisecond-moveTimeout), moveplan.Step{})
	r.finish()
	g.releasePartialCopy(r, r.partialCopySource())
	must.MapEmpty(t, g.Fleet.LocalLoads())
}
