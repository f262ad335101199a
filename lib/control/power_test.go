package control

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/powerplan"
	"anvilwick.example/anvilwick/lib/settings"
	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

const (
	powerCapWatts = 4000.0
	services      = 3 // each owned by a different instance
)

// powerSettings has three services of one engine: 300 W idle, 100 W per sequence, 20 sequences, so at most 2300 W each.
func powerSettings() string {
	var b strings.Builder
	b.WriteString(strings.Replace(baseSettings[:strings.Index(baseSettings, "services:")], "[a]\n", "[a]\n  power_cap: 4kW\n  power_guard: 100W\n", 1))
	b.WriteString("services:\n")
	for i := range services {
		fmt.Fprintf(&b, `  s%d:
    kind: model
    models: [m%d]
    targets:
      t%d: {addr: "127.0.0.1:900%d", failure_domain: a, instance: e%d, max_batch: 20, idle_power: 300W, sequence_power: 100W}
`, i, i, i, i, i)
	}
	return b.String()
}

// setLoad sets how many sequences run and wait at the service that instance i owns.
func (f *fleet) setLoad(i, running, queued int) { f.loads[i] = [2]int{running, queued} }

// sendReports reports the loads, as entries do every second.
func (f *fleet) sendReports() {
	for i, l := range f.loads {
		running, queued := l[0], l[1]
		digest := &meshpb.ShardDigest{Service: fmt.Sprint("s", i), Queued: uint32(queued), Running: uint32(running)}
		status := &meshpb.EntryStatus{Shards: []*meshpb.ShardDigest{digest}}
		rep := &meshpb.TargetReport{Target: fmt.Sprint("t", i), Running: uint32(running), Watts: 300 + 100*float64(running)}
		if !f.reportsFrozenAt.IsZero() {
			rep.AgeMs = time.Since(f.reportsFrozenAt).Milliseconds()
		}
		reports := &meshpb.TargetReports{Targets: []*meshpb.TargetReport{rep}}
		if f.noReports {
			reports.Targets = nil
		}
		f.procs[i].state.handleEntryMessage(&meshpb.LocalUp{Msg: &meshpb.LocalUp_Status{Status: status}})
		f.procs[i].state.handleEntryMessage(&meshpb.LocalUp{Msg: &meshpb.LocalUp_Reports{Reports: reports}})
	}
}

// limit returns the power limit of instance i's entry for its service.
func (f *fleet) limit(i int) float64 {
	s, ok := f.procs[i].state.snapshot().shares[fmt.Sprintf("s%d/0", i)]
	switch {
	case !ok:
		return 0
	case time.Now().Before(s.until):
		return s.GetWatts()
	}
	return s.GetFallbackWatts()
}

// run advances time by d and checks every 250 ms that the limits together stay under the cap.
func (f *fleet) run(d time.Duration) {
	f.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); {
		f.sendReports()
		time.Sleep(250 * time.Millisecond)
		synctest.Wait()
		must.LessEq(f.t, powerCapWatts, f.limits())
	}
}

// One service is busy and the others are idle, so it may draw most of the site's power. While the store is down, the shares
// can't be renewed and each part returns to its fallback by itself; then the store comes back. The limits together must
// never exceed the cap.
func TestPowerFollowsDemandUnderCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, services, powerSettings())
		defer f.close()
		for i := range services {
			f.setLoad(i, 1, 0)
		}
		f.setLoad(0, 6, 30)
		f.run(30 * time.Second)
		fallback := f.procs[0].state.snapshot().shares["s0/0"].GetFallbackWatts()
		must.Greater(t, 1.3*fallback, f.limit(0))

		must.True(t, f.store.SetFault(standin.Fault{Kind: standin.FaultOutage, DurationMS: 60_000}))
		f.run(20 * time.Second)
		must.Eq(t, fallback, f.limit(0))
		f.run(70 * time.Second)
		must.Greater(t, 1.3*fallback, f.limit(0))
	})
}

