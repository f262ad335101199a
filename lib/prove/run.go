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
	"anvilwick.example/anvilwick/lib/disturb"
	"anvilwick.example/anvilwick/lib/history"
	"anvilwick.example/anvilwick/lib/localsite"
	"anvilwick.example/anvilwick/lib/proc"
	"anvilwick.example/anvilwick/lib/relay"
	"anvilwick.example/anvilwick/lib/workload"
)

const (
	workspace   = "treaty-desk"
	model       = "treaty-70b"
	service     = "anvilwick-treaty"
	route       = "/ledger"
	classOfAll  = "standard"
	maxWait     = 8 * time.Second  // of a request in a queue
	deadline    = 20 * time.Second // of a request: a call that may not be repeated waits so long for a silent target
	startLimit  = 40 * time.Second
	settleLimit = 45 * time.Second // after the last fault ended, for every request to end
)

// run is one run.
type run struct {
	cfg    Config
	site   *localsite.Site
	relays relay.Set
	client *caller.Client
	began  time.Time
	log    history.Log
	down   disturb.Log
	faults map[string]int
	kinds  map[string]int
	out    io.Writer

	mu         sync.Mutex
	violations []string
	outcomes   map[string]int
	accepted   []acceptance
	seen       []sighting
	watcher    *proc.OutputScanner
}

// Run does what cfg says and writes a report to out. The error is not nil when a promise was broken.
func Run(ctx context.Context, cfg Config, out io.Writer) error {
	switch {
	case cfg.Recheck != "":
		return recheck(cfg.Recheck, out)
	case cfg.Measure == MeasureRecovery:
		return measureRecovery(ctx, cfg, out)
	case cfg.Measure == MeasureSettings:
		return measureSettings(ctx, cfg, out)
	}
	r := &run{cfg: cfg, out: out, faults: map[string]int{}, kinds: map[string]int{}, outcomes: map[string]int{}}
	if err := r.open(ctx); err != nil {
		return err
	}
	defer r.close()
	r.drive(ctx)
	return r.report()
}

// open starts the site, with a relay in each link.
func (r *run) open(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	r.watcher = &proc.OutputScanner{Patterns: breachMarks}
	r.down.GracePeriod = slack
	var tee io.Writer = r.watcher
	if r.cfg.Logs != "" {
		f, err := os.Create(r.cfg.Logs)
		if err != nil {
			return err
		}
		tee = io.MultiWriter(f, r.watcher)
	}
	var err error
	r.site, err = localsite.Start(ctx, siteConfig(r.cfg.Binaries, r.relays.Add, tee))
	if err != nil {
		return err
	}
	r.client = clientOf(r.site)
	r.began = time.Now()
	return nil
}

func siteConfig(bin string, via func(link, addr string) (string, error), tee io.Writer) localsite.Config {
	return localsite.Config{
		Binaries: bin, Engines: siteEngines, Plains: sitePlains, Entries: siteEntries, Output: tee, LinkProxy: via,
		EngineFlags: []string{"-report-lag", "100ms", "-step-base", "8ms"},
		Settings: localsite.Settings{
			Model: model, Service: service, Route: route, Deadline: deadline, Workspaces: []string{workspace},
			Classes: []workload.Class{{Name: classOfAll, Priority: 50, MaxWait: maxWait, QueueBound: 200, MaxPreemptions: 2}},
		},
	}
}

func clientOf(site *localsite.Site) *caller.Client {
	return &caller.Client{
		Entries: site.CallerAddrs(), Token: localsite.WorkspaceKey(workspace),
		HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
}

func (r *run) close() {
	r.site.Close()
	r.relays.Close()
}

// drive runs the plan and then waits until the site is whole again and every request has ended.
func (r *run) drive(ctx context.Context) {
	watchCtx, stopWatch := context.WithCancel(ctx)
	var watching, working sync.WaitGroup
	watching.Go(func() { r.watchSettings(watchCtx) })
	if r.cfg.Faults {
		working.Go(func() { r.injectAll(ctx, planFaults(r.cfg.Seed, r.cfg.Span, r.cfg.AtOnce)) })
	}
	working.Go(func() { r.operateAll(ctx, planOperations(r.cfg.Seed, r.cfg.Span, r.cfg.Rate)) })
	working.Wait()
	r.settle(ctx)
	stopWatch()
	watching.Wait()
	r.collect(ctx)
}

func (r *run) due(ctx context.Context, at time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(r.began.Add(at))):
		return true
	}
}

// violated records a broken promise.
func (r *run) violated(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	at := time.Since(r.began).Round(time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf("at=%v %s", at, text))
	fmt.Fprintf(r.out, "violation at=%v %s\n", at, text)
}

func (r *run) count(kind, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[kind+" "+outcome]++
}

// breachMarks begin the lines of broken invariants and panics in the processes' output.
var breachMarks = append([]string{"event=invariant_broken"}, proc.PanicPrefixes...)
