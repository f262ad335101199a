package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A stream was begun at one version. Nothing that chooses a target for it, for a copy of it, or on its owner's word may choose one of another,
// however full those of its version are.
func TestStreamIsPlacedAtItsSoftwareOnly(t *testing.T) {
	f := New("z1")
	f.SetSpecs(map[string]Spec{"s": {KVTokens: 10_000}})
	v1, v2 := NewSoftware("s", "v1"), NewSoftware("s", "v2")
	f.Apply(t0, []Info{
		{ID: "a", Service: "s", Slots: 8, Software: v1}, {ID: "b", Service: "s", Slots: 8, Software: v2},
		{ID: "c", Service: "s", Slots: 8, Software: UnnamedSoftware("s", "c", 0)},
	}, nil, 0)
	f.SetPeerLoad(t0, "peer", map[string]Load{"a": {Runs: 3, Tokens: 9000}}, nil)
	need := Need{Service: "s", Tokens: 100, Software: v1.ID}
	for _, choose := range []func() (Info, bool){
		func() (Info, bool) { return f.Acquire(t0, need) },
		func() (Info, bool) { return f.Choose(t0, need) },
		func() (Info, bool) { return f.ChooseForCopy(t0, need, "", 0) },
	} {
		got, ok := choose()
		must.True(t, ok)
		must.Eq(t, "a", got.ID)
	}
	for _, id := range []string{"b", "c"} {
		granted := need
		granted.Granted = true
		_, ok := f.AcquireAt(t0, id, granted)
		must.False(t, ok)
	}
	must.Eq(t, Availability{Accepting: 1, OtherSoftware: 2}, f.Availability(t0, need))
	must.True(t, f.RunsSoftware([]string{"a", "b"}, v1.ID))
	must.False(t, f.RunsSoftware([]string{"b", "c"}, v1.ID))
	need.Software = NewSoftware("s", "v3").ID
	_, ok := f.Acquire(t0, need)
	must.False(t, ok)
}

// Versions are compared across services and incarnations. An entry without a version must not equal that of another target or start.
func TestSoftwareIdentity(t *testing.T) {
	must.Eq(t, NewSoftware("s", "v1"), NewSoftware("s", "v1"))
	must.NotEq(t, NewSoftware("s", "v1").ID, NewSoftware("other", "v1").ID)
	must.NotEq(t, UnnamedSoftware("s", "a", 1).ID, UnnamedSoftware("s", "a", 2).ID)
	must.NotEq(t, UnnamedSoftware("s", "a", 1).ID, UnnamedSoftware("s", "b", 1).ID)
	must.NotEq(t, UnnamedSoftware("s", "a", 1).ID, NewSoftware("s", "").ID)
	long := NewSoftware("s", string(make([]byte, 4000)))
	must.Eq(t, maxSoftwareName, len(long.Name))
	must.NotEq(t, long.ID, NewSoftware("s", string(make([]byte, 4001))).ID)
}

// Guards against a stream that goes on at a target that has started again with another version: until its entry says which one it runs, none of the
// known versions may be assumed. A stream that began there meanwhile continues at the version that the entry names later.
func TestRestartedTargetHasUnknownSoftware(t *testing.T) {
	v1, v2 := NewSoftware("s", "v1"), NewSoftware("s", "v2")
	f := New("z")
	now := time.Now()
	f.Apply(now, []Info{{ID: "a", Service: "s", Born: 100, Software: v1}, {ID: "b", Service: "s", Born: 100, Software: v2}}, nil, 0)
	must.SliceNotEmpty(t, f.MarkRestarted(now, "a", 200).Restarted)
	must.False(t, f.RunsSoftware([]string{"a", "b"}, v1.ID))
	a, _ := f.Info("a")
	must.NotEq(t, v1.ID, a.Software.ID)
	must.Eq(t, a.Software.ID, f.ResolveSoftware("s", a.Software.ID))

	f.Apply(now, []Info{{ID: "a", Service: "s", Born: 200, Software: v2}}, nil, 0)
	must.Eq(t, v2.ID, f.ResolveSoftware("s", a.Software.ID))
	must.Eq(t, v2.ID, f.ResolveSoftware("s", v2.ID))
	must.Eq(t, v1.ID, f.ResolveSoftware("s", v1.ID)) // no target runs it; it is no unnamed one either
	must.Eq(t, 0, f.ResolveSoftware("s", 0))
}
