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
	cap4kW   = 4000.0
	services = 3 // each owned by another instance
)

// powerSettings has three services of one engine: 300 W idle, 100 W a sequence, 20 sequences, so 2300 W each at most.
func powerSettings() string {
	var b strings.Builder
	b.WriteString(strings.Replace(someSettings[:strings.Index(someSettings, "services:")], "[a]\n", "[a]\n  power_cap: 4kW\n  power_guard: 100W\n", 1))
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

// load says how many sequences run and wait at the service that instance i owns.
func (f *fleet) load(i, running, queued int) { f.loads[i] = [2]int{running, queued} }

// report passes the loads on, as entries do every second.
func (f *fleet) report() {
	for i, l := range f.loads {
		running, queued := l[0], l[1]
		digest := &meshpb.ShardDigest{Service: fmt.Sprint("s", i), Queued: uint32(queued), Running: uint32(running)}
		status := &meshpb.EntryStatus{Shards: []*meshpb.ShardDigest{digest}}
		rep := &meshpb.TargetReport{Target: fmt.Sprint("t", i), Running: uint32(running), Watts: 300 + 100*float64(running)}
		if !f.since.IsZero() {
			rep.AgeMs = time.Since(f.since).Milliseconds()
		}
		reports := &meshpb.TargetReports{Targets: []*meshpb.TargetReport{rep}}
		if f.missing {
			reports.Targets = nil
		}
		f.procs[i].tables.hear(&meshpb.LocalUp{Msg: &meshpb.LocalUp_Status{Status: status}})
		f.procs[i].tables.hear(&meshpb.LocalUp{Msg: &meshpb.LocalUp_Reports{Reports: reports}})
	}
}

// limit is what instance i's entry may draw for its service.
func (f *fleet) limit(i int) float64 {
	s, ok := f.procs[i].tables.view().shares[fmt.Sprintf("s%d/0", i)]
	switch {
	case !ok:
		return 0
	case time.Now().Before(s.until):
		return s.GetWatts()
	}
	return s.GetFallbackWatts()
}

// pass lets time go by and checks at each quarter of a second that the limits together stay under the cap.
func (f *fleet) pass(d time.Duration) {
	f.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); {
		f.report()
		time.Sleep(250 * time.Millisecond)
		synctest.Wait()
		must.LessEq(f.t, cap4kW, f.limits())
	}
}

// One service has much to do and the others nothing: it may draw most of the site's power. Then the store is down, the
// shares can't be renewed, and each falls back to its fixed part by itself; then it comes back. At no moment may the
// limits together pass the cap.
func TestPowerFollowsDemandUnderTheCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, services, powerSettings())
		defer f.close()
		for i := range services {
			f.load(i, 1, 0)
		}
		f.load(0, 6, 30)
		f.pass(30 * time.Second)
		fallback := f.procs[0].tables.view().shares["s0/0"].GetFallbackWatts()
		must.Greater(t, 1.3*fallback, f.limit(0))

		must.True(t, f.store.SetFault(standin.Fault{Kind: standin.FaultOutage, DurationMS: 60_000}))
		f.pass(20 * time.Second)
		must.Eq(t, fallback, f.limit(0))
		f.pass(70 * time.Second)
		must.Greater(t, 1.3*fallback, f.limit(0))
	})
}

// The instance that holds the lease, and owns the busy service, reports that its service has gone idle, and dies before
// it reads its smaller share; then another service becomes busy. The table tells the next holder of no need at the dead
// instance, but its entry may draw under the large share until that ends; were the next holder to divide the whole cap at
// once, old and new shares together would pass it.
func TestPowerStaysUnderTheCapWhenTheHolderDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, services, powerSettings())
		defer f.close()
		for i := range services {
			f.load(i, 1, 0)
		}
		f.pass(5 * time.Second)
		dead := f.holder(leasePower)
		f.load(dead, 6, 30)
		f.pass(30 * time.Second)
		must.Greater(t, cap4kW/2, f.limit(dead))

		f.load(dead, 1, 0)
		f.awaitReport(dead)
		// Nor is the lease released: the process dies.
		must.True(t, f.store.SetFault(standin.Fault{Kind: standin.FaultOutage, DurationMS: 500}))
		f.stop[dead]()
		must.Greater(t, cap4kW/2, f.limit(dead))
		busy := (dead + 1) % services
		f.load(busy, 6, 30)
		f.pass(60 * time.Second)
		must.NotEq(t, dead, f.holder(leasePower))
		must.Greater(t, cap4kW/2, f.limit(busy))
	})
}

// All services have more to do than the cap allows, and hold nearly all of it. Then the targets' reports freeze, and then
// there are none. Nobody knows any more what is drawn: within the life of the shares all of them together must leave the
// widest guard free, for as long as it lasts; no longer when reports come again.
func TestPowerKeepsItsWidestGuardWithoutReadings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, services, powerSettings())
		defer f.close()
		for i := range services {
			f.load(i, 8, 30)
		}
		f.pass(40 * time.Second)
		cfg := powerplan.FromSnapshot(f.procs[0].Snapshot()).Config
		widest := cfg.CapWatts - cfg.MaxGuardWatts
		must.Greater(t, widest, f.limits())
		f.since = time.Now()
		f.pass(cfg.MaxAge + cfg.TTL + reportEvery)
		for range 20 {
			f.pass(time.Second)
			must.LessEq(t, widest, f.limits())
		}
		f.missing = true
		for range 70 {
			f.pass(time.Second)
			must.LessEq(t, widest, f.limits())
		}
		f.since, f.missing = time.Time{}, false
		f.pass(30 * time.Second)
		must.Greater(t, widest, f.limits())
	})
}

// limits is what all entries together may draw.
func (f *fleet) limits() float64 {
	sum := 0.0
	for i := range f.procs {
		sum += f.limit(i)
	}
	return sum
}

// The reports of a target froze while it was idle. What its owner runs there must count as drawn, or the site's power
// goes to others while this part uses it.
func TestDemandCountsWhatTheOwnerRuns(t *testing.T) {
	p := &powerplan.Part{MaxWatts: 5000, Targets: []settings.Target{{Name: "t", IdleWatts: 300, SeqWatts: 100}}}
	now := time.Now()
	v := tablesView{reports: map[string]report{"t": {&meshpb.TargetReport{Target: "t", Watts: 300}, now}}}
	d := demandOf(p, v, ownedShard{queued: 2, running: 5}, now)
	must.Eq(t, demand{wanted: 1000, modelled: 800, measured: 300}, d)
	d = demandOf(p, tablesView{}, ownedShard{}, now)
	must.Eq(t, demand{wanted: 300, modelled: 300, measured: 300, ageMS: missingAge.Milliseconds()}, d)
}

// awaitReport returns as soon as instance i has left its next report in the table.
func (f *fleet) awaitReport(i int) {
	f.report()
	key := reportPrefix + fmt.Sprintf("s%d/0", i)
	before, _ := f.store.Item(key)
	for now := before; now.Rev == before.Rev; now, _ = f.store.Item(key) {
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
	}
}

func TestNoCapNoPower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 1, someSettings)
		defer f.close()
		time.Sleep(10 * time.Second)
		must.MapLen(t, 0, f.procs[0].tables.view().shares)
	})
}
