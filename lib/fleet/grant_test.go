package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// An owner has chosen an engine that this instance does not hold. The run goes there, and nothing else by this instance's own choice;
// once nothing is there any more it is forgotten.
func TestGrantedTargetTakesWhatItWasGrantedFor(t *testing.T) {
	f := engines(1)
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

	late := t0.Add(2 * grantedFor)
	f.Tick(late)
	_, held := f.Info("far")
	must.True(t, held)
	f.Release(late, "far", Load{Tokens: 100}, Served)
	f.Tick(late)
	_, held = f.Info("far")
	must.False(t, held)
}

// A granted engine leaves, starts anew, or comes into the list that this instance holds.
func TestLifeOfAGrantedTarget(t *testing.T) {
	f := engines(1)
	e := Info{ID: "far", Service: "engine", Domain: "z2", Addr: "a:1", Born: 5}
	f.Grant(t0, e)
	must.Len(t, 1, f.MarkLeaving(t0, "far", 5).Leaving)
	f.Grant(t0, e)
	must.True(t, f.IsLeaving("far")) // the owner's word was late
	e.Born = 6
	must.Len(t, 1, f.Grant(t0, e).Restarted)
	must.False(t, f.IsLeaving("far"))
	must.Len(t, 1, f.Apply(t0, []Info{e}, nil, 0).Added)
	must.Eq(t, 2, f.Availability(t0, Need{Service: "engine"}).Accepting)
}

// Targets that this instance no longer needs are forgotten, but for those that it has requests on. None of them is said to leave.
func TestDroppedTargetsAreForgotten(t *testing.T) {
	f := engines(3)
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
	f.Tick(t0.Add(2 * grantedFor))
	_, held = f.Info("e1")
	must.False(t, held)
	must.Len(t, 1, f.Apply(t0, []Info{{ID: "e0", Service: "engine", Domain: "z1"}}, nil, 0).Added)
}

// The index names each target once, in the order of ids, however they come, move and go.
func TestRosterIsInOrder(t *testing.T) {
	f := New("z1")
	f.SetSpecs(map[string]Spec{"a": {}, "b": {}})
	for i, id := range []string{"t5", "t1", "t9", "t3", "t7", "t2"} {
		f.Apply(t0, []Info{{ID: id, Service: "a", Domain: "z1"}}, nil, 0)
		if i == 3 {
			f.index.of("a")
		}
	}
	ids := func(service string) (out []string) {
		for _, t := range f.index.of(service) {
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
	must.Len(t, 1, f.Tick(t0.Add(goneAfter+time.Second)).Gone)
	must.Eq(t, []string{"t2", "t5", "t7", "t9"}, ids("a"))
}
