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
	siteStart    = 40 * time.Second
	siteStop     = 20 * time.Second
	siteSettle   = 6 * time.Second
	idleSpan     = 6 * time.Second
	siteModel    = "capacity"
	sitePowerCap = 1_000_000 // watts: power is planned, but never limits anything
)

func startSite(ctx context.Context, binaries string, entries, engines, workspaces int, engineFlags ...string) (*localsite.Site, error) {
	ctx, cancel := context.WithTimeout(ctx, siteStart)
	defer cancel()
	set := localsite.Settings{
		Model: siteModel, Service: siteModel, Route: "/plain", PowerCap: sitePowerCap, IdleWatts: 100, SeqWatts: 2, MaxBatch: 256,
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

// useDefaultLeaseTTL restarts the control processes with the default lease TTL. A local site uses a shorter one, and attempts to
// acquire leases would be five times as frequent.
func useDefaultLeaseTTL(ctx context.Context, s *localsite.Site) error {
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

// measureIdleSite returns the rates of an entry and of a control process of a site without requests.
func measureIdleSite(ctx context.Context, binaries string, entries, engines, workspaces int) (entry, control rates, err error) {
	s, err := startSite(ctx, binaries, entries, engines, workspaces)
	if err != nil {
		return entry, control, err
	}
	defer stopSite(ctx, s)
	if err := useDefaultLeaseTTL(ctx, s); err != nil {
		return entry, control, err
	}
	time.Sleep(siteSettle)
	var before, after [2][]usage
	for i, nodes := range [][]*localsite.Node{s.Entries, s.Controls} {
		if before[i], err = usagesOf(ctx, nodes); err != nil {
			return entry, control, err
		}
	}
	time.Sleep(idleSpan)
	for i, nodes := range [][]*localsite.Node{s.Entries, s.Controls} {
		if after[i], err = usagesOf(ctx, nodes); err != nil {
			return entry, control, err
		}
	}
	return meanRates(before[0], after[0]), meanRates(before[1], after[1]), nil
}

// sitePoints collects the points of one kind of process by size.
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

func (p *sitePoints) printFits(r Report, probe, by string) {
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

// siteSize is the size of one site.
type siteSize struct{ entries, engines, workspaces int }

// siteSeries is a series of sites that differ in one dimension.
type siteSeries struct {
	by     string
	sizes  []siteSize
	sizeOf func(siteSize) int
}

var allSeries = []siteSeries{
	{"instance", []siteSize{{2, 4, 10}, {4, 4, 10}, {8, 4, 10}}, func(s siteSize) int { return s.entries }},
	{"target_of_shard", []siteSize{{1, 4, 10}, {1, 16, 10}, {1, 28, 10}}, func(s siteSize) int { return s.engines }},
	{"workspace", []siteSize{{1, 4, 120}, {1, 4, 240}, {1, 4, 480}}, func(s siteSize) int { return s.workspaces }},
}

// MeasureSites measures entries and control processes without requests, as separate processes over TLS: by instances, by
// targets and by workspaces. All sites run concurrently, about 120 processes; each process has its own processor clock.
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

// siteRates holds the rates of the two kinds of process of a site.
type siteRates struct{ entry, control rates }

func (series siteSeries) measure(ctx context.Context, binaries string) ([]siteRates, error) {
	out, errs := make([]siteRates, len(series.sizes)), make([]error, len(series.sizes))
	var wg sync.WaitGroup
	for i, s := range series.sizes {
		wg.Go(func() {
			out[i].entry, out[i].control, errs[i] = measureIdleSite(ctx, binaries, s.entries, s.engines, s.workspaces)
		})
	}
	wg.Wait()
	return out, errors.Join(errs...)
}

func (series siteSeries) print(r Report, results []siteRates) {
	var entries, controls sitePoints
	for i, s := range series.sizes {
		size := float64(series.sizeOf(s))
		s.print(r, "idle-entry", results[i].entry)
		s.print(r, "idle-control", results[i].control)
		entries.add(size, results[i].entry)
		controls.add(size, results[i].control)
	}
	entries.printFits(r, "idle-entry", series.by)
	controls.printFits(r, "idle-control", series.by)
}

func (s siteSize) print(r Report, probe string, m rates) {
	r.point(probe, "instances=%d targets=%d workspaces=%d core_percent=%.2f memory_mb=%.1f mesh_bytes_per_s=%.0f http_bytes_per_s=%.0f platform_reads_per_s=%.2f platform_writes_per_s=%.2f",
		s.entries, s.engines, s.workspaces, m.corePercent, m.memoryMB, m.meshBytes, m.httpBytes, m.reads, m.writes)
}
