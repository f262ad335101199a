package prove

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/caller"
	"anvilwick.example/anvilwick/lib/faultlog"
	"anvilwick.example/anvilwick/lib/faultproxy"
	"anvilwick.example/anvilwick/lib/history"
	"anvilwick.example/anvilwick/lib/httpresp"
	"anvilwick.example/anvilwick/lib/localsite"
	"anvilwick.example/anvilwick/lib/proc"
	"anvilwick.example/anvilwick/lib/workload"
)

const (
	workspace    = "treaty-desk"
	model        = "treaty-70b"
	service      = "anvilwick-treaty"
	route        = "/ledger"
	requestClass = "standard"
	maxWait      = 8 * time.Second  // of a request in a queue
	deadline     = 20 * time.Second // of a request: a call that must not be retried waits this long for a silent target
	startLimit   = 40 * time.Second
	idleLimit    = 45 * time.Second // after the last fault ended, for every request to end
)

// run is the state of one run: the site, its clients, and what they observed.
type run struct {
	cfg         Config
	site        *localsite.Site
	proxies     faultproxy.Set
	client      *caller.Client
	startedAt   time.Time
	history     history.Log
	faultLog    faultlog.Log
	faultCounts map[string]int
	opCounts    map[string]int
	out         io.Writer

	mu            sync.Mutex
	violations    []string
	outcomeCounts map[string]int
	accepted      []acceptedRevision
	observed      []observation
	watcher       *proc.OutputScanner
}

// Run executes the mode that cfg selects and writes a report to out. It returns ErrViolated if a guarantee was violated.
func Run(ctx context.Context, cfg Config, out io.Writer) error {
	switch {
	case cfg.CheckFile != "":
		return checkFile(cfg.CheckFile, out)
	case cfg.Measure == MeasureRecovery:
		return measureRecovery(ctx, cfg, out)
	case cfg.Measure == MeasureSettings:
		return measureSettings(ctx, cfg, out)
	}
	r := &run{cfg: cfg, out: out, faultCounts: map[string]int{}, opCounts: map[string]int{}, outcomeCounts: map[string]int{}}
	if err := r.startSite(ctx); err != nil {
		return err
	}
	defer r.close()
	r.runPlan(ctx)
	return r.report()
}

// startSite starts the site, with a proxy in every link so that links can be cut and stalled.
func (r *run) startSite(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	r.watcher = &proc.OutputScanner{Patterns: failurePatterns}
	r.faultLog.GracePeriod = faultSlack
	var tee io.Writer = r.watcher
	if r.cfg.Logs != "" {
		f, err := os.Create(r.cfg.Logs)
		if err != nil {
			return err
		}
		tee = io.MultiWriter(f, r.watcher)
	}
	var err error
	r.site, err = localsite.Start(ctx, siteConfig(r.cfg.Binaries, r.proxies.Add, tee))
	if err != nil {
		return err
	}
	r.client = clientOf(r.site)
	r.startedAt = time.Now()
	return nil
}

func siteConfig(bin string, via func(link, addr string) (string, error), tee io.Writer) localsite.Config {
	return localsite.Config{
		Binaries: bin, Engines: siteEngines, Plains: sitePlains, Entries: siteEntries, Output: tee, LinkProxy: via,
		EngineFlags: []string{"-report-lag", "100ms", "-step-base", "8ms"}, EngineSoftware: []string{"v1", "v2"},
		Settings: localsite.Settings{
			Model: model, Service: service, Route: route, Deadline: deadline, Workspaces: []string{workspace},
			Classes: []workload.Class{{Name: requestClass, Priority: 50, MaxWait: maxWait, QueueBound: 200, MaxPreemptions: 2}},
		},
	}
}

func clientOf(site *localsite.Site) *caller.Client {
	return &caller.Client{
		Entries: site.CallerAddrs(), Token: localsite.WorkspaceKey(workspace),
		HTTP: &http.Client{Transport: httpresp.NewTransport(&http.Transport{MaxIdleConnsPerHost: 64})},
	}
}

func (r *run) close() {
	r.site.Close()
	r.proxies.Close()
}

// runPlan runs the plan and then waits until the site has recovered and every request has ended.
func (r *run) runPlan(ctx context.Context) {
	watchCtx, stopWatch := context.WithCancel(ctx)
	var watching, working sync.WaitGroup
	watching.Go(func() { r.watchSettings(watchCtx) })
	if r.cfg.Faults {
		working.Go(func() { r.injectAll(ctx, planFaults(r.cfg.Seed, r.cfg.Span, r.cfg.MaxFaults)) })
	}
	working.Go(func() { r.runOperations(ctx, planOperations(r.cfg.Seed, r.cfg.Span, r.cfg.Rate)) })
	working.Wait()
	r.checkRecovered(ctx)
	stopWatch()
	watching.Wait()
	r.collectHistory(ctx)
}

func (r *run) due(ctx context.Context, at time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(r.startedAt.Add(at))):
		return true
	}
}

// addViolation records and prints a violated guarantee.
func (r *run) addViolation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	at := time.Since(r.startedAt).Round(time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf("at=%v %s", at, text))
	fmt.Fprintf(r.out, "violation at=%v %s\n", at, text)
}

func (r *run) countOutcome(kind, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomeCounts[kind+" "+outcome]++
}

// failurePatterns match log lines of violated invariants, and panics, in the processes' output.
var failurePatterns = append([]string{"event=invariant_broken"}, proc.PanicPrefixes...)
