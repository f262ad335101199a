package powerplan

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"anvilwick.example/anvilwick/lib/settings"
	_ "anvilwick.example/anvilwick/lib/testseed" // fixed seeds
)

// anySite draws a random site with a cap: services with targets of any power, some drained, some of unknown power.
func anySite(t *rapid.T) *settings.Snapshot {
	snap := &settings.Snapshot{Services: map[string]*settings.Service{}}
	snap.Site.PowerCapWatts = rapid.Float64Range(100, 1e6).Draw(t, "cap")
	snap.Site.PowerGuardWatts = snap.Site.PowerCapWatts * rapid.Float64Range(0, 0.9).Draw(t, "guard")
	snap.Site.ShardTargets = rapid.IntRange(1, 8).Draw(t, "shard targets")
	for i := range rapid.IntRange(1, 4).Draw(t, "services") {
		svc := &settings.Service{Name: fmt.Sprint("s", i)}
		for j := range rapid.IntRange(1, 20).Draw(t, "targets") {
			target := settings.Target{Name: fmt.Sprintf("t%d-%d", i, j)}
			if rapid.Bool().Draw(t, "known") {
				target.IdleWatts, target.SeqWatts, target.MaxBatch = 100, 50, rapid.IntRange(1, 40).Draw(t, "batch")
			}
			svc.Targets = append(svc.Targets, target)
		}
		snap.Services[svc.Name] = svc
	}
	return snap
}

// Entries apply fallbacks without coordination. Even while every shard has two owners, all fallbacks together must stay
// below the cap; and a drain, which reaches entries one after another, must not change any of them.
func TestFallbacksOfTwoOwnersStayUnderCapAndIgnoreDrains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snap := anySite(t)
		before := FromSnapshot(snap)
		if before == nil {
			return
		}
		idle, sum := 0.0, 0.0
		for name, w := range before.Fallbacks {
			idle += min(w, before.Parts[name].IdleWatts)
			sum += w
		}
		must.LessEq(t, snap.Site.PowerCapWatts*(1+1e-9), 2*sum-idle) // the idle draw occurs only once

		svc := snap.Services["s0"]
		drained := rapid.IntRange(0, len(svc.Targets)-1).Draw(t, "drained")
		svc.Targets[drained].Draining = true
		after := FromSnapshot(snap)
		must.MapEq(t, before.Fallbacks, after.Fallbacks)
		reserved := 0.0
		for _, p := range after.Parts {
			reserved += p.DrainedWatts()
		}
		must.Eq(t, svc.Targets[drained].IdleWatts, reserved)
	})
}

func TestNoPlanWithoutCap(t *testing.T) {
	must.Nil(t, FromSnapshot(nil))
	must.Nil(t, FromSnapshot(&settings.Snapshot{}))
}

// A site's cap leaves beyond the idle draw a sixth of what runs at most. When fallbacks were split in proportion to the
// maximum draw, they were below the idle draw, and no work ran while no allocator was active.
func TestFallbackExceedsIdleDraw(t *testing.T) {
	snap := &settings.Snapshot{Services: map[string]*settings.Service{}}
	snap.Site.PowerCapWatts, snap.Site.ShardTargets = 4000, 32
	for i := range 3 {
		name := fmt.Sprint("s", i)
		svc := &settings.Service{Name: name, Targets: []settings.Target{{Name: "t" + name, IdleWatts: 900, SeqWatts: 60, MaxBatch: 32}}}
		snap.Services[name] = svc
	}
	for _, w := range FromSnapshot(snap).Fallbacks {
		must.Eq(t, 1050, w) // of 3600 W, 2700 W are idle
	}
}
