package siterun

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/bench"
	"anvilwick.example/anvilwick/lib/enginemodel"
	"anvilwick.example/anvilwick/lib/entryproc"
	"anvilwick.example/anvilwick/lib/loadgen"
	"anvilwick.example/anvilwick/lib/localsite"
	"anvilwick.example/anvilwick/lib/result"
)

// Policies configures a comparison of schedulers over real processes. The same mix also runs in virtual time.
type Policies struct {
	Names      string // policies of the bench, separated by commas; empty: no comparison
	Engines    int
	KVTokens   int
	StallFloor time.Duration // silence after which an entry gives up a stream
	Drain      time.Duration // after the last arrival, bound on the wait for running requests
}

// schedulers maps policies of the bench to the names of the entries' schedulers.
var schedulers = map[string]string{
	bench.PolicyAnvilwick:   entryproc.SchedulerOwner,
	bench.PolicyLeastLoaded: entryproc.SchedulerLeastLoaded,
	bench.PolicyRoundRobin:  entryproc.SchedulerRoundRobin,
}

func (p *Policies) register(fs *flag.FlagSet) {
	fs.StringVar(&p.Names, "policy", "", "instead of the mix, compare policies on one entry and saturated engines, in real and in virtual time: round-robin, least-loaded, anvilwick, separated by commas, or all")
	fs.IntVar(&p.Engines, "policy-engines", 4, "engines of the comparison")
	fs.IntVar(&p.KVTokens, "policy-kv-tokens", 16000, "key-value memory of each of its engines, in tokens")
	fs.DurationVar(&p.StallFloor, "policy-stall-floor", 2*time.Second, "silence after which its entry may give up a stream")
	fs.DurationVar(&p.Drain, "policy-drain", 3*time.Minute, "after its last arrival, longest wait for running requests")
}

func (p *Policies) check() error {
	for _, name := range p.names() {
		if schedulers[name] == "" {
			return fmt.Errorf("-policy: %q is not one of round-robin, least-loaded, anvilwick, all", name)
		}
	}
	if p.Engines < 0 || p.KVTokens < 0 || p.StallFloor < 0 || p.Drain < 0 {
		return errors.New("-policy-engines, -policy-kv-tokens, -policy-stall-floor, -policy-drain: must not be negative")
	}
	return nil
}

func (p *Policies) names() []string {
	switch p.Names {
	case "":
		return nil
	case "all":
		return []string{bench.PolicyRoundRobin, bench.PolicyLeastLoaded, bench.PolicyAnvilwick}
	}
	return strings.Split(p.Names, ",")
}

// ComparePolicies runs the same arrivals under each policy, first over real processes, then in virtual time, and prints the
// bench's columns for both.
func ComparePolicies(ctx context.Context, c Config, w io.Writer) error {
	m, err := c.Load.Mix()
	if err != nil {
		return err
	}
	m = loadgen.Scale(m, c.Load.Load, c.Load.Length)
	m.Engines = c.Policies.Engines
	run := bench.Config{
		Mix:          &m,
		Arrivals:     m.Arrivals(c.Load.Seed, c.Load.Span),
		Window:       c.Load.Span,
		KVTokens:     c.Policies.KVTokens,
		StallTimeout: c.Policies.StallFloor,
	}
	for _, name := range c.Policies.names() {
		r, extra, err := c.runReal(ctx, run, name)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "load time=real seed=%d %s %s\n", c.Load.Seed, columns(r), extra)
		v := bench.RunPolicy(run, name)
		fmt.Fprintf(w, "load time=virtual seed=%d %s given_up_stalled=%d\n", c.Load.Seed, columns(v), v.Aborted)
	}
	return nil
}

// columns returns the columns of the bench's line without those of power, which neither run models.
func columns(r bench.Result) string {
	line, _, _ := strings.Cut(strings.TrimPrefix(r.Line(), "bench "), " over_cap_ticks")
	return line
}

// observer records outcomes by the index of their arrival in the plan.
type observer struct {
	mu       sync.Mutex
	start    time.Time
	observed []bench.ObservedRequest
	codes    map[result.Code]int // of incomplete answers
}

