package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// An owner has chosen an engine that is not on this instance's list. The granted run goes there and no other of this instance does; once
// unused, the engine is forgotten.
func TestGrantedTargetTakesOnlyTheGrantedRun(t *testing.T) {
	f := newEngineFleet(1)
	e := Info{ID: "far", Service: "engine", Domain: "z2", Addr: "a:1", Born: 5}
	must.SliceEmpty(t, f.Grant(t0, e).Added)
	need := Need{Service: "engine", Tokens: 100}
	for range 3 {
		got, ok := f.Acquire(t0, need)
		must.True(t, ok)
		must.Eq(t, "e0", got.ID)
	}
	_, ok := f.AcquireAt(t0, "far", need)
	must.False(t, ok)
	need.Granted = true
	got, ok := f.AcquireAt(t0, "far", need)
	must.True(t, ok)
	must.Eq(t, e, got)
	must.Eq(t, 1, f.Availability(t0, need).Accepting)

	late := t0.Add(2 * grantTTL)
	f.Tick(late)
	_, held := f.Info("far")
	must.True(t, held)
	f.Release(late, "far", Load{Tokens: 100}, Served)
	f.Tick(late)
	_, held = f.Info("far")
	must.False(t, held)
}

// A granted engine leaves, restarts, and is added to this instance's list.
func TestGrantedTargetLifecycle(t *testing.T) {
	f := newEngineFleet(1)
	e := Info{ID: "far", Service: "engine", Domain: "z2", Addr: "a:1", Born: 5}
	f.Grant(t0, e)
	must.Len(t, 1, f.MarkLeaving(t0, "far", 5).Leaving)
	f.Grant(t0, e)
	must.True(t, f.IsLeaving("far")) // the owner's grant was stale
	e.Born = 6
	must.Len(t, 1, f.Grant(t0, e).Restarted)
	must.False(t, f.IsLeaving("far"))
	must.Len(t, 1, f.Apply(t0, []Info{e}, nil, 0).Added)
	must.Eq(t, 2, f.Availability(t0, Need{Service: "engine"}).Accepting)
}

// Dropped targets are forgotten, except those with requests of this instance. None of them is reported as leaving.
func TestDroppedTargetsAreForgotten(t *testing.T) {
	f := newEngineFleet(3)
	need := Need{Service: "engine", Tokens: 10}
	_, ok := f.AcquireAt(t0, "e1", need)
	must.True(t, ok)
	ch := f.Drop(t0, []string{"e0", "e1", "nobody"})
	must.Len(t, 2, ch.Dropped)
	must.SliceEmpty(t, ch.Leaving)
	_, held := f.Info("e0")
	must.False(t, held)
	must.False(t, f.IsLeaving("e1"))
	got, ok := f.Acquire(t0, need)
	must.True(t, ok)
	must.Eq(t, "e2", got.ID)
	must.Eq(t, map[string]int{"z1": 1}, f.Ready("engine"))
	f.Release(t0, "e1", Load{Tokens: 10}, Served)
	f.Tick(t0.Add(2 * grantTTL))
	_, held = f.Info("e1")
	must.False(t, held)
	must.Len(t, 1, f.Apply(t0, []Info{{ID: "e0", Service: "engine", Domain: "z1"}}, nil, 0).Added)
}

// The index lists each target once, ordered by id, however targets are added, moved and removed.
func TestIndexIsSortedByID(t *testing.T) {
	f := New("z1")
	f.SetSpecs(map[string]Spec{"a": {}, "b": {}})
	for i, id := range []string{"t5", "t1", "t9", "t3", "t7", "t2"} {
		f.Apply(t0, []Info{{ID: id, Service: "a", Domain: "z1"}}, nil, 0)
		if i == 3 {
			f.index.targetsOf("a")
		}
	}
	ids := func(service string) (out []string) {
		for _, t := range f.index.targetsOf(service) {
			out = append(out, t.ID)
		}
		return out
	}
	must.Eq(t, []string{"t1", "t2", "t3", "t5", "t7", "t9"}, ids("a"))
	f.Apply(t0, []Info{{ID: "t3", Service: "b", Domain: "z2"}}, nil, 0)
	must.Eq(t, []string{"t3"}, ids("b"))
	must.Eq(t, map[string]int{"z1": 5}, f.Ready("a"))
	f.Apply(t0, nil, []string{"t1"}, 0)
	must.Eq(t, map[string]int{"z1": 4}, f.Ready("a"))
	must.Len(t, 1, f.Tick(t0.Add(forgetAfter+time.Second)).Gone)
	must.Eq(t, []string{"t2", "t5", "t7", "t9"}, ids("a"))
}
