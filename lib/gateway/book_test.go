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

// toldOwners counts how often owners are to hear of a change.
type toldOwners struct {
	Owners
	changes int
}

func (o *toldOwners) ScheduleReport() { o.changes++ }

// A run is planned to move. Until it is there its room was known to its own instance only, and peers sent new streams
// into it, which then waited behind the run for seconds. Its room counts from the plan on, here and at peers, and is
// free again once it is given up.
func TestRoomOfAMoveCountsEverywhere(t *testing.T) {
	g := newTestGateway()
	owners := new(toldOwners)
	g.Owners = owners
	g.Fleet.SetSpecs(map[string]fleet.Spec{"s": {KVTokens: 1000}})
	g.Fleet.Apply(time.Now(), []fleet.Info{{ID: "from", Service: "s"}, {ID: "to", Service: "s"}}, nil, 0)
	r := &run{g: g, c: &call{id: "x", service: "s"}}
	g.runs.add("from", r)
	_, ok := g.bookAt(r, "to", fleet.Need{Service: "s", Tokens: 600, RequireMemory: true})
	must.True(t, ok)
	must.Eq(t, 1, owners.changes)
	must.Len(t, 1, g.HeldMemory())
	must.Eq(t, "to", g.HeldMemory()[0].Target)
	must.Eq(t, 600, g.HeldMemory()[0].Tokens)
	other := fleet.Need{Service: "s", Tokens: 500, RequireMemory: true, Peak: fleet.Size{Held: 500}, Exclude: map[string]bool{"from": true}}
	_, ok = g.Fleet.Acquire(time.Now(), other)
	must.False(t, ok)
	g.unbook(r)
	must.SliceEmpty(t, g.HeldMemory())
	_, ok = g.Fleet.Acquire(time.Now(), other)
	must.True(t, ok)
}

// failingCopies answers the first copy and fails those after it, as a link that is reset does.
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

// A copy is being brought up to date when its call fails, and the run goes on at its source. The next try books room at
// another engine; the room of the first would count for as long as the process lives.
func TestFailedCopyKeepsNoRoom(t *testing.T) {
	g := newTestGateway()
	g.Engines = &failingCopies{}
	g.Fleet.SetSpecs(map[string]fleet.Spec{"s": {KVTokens: 1000}})
	g.Fleet.Apply(time.Now(), []fleet.Info{{ID: "from", Service: "s"}, {ID: "a", Service: "s"}, {ID: "b", Service: "s"}}, nil, 0)
	r := &run{g: g, c: &call{id: "x", service: "s", route: &routes.Route{Name: "r"}}, target: fleet.Info{ID: "from", Service: "s"}, made: 4}
	r.counted = fleet.Load{Tokens: 100}
	g.runs.add("from", r)
	g.move(r, r.target, time.Now().Add(500*time.Millisecond-moveGiveUp), moveplan.Step{})
	r.finish()
	g.dropCopy(r, r.copySource())
	must.MapEmpty(t, g.Fleet.LocalLoads())
}