func (o *observer) record(n int, out loadgen.Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := &o.observed[n]
	s.Completed = out.Complete
	if !out.Complete {
		o.codes[out.Code]++
	}
	s.Refused = !out.Complete && out.Code != 0 && result.Lookup(out.Code).Outcome == result.NotRun
	for _, at := range out.Tokens {
		s.Tokens = append(s.Tokens, at.Sub(o.start))
	}
}

// failureCodes lists the codes of incomplete answers with their counts, lowest code first.
func (o *observer) failureCodes() string {
	var names []string
	for _, code := range slices.Sorted(maps.Keys(o.codes)) {
		names = append(names, fmt.Sprintf("%d:%d", code, o.codes[code]))
	}
	return strings.Join(names, ",")
}

// runReal runs the arrivals over real processes. Its second result holds what the bench has no columns for: the number of
// attempts that the entry gave up as stalled, and the codes of incomplete answers.
func (c Config) runReal(ctx context.Context, run bench.Config, policy string) (bench.Result, string, error) {
	site, err := c.startPolicySite(ctx, run, policy)
	if err != nil {
		return bench.Result{}, "", err
	}
	defer site.Close()
	obs, err := c.sendArrivals(ctx, run, site)
	if err != nil {
		return bench.Result{}, "", err
	}
	u, err := usageOf(ctx, site.Entries[0])
	if err != nil {
		return bench.Result{}, "", err
	}
	byEngines, err := preemptions(ctx, site)
	if err != nil {
		return bench.Result{}, "", err
	}
	run.Policy = policy
	extra := fmt.Sprintf("given_up_stalled=%.0f failure_codes=%s", u.stalled, obs.failureCodes())
	return bench.ResultFromObserved(run, obs.observed, byEngines+int(u.moved)), extra, stop(ctx, site)
}

// sendArrivals sends the arrivals and returns what callers observed.
func (c Config) sendArrivals(ctx context.Context, run bench.Config, site *localsite.Site) (*observer, error) {
	obs := &observer{
		start:    time.Now(),
		observed: make([]bench.ObservedRequest, len(run.Arrivals)),
		codes:    make(map[result.Code]int),
	}
	r := loadgen.Runner{
		Mix:            loadgen.Mix{Workload: *run.Mix, Span: run.Window, Entries: 1, Seed: c.Load.Seed},
		Entries:        site.CallerAddrs(),
		Model:          run.Mix.Service,
		Token:          localsite.WorkspaceKey,
		MaxInFlight:    len(run.Arrivals),
		RequestTimeout: run.Window + c.Policies.Drain,
		Stats:          loadgen.NewStats(c.Load.StallFloor),
		OnOutcome:      obs.record,
	}
	r.Run(ctx)
	if wrong := r.Stats.Violations(); len(wrong) > 0 {
		return nil, fmt.Errorf("%d guarantees violated, the first: %s", len(wrong), wrong[0])
	}
	return obs, nil
}

func engineFlags(e enginemodel.Config) []string {
	return []string{
		"-kv-tokens", strconv.Itoa(e.KVTokens), "-cache-tokens", strconv.Itoa(e.CacheTokens),
		"-max-batch", strconv.Itoa(e.MaxBatch),
	}
}

func (c Config) startPolicySite(ctx context.Context, run bench.Config, policy string) (*localsite.Site, error) {
	set := localsite.WorkloadSettings(*run.Mix)
	set.StallFloor = c.Policies.StallFloor
	return start(ctx, localsite.Config{
		Binaries: c.Binaries, Engines: c.Policies.Engines, Plains: 1, Entries: 1,
		EngineFlags: engineFlags(bench.EngineConfig(run)),
		EntryFlags:  []string{"-scheduler", schedulers[policy], "-log-level", "warn"},
		Settings:    set,
	})
}

// preemptions returns the sum over all engines.
func preemptions(ctx context.Context, site *localsite.Site) (int, error) {
	sum := 0
	for _, n := range site.Engines {
		st, err := localsite.Stats(ctx, n)
		if err != nil {
			return 0, err
		}
		sum += int(st.Preemptions)
	}
	return sum, nil
}