// The instance that holds the lease, and owns the busy service, reports that its service has become idle, and dies before it
// reads its smaller share; then another service becomes busy. The table shows the next holder no demand at the dead
// instance, but its entry may draw under the large share until that expires. If the next holder divided the whole cap at
// once, old and new shares together would exceed it.
func TestPowerStaysUnderCapWhenHolderDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, services, powerSettings())
		defer f.close()
		for i := range services {
			f.setLoad(i, 1, 0)
		}
		f.run(5 * time.Second)
		dead := f.holder(leasePower)
		f.setLoad(dead, 6, 30)
		f.run(30 * time.Second)
		must.Greater(t, powerCapWatts/2, f.limit(dead))

		f.setLoad(dead, 1, 0)
		f.awaitReport(dead)
		// The outage also keeps the process from releasing the lease, as if it had died.
		must.True(t, f.store.SetFault(standin.Fault{Kind: standin.FaultOutage, DurationMS: 500}))
		f.stop[dead]()
		must.Greater(t, powerCapWatts/2, f.limit(dead))
		busy := (dead + 1) % services
		f.setLoad(busy, 6, 30)
		f.run(60 * time.Second)
		must.NotEq(t, dead, f.holder(leasePower))
		must.Greater(t, powerCapWatts/2, f.limit(busy))
	})
}

// All services have more work than the cap allows, and hold nearly all of the cap. Then the targets' reports freeze, and
// later stop, so the draw is unknown. Within the validity of the shares all services together must leave the widest guard
// free, until reports come again.
func TestPowerKeepsMaxGuardWithoutReadings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, services, powerSettings())
		defer f.close()
		for i := range services {
			f.setLoad(i, 8, 30)
		}
		f.run(40 * time.Second)
		cfg := powerplan.FromSnapshot(f.procs[0].Snapshot()).Config
		maxWatts := cfg.CapWatts - cfg.MaxGuardWatts
		must.Greater(t, maxWatts, f.limits())
		f.reportsFrozenAt = time.Now()
		f.run(cfg.MaxAge + cfg.TTL + reportInterval)
		for range 20 {
			f.run(time.Second)
			must.LessEq(t, maxWatts, f.limits())
		}
		f.noReports = true
		for range 70 {
			f.run(time.Second)
			must.LessEq(t, maxWatts, f.limits())
		}
		f.reportsFrozenAt, f.noReports = time.Time{}, false
		f.run(30 * time.Second)
		must.Greater(t, maxWatts, f.limits())
	})
}

// limits returns the sum of all entries' limits.
func (f *fleet) limits() float64 {
	sum := 0.0
	for i := range f.procs {
		sum += f.limit(i)
	}
	return sum
}

// The reports of a target froze while it was idle. Sequences that its owner runs there must count as drawn power, or the
// power would be allocated to others while this part uses it.
func TestDemandIncludesOwnersRunningCount(t *testing.T) {
	p := &powerplan.Part{MaxWatts: 5000, Targets: []settings.Target{{Name: "t", IdleWatts: 300, SeqWatts: 100}}}
	now := time.Now()
	v := stateView{reports: map[string]targetReport{"t": {&meshpb.TargetReport{Target: "t", Watts: 300}, now}}}
	d := demandOf(p, v, ownedShard{queued: 2, running: 5}, now)
	must.Eq(t, demand{wanted: 1000, modelled: 800, measured: 300}, d)
	d = demandOf(p, stateView{}, ownedShard{}, now)
	must.Eq(t, demand{wanted: 300, modelled: 300, measured: 300, ageMS: missingReportAge.Milliseconds()}, d)
}

// awaitReport returns as soon as instance i has written its next report to the table.
func (f *fleet) awaitReport(i int) {
	f.sendReports()
	key := reportPrefix + fmt.Sprintf("s%d/0", i)
	before, _ := f.store.Item(key)
	for now := before; now.Rev == before.Rev; now, _ = f.store.Item(key) {
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
	}
}

func TestNoSharesWithoutCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 1, baseSettings)
		defer f.close()
		time.Sleep(10 * time.Second)
		must.MapLen(t, 0, f.procs[0].state.snapshot().shares)
	})
}
