package siterun

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"anvilwick.example/anvilwick/lib/caller"
	"anvilwick.example/anvilwick/lib/httpresp"
	"anvilwick.example/anvilwick/lib/localsite"
	"anvilwick.example/anvilwick/lib/standin/engine"
	"anvilwick.example/anvilwick/lib/workload"
)

// The streams of Compare run in pairs at the same time on the same engine, one directly to it and one through an entry, so
// that the engine's steps and the load of the machine affect both alike.
const (
	compareModel     = "compare"
	compareWorkspace = "compare"
	compareTokens    = 200
	histLowest       = 1 // microseconds
	histHighest      = int64(time.Minute / time.Microsecond)
	histDigits       = 3
)

// latencies holds the latencies that callers measured on one path, in microseconds.
type latencies struct {
	mu         sync.Mutex
	ttft       *hdrhistogram.Histogram
	interToken *hdrhistogram.Histogram
	tokens     int
}

func newLatencies() *latencies {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(histLowest, histHighest, histDigits) }
	return &latencies{ttft: h(), interToken: h()}
}

func (s *latencies) add(sent time.Time, tokens []time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := sent
	for i, at := range tokens {
		h := s.interToken
		if i == 0 {
			h = s.ttft
		}
		_ = h.RecordValue(min(max(at.Sub(last).Microseconds(), histLowest), histHighest)) // clamped, so it can't fail
		last = at
	}
	s.tokens += len(tokens)
}

// Compare measures the latency that an entry adds to a stream and the entry's resource usage, on a site of its own.
func Compare(ctx context.Context, c Config, w io.Writer) error {
	site, err := c.startCompareSite(ctx)
	if err != nil {
		return err
	}
	defer site.Close()
	direct, through := newLatencies(), newLatencies()
	if err := warmUp(ctx, site); err != nil {
		return err
	}
	before, err := usageOf(ctx, site.Entries[0])
	if err != nil {
		return err
	}
	if err := c.runPairs(ctx, site, direct, through); err != nil {
		return err
	}
	after, err := usageOf(ctx, site.Entries[0])
	if err != nil {
		return err
	}
	printCompare(w, c, direct, through, after.cpu-before.cpu, after.memory)
	return stop(ctx, site)
}

func (c Config) startCompareSite(ctx context.Context) (*localsite.Site, error) {
	return start(ctx, localsite.Config{
		Binaries: c.Binaries, Engines: 1, Plains: 1, Entries: 1,
		EngineFlags: []string{"-max-batch", strconv.Itoa(4 * c.Compare), "-kv-tokens", "2000000"},
		EntryFlags:  []string{"-log-level", "warn"},
		Settings: localsite.Settings{
			Model: compareModel, Service: compareModel, Route: "/plain", Workspaces: []string{compareWorkspace},
			Classes: []workload.Class{{Name: "standard", Priority: 1, MaxWait: time.Minute, QueueBound: 10000}},
		},
	})
}

// warmUp runs one stream through the entry. On a site that has just started, the owner of the shard places nothing until it
// has received reports of what runs already; that wait is no part of the comparison.
func warmUp(ctx context.Context, site *localsite.Site) error {
	c := &caller.Client{Entries: site.CallerAddrs(), Token: localsite.WorkspaceKey(compareWorkspace), HTTP: httpresp.DefaultClient}
	return timeStream(ctx, c, newLatencies(), "warm-up")
}

// runPairs keeps c.Compare pairs of streams running for c.Load.Span.
func (c Config) runPairs(ctx context.Context, site *localsite.Site, direct, through *latencies) error {
	transport := httpresp.NewTransport(&http.Transport{MaxIdleConnsPerHost: 2 * c.Compare})
	defer transport.CloseIdleConnections()
	client := func(addr string) *caller.Client {
		return &caller.Client{Entries: []string{addr}, Token: localsite.WorkspaceKey(compareWorkspace), HTTP: &http.Client{Transport: transport}}
	}
	directClient, entryClient := client(site.Engines[0].Addr), client(site.Entries[0].Addr)
	end := time.Now().Add(c.Load.Span)
	var wg sync.WaitGroup
	errs := make(chan error, 2*c.Compare)
	for n := range c.Compare {
		for way, run := range map[string]func(string) error{
			"direct":  func(name string) error { return timeStream(ctx, directClient, direct, name) },
			"through": func(name string) error { return timeStream(ctx, entryClient, through, name) },
		} {
			wg.Go(func() {
				for i := 0; time.Now().Before(end); i++ {
					if err := run(fmt.Sprintf("%s %d %d", way, n, i)); err != nil {
						errs <- err
						return
					}
				}
			})
		}
	}
	wg.Wait()
	close(errs)
	return <-errs
}

// timeStream runs one stream, checks that the answer is complete, and records its latencies.
func timeStream(ctx context.Context, c *caller.Client, s *latencies, name string) error {
	prompt := fmt.Sprintf("%s [len=%d]", name, compareTokens)
	times := make([]time.Time, 0, compareTokens)
	var text strings.Builder
	sent := time.Now()
	_, err := c.Stream(ctx, caller.Call{Model: compareModel, Prompt: prompt, Class: "standard"}, func(t caller.Token) {
		times = append(times, t.At)
		text.WriteString(t.Text)
	})
	if err != nil {
		return err
	}
	s.add(sent, times)
	return engine.CheckAnswer(prompt, text.String(), compareTokens)
}

func printCompare(w io.Writer, c Config, direct, through *latencies, cpu, memory float64) {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	d99, t99 := ms(direct.interToken, 99), ms(through.interToken, 99)
	fmt.Fprintf(w, "compare: pairs=%d span_s=%.0f tokens_direct=%d tokens_through=%d "+
		"ttft_p50_direct_ms=%.2f ttft_p50_through_ms=%.2f ttft_p99_direct_ms=%.2f ttft_p99_through_ms=%.2f "+
		"between_p50_direct_ms=%.2f between_p50_through_ms=%.2f between_p99_direct_ms=%.2f between_p99_through_ms=%.2f "+
		"between_p99_added_percent=%.1f entry_cpu_us_per_token=%.1f entry_memory_mb=%.1f\n",
		c.Compare, c.Load.Span.Seconds(), direct.tokens, through.tokens,
		ms(direct.ttft, 50), ms(through.ttft, 50), ms(direct.ttft, 99), ms(through.ttft, 99),
		ms(direct.interToken, 50), ms(through.interToken, 50), d99, t99,
		100*(t99-d99)/d99, 1e6*cpu/float64(max(1, through.tokens)), memory/1e6)
}
