package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/feed"
)

// at returns a position of the first era.
func at(version int64) feed.Position { return feed.Position{Era: feed.FirstEra, Version: version} }

// An entry expires while the list can be read, and its target writes it again. The removal must not count as the target's own notice.
func TestDelistedTargetReturns(t *testing.T) {
	f := newEngineFleet(1)
	f.SetPosition(at(7))
	must.Len(t, 1, f.Apply(t0, nil, []string{"e0"}, 0).Leaving)
	must.Eq(t, []LeftTarget{{ID: "e0", Cause: Delisted, ListedOut: at(7)}}, f.LeftSince(t0.Add(-time.Second)))
	must.Len(t, 1, f.Apply(t0.Add(time.Second), []Info{{ID: "e0", Service: "engine", Written: at(9)}}, nil, 0).Added)
	must.False(t, f.IsLeaving("e0"))
	must.SliceEmpty(t, f.LeftSince(t0.Add(-time.Second)))
	must.Eq(t, 1, f.Ready("engine")[""])
}

// A target announces leaving after its entry was removed, or before. In both orders its leaving is final, and its notice is reported as new.
func TestAnnouncedLeavingOutlastsRemoval(t *testing.T) {
	ready := Info{ID: "e0", Service: "engine"}
	for name, leave := range map[string]func(f *Fleet){
		"before": func(f *Fleet) {
			must.Len(t, 1, f.MarkLeaving(t0, "e0", 0).Leaving)
			f.Apply(t0, nil, []string{"e0"}, 0)
		},
		"after": func(f *Fleet) {
			f.Apply(t0, nil, []string{"e0"}, 0)
			must.Len(t, 1, f.MarkLeaving(t0, "e0", 0).Confirmed)
			must.Len(t, 0, f.MarkLeaving(t0, "e0", 0).Confirmed)
		},
	} {
		f := newEngineFleet(1)
		leave(f)
		must.Eq(t, Announced, f.DepartureOf("e0"), must.Sprint(name))
		must.Len(t, 1, f.Apply(t0, []Info{ready}, nil, 0).StaysOut, must.Sprint(name))
		must.True(t, f.IsLeaving("e0"))
	}
}

// A peer's notice of a removal arrives after this instance has read the entry that the target wrote since. The target must stay in use; a notice about
// a later removal takes it out until its next entry.
func TestNoticeOfRemovalIsOlderThanEntry(t *testing.T) {
	f := newEngineFleet(1)
	entry := func(version int64) []Info { return []Info{{ID: "e0", Service: "engine", Written: at(version)}} }
	f.Apply(t0, entry(9), nil, 0)
	must.Len(t, 0, f.MarkLeft(t0, LeftTarget{ID: "e0", Cause: Delisted, ListedOut: at(7)}).Leaving)
	must.False(t, f.IsLeaving("e0"))
	must.Len(t, 1, f.MarkLeft(t0, LeftTarget{ID: "e0", Cause: Delisted, ListedOut: at(12)}).Leaving)
	must.True(t, f.IsLeaving("e0"))
	must.Len(t, 1, f.Apply(t0, entry(15), nil, 0).Added)
	must.False(t, f.IsLeaving("e0"))
	must.Len(t, 1, f.MarkLeft(t0, LeftTarget{ID: "e0", Cause: Announced}).Leaving)
	f.Apply(t0, entry(20), nil, 0)
	must.True(t, f.IsLeaving("e0"))
}

// An engine that is held only through grants of its owner was removed from the list and is back. The owner's next grant brings it back here, too.
func TestGrantedTargetReturnsAfterRemoval(t *testing.T) {
	f := newEngineFleet(1)
	e := Info{ID: "far", Service: "engine", Addr: "a:1"}
	f.Grant(t0, e)
	must.Len(t, 1, f.MarkLeft(t0, LeftTarget{ID: "far", Cause: Delisted, ListedOut: at(3)}).Leaving)
	f.Grant(t0, e)
	must.False(t, f.IsLeaving("far"))
}
