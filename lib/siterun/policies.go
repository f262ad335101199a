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

// Policies says how to compare schedulers over real processes. The same mix runs in virtual time beside it.
type Policies struct {
	Names      string // of the bench, separated by commas; empty: no comparison
	Engines    int
	KVTokens   int
	StallFloor time.Duration // silence after which entries give a stream up
	Drain      time.Duration // after the last arrival, bound on waiting
}

// schedulers gives the entries' name of a policy of the bench.
var schedulers = map[string]string{
	bench.PolicyAnvilwick:   entryproc.SchedulerOwner,
	bench.PolicyLeastLoaded: entryproc.SchedulerLeastLoaded,
	bench.PolicyRoundRobin:  entryproc.SchedulerRoundRobin,
}

func (p *Policies) register(fs *flag.FlagSet) {
	fs.StringVar(&p.Names, "policy", "", "in place of the mix, compare policies on one entry and crowded engines, in real and in virtual time: round-robin, least-loaded, anvilwick, separated by commas, or all")
	fs.IntVar(&p.Engines, "policy-engines", 4, "engines of the comparison")
	fs.IntVar(&p.KVTokens, "policy-kv-tokens", 16000, "memory of each of its engines, in tokens")
	fs.DurationVar(&p.StallFloor, "policy-stall-floor", 2*time.Second, "silence after which its entry may give a stream up")
	fs.DurationVar(&p.Drain, "policy-drain", 3*time.Minute, "after its last arrival, longest wait for what still runs")
}

func (p *Policies) check() error {
	for _, name := range p.names() {
		if schedulers[name] == "" {
			return fmt.Errorf("-policy: %q is none of round-robin, least-loaded, anvilwick, all", name)
		}
	}
	if p.Engines < 0 || p.KVTokens < 0 || p.StallFloor < 0 || p.Drain < 0 {
		return errors.New("-policy-engines, -policy-kv-tokens, -policy-stall-floor, -policy-drain: can't be negative")
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

// ComparePolicies runs the same arrivals under each policy, first over real processes, then in virtual time, and prints
// the bench's columns for both.
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
		r, more, err := c.real(ctx, run, name)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "load time=real seed=%d %s %s\n", c.Load.Seed, columns(r), more)
		v := bench.RunPolicy(run, name)
		fmt.Fprintf(w, "load time=virtual seed=%d %s given_up_stalled=%d\n", c.Load.Seed, columns(v), v.Aborted)
	}
	return nil
}

// columns are those of the bench's line; power is not at work in either run.
func columns(r bench.Result) string {
	line, _, _ := strings.Cut(strings.TrimPrefix(r.Line(), "bench "), " over_cap_ticks")
	return line
}

// observer notes outcomes by their place in the plan.
type observer struct {
	mu    sync.Mutex
	start time.Time
	seen  []bench.ObservedRequest
	codes map[result.Code]int // of answers that are not whole
}

func (o *observer) note(n int, out loadgen.Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := &o.seen[n]
	s.Completed = out.Complete
	if !out.Complete {
		o.codes[out.Code]++
	}
	s.Refused = !out.Complete && out.Code != 0 && result.Lookup(out.Code).Outcome == result.NotRun
	for _, at := range out.Tokens {
		s.Tokens = append(s.Tokens, at.Sub(o.start))
	}
}

// failures names the codes, lowest first.
func (o *observer) failures() string {
	var names []string
	for _, code := range slices.Sorted(maps.Keys(o.codes)) {
		names = append(names, fmt.Sprintf("%d:%d", code, o.codes[code]))
	}
	return strings.Join(names, ",")
}

// real runs the plan over processes of its own. It also returns what the bench has no column for: the attempts that the
// entry gave up as stalled, and the codes of answers that are not whole.
func (c Config) real(ctx context.Context, run bench.Config, policy string) (bench.Result, string, error) {
	site, err := c.policySite(ctx, run, policy)
	if err != nil {
		return bench.Result{}, "", err
	}
	defer site.Close()
	obs, err := c.send(ctx, run, site)
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
	more := fmt.Sprintf("given_up_stalled=%.0f failure_codes=%s", u.stalled, obs.failures())
	return bench.ResultFromObserved(run, obs.seen, byEngines+int(u.moved)), more, stop(ctx, site)
}

// send sends the plan and returns what callers saw.
func (c Config) send(ctx context.Context, run bench.Config, site *localsite.Site) (*observer, error) {
	obs := &observer{
		start: time.Now(),
		seen:  make([]bench.ObservedRequest, len(run.Arrivals)),
		codes: make(map[result.Code]int),
	}
	r := loadgen.Runner{
		Mix:            loadgen.Mix{Workload: *run.Mix, Span: run.Window, Entries: 1, Seed: c.Load.Seed},
		Entries:        site.CallerAddrs(),
		Model:          run.Mix.Service,
		Token:          localsite.WorkspaceKey,
		MaxInFlight:    len(run.Arrivals),
		RequestTimeout: run.Window + c.Policies.Drain,
		Stats:          loadgen.NewStats(c.Load.StallFloor),
		OnOutcome:      obs.note,
	}
	r.Run(ctx)
	if wrong := r.Stats.Violations(); len(wrong) > 0 {
		return nil, fmt.Errorf("%d broken promises, the first: %s", len(wrong), wrong[0])
	}
	return obs, nil
}

func engineFlags(e enginemodel.Config) []string {
	return []string{
		"-kv-tokens", strconv.Itoa(e.KVTokens), "-cache-tokens", strconv.Itoa(e.CacheTokens),
		"-max-batch", strconv.Itoa(e.MaxBatch),
	}
}

func (c Config) policySite(ctx context.Context, run bench.Config, policy string) (*localsite.Site, error) {
	set := localsite.WorkloadSettings(*run.Mix)
	set.StallFloor = c.Policies.StallFloor
	return start(ctx, localsite.Config{
		Binaries: c.Binaries, Engines: c.Policies.Engines, Plains: 1, Entries: 1,
		EngineFlags: engineFlags(bench.EngineConfig(run)),
		EntryFlags:  []string{"-scheduler", schedulers[policy], "-log-level", "warn"},
		Settings:    set,
	})
}

// preemptions adds those of all engines.
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
