package capacity

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/control"
	"anvilwick.example/anvilwick/lib/localsite"
	"anvilwick.example/anvilwick/lib/proc"
	"anvilwick.example/anvilwick/lib/workload"
)

const (
	siteStart  = 40 * time.Second
	siteStop   = 20 * time.Second
	siteSettle = 6 * time.Second
	siteIdle   = 6 * time.Second
	siteModel  = "capacity"
	siteCap    = 1_000_000 // watts: power is divided, and holds nothing back
)

func startSite(ctx context.Context, binaries string, entries, engines, workspaces int, engineFlags ...string) (*localsite.Site, error) {
	ctx, cancel := context.WithTimeout(ctx, siteStart)
	defer cancel()
	set := localsite.Settings{
		Model: siteModel, Service: siteModel, Route: "/plain", PowerCap: siteCap, IdleWatts: 100, SeqWatts: 2, MaxBatch: 256,
		Classes: []workload.Class{{Name: "standard", Priority: 1, MaxWait: time.Minute, QueueBound: 10000}},
	}
	for i := range workspaces {
		set.Workspaces = append(set.Workspaces, fmt.Sprint("workspace-", i))
	}
	return localsite.Start(ctx, localsite.Config{
		Binaries: binaries, Engines: engines, Plains: 1, Entries: entries, Settings: set,
		EngineFlags: append([]string{"-kv-tokens", "4000000"}, engineFlags...),
		EntryFlags:  []string{"-log-level", "warn"},
	})
}

func stopSite(ctx context.Context, s *localsite.Site) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), siteStop)
	defer cancel()
	_ = s.Stop(ctx)
	s.Close()
}

// ordinaryLeases starts the control processes again with the TTL that operators get: a local site's own is shorter, and
// campaigns for leases would count five times.
func ordinaryLeases(ctx context.Context, s *localsite.Site) error {
	var procs []*proc.Proc
	for _, n := range s.Controls {
		procs = append(procs, n.Proc)
	}
	if err := proc.Terminate(ctx, procs...); err != nil {
		return err
	}
	for _, n := range s.Controls {
		if err := s.Restart(n, "-lease-ttl", control.DefaultLeaseTTL.String()); err != nil {
			return err
		}
	}
	return s.AwaitReady(ctx, s.Controls...)
}

// idleSite returns what an entry and a control process of a site without requests spend.
func idleSite(ctx context.Context, binaries string, entries, engines, workspaces int) (entry, control rates, err error) {
	s, err := startSite(ctx, binaries, entries, engines, workspaces)
	if err != nil {
		return entry, control, err
	}
	defer stopSite(ctx, s)
	if err := ordinaryLeases(ctx, s); err != nil {
		return entry, control, err
	}
	time.Sleep(siteSettle)
	var before, after [2][]usage
	for i, nodes := range [][]*localsite.Node{s.Entries, s.Controls} {
		if before[i], err = usagesOf(ctx, nodes); err != nil {
			return entry, control, err
		}
	}
	time.Sleep(siteIdle)
	for i, nodes := range [][]*localsite.Node{s.Entries, s.Controls} {
		if after[i], err = usagesOf(ctx, nodes); err != nil {
			return entry, control, err
		}
	}
	return meanRates(before[0], after[0]), meanRates(before[1], after[1]), nil
}

// sitePoints collects one kind of process over sizes.
type sitePoints struct {
	core, memory, mesh, http, reads, writes []Point
}

func (p *sitePoints) add(size float64, m rates) {
	p.core = append(p.core, Point{size, m.corePercent})
	p.memory = append(p.memory, Point{size, m.memoryMB})
	p.mesh = append(p.mesh, Point{size, m.meshBytes})
	p.http = append(p.http, Point{size, m.httpBytes})
	p.reads = append(p.reads, Point{size, m.reads * float64(m.processes)})
	p.writes = append(p.writes, Point{size, m.writes * float64(m.processes)})
}

func (p *sitePoints) fits(r Report, probe, by string) {
	r.fit(probe, "core_percent", by, p.core)
	r.fit(probe, "memory_mb", by, p.memory)
	r.fit(probe, "mesh_bytes_per_s", by, p.mesh)
	if p.http[0].Value == 0 {
		return // an entry
	}
	r.fit(probe, "http_bytes_per_s", by, p.http)
	r.fit(probe, "platform_reads_per_s_of_site", by, p.reads)
	r.fit(probe, "platform_writes_per_s_of_site", by, p.writes)
}

// siteSize is the size of one site of a series.
type siteSize struct{ entries, engines, workspaces int }

// siteSeries is a series of sites that differ in one number.
type siteSeries struct {
	by    string
	sizes []siteSize
	of    func(siteSize) int
}

var allSeries = []siteSeries{
	{"instance", []siteSize{{2, 4, 10}, {4, 4, 10}, {8, 4, 10}}, func(s siteSize) int { return s.entries }},
	{"target_of_shard", []siteSize{{1, 4, 10}, {1, 16, 10}, {1, 28, 10}}, func(s siteSize) int { return s.engines }},
	{"workspace", []siteSize{{1, 4, 120}, {1, 4, 240}, {1, 4, 480}}, func(s siteSize) int { return s.workspaces }},
}

// MeasureSites measures what entries and control processes spend while no request comes, as separate processes over TLS:
// by instances, by targets and by workspaces. All sites run side by side, about 120 processes; each has its own clock.
func MeasureSites(ctx context.Context, r Report, binaries string) error {
	results := make([][]siteRates, len(allSeries))
	errs := make([]error, len(allSeries))
	var wg sync.WaitGroup
	for i, series := range allSeries {
		wg.Go(func() { results[i], errs[i] = series.measure(ctx, binaries) })
	}
	wg.Wait()
	for i, series := range allSeries {
		if errs[i] != nil {
			return errs[i]
		}
		series.print(r, results[i])
	}
	return nil
}

// siteRates is what the two kinds of process of a site spend.
type siteRates struct{ entry, control rates }

func (series siteSeries) measure(ctx context.Context, binaries string) ([]siteRates, error) {
	out, errs := make([]siteRates, len(series.sizes)), make([]error, len(series.sizes))
	var wg sync.WaitGroup
	for i, s := range series.sizes {
		wg.Go(func() {
			out[i].entry, out[i].control, errs[i] = idleSite(ctx, binaries, s.entries, s.engines, s.workspaces)
		})
	}
	wg.Wait()
	return out, errors.Join(errs...)
}

func (series siteSeries) print(r Report, results []siteRates) {
	var entries, controls sitePoints
	for i, s := range series.sizes {
		size := float64(series.of(s))
		s.print(r, "idle-entry", results[i].entry)
		s.print(r, "idle-control", results[i].control)
		entries.add(size, results[i].entry)
		controls.add(size, results[i].control)
	}
	entries.fits(r, "idle-entry", series.by)
	controls.fits(r, "idle-control", series.by)
}

func (s siteSize) print(r Report, probe string, m rates) {
	r.point(probe, "instances=%d targets=%d workspaces=%d core_percent=%.2f memory_mb=%.1f mesh_bytes_per_s=%.0f http_bytes_per_s=%.0f platform_reads_per_s=%.2f platform_writes_per_s=%.2f",
		s.entries, s.engines, s.workspaces, m.corePercent, m.memoryMB, m.meshBytes, m.httpBytes, m.reads, m.writes)
}
