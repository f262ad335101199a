package capacity

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"anvilwick.example/anvilwick/lib/caller"
	"anvilwick.example/anvilwick/lib/httpresp"
	"anvilwick.example/anvilwick/lib/localsite"
)

const (
	streamSpan        = 3 * time.Second
	concurrentStreams = 64
	streamTokens      = 40
)

// streamSite is a site of one entry and one engine whose steps take 20 ms whatever the batch.
type streamSite struct {
	*localsite.Site
	client *caller.Client
}

func startStreams(ctx context.Context, binaries string) (*streamSite, error) {
	s, err := startSite(ctx, binaries, 1, 1, 1, "-step-per-seq", "0", "-step-base", "20ms")
	if err != nil {
		return nil, err
	}
	time.Sleep(siteSettle)
	transport := httpresp.NewTransport(&http.Transport{MaxIdleConnsPerHost: 4 * concurrentStreams})
	return &streamSite{s, &caller.Client{
		Entries: s.CallerAddrs(), Token: localsite.WorkspaceKey("workspace-0"), HTTP: &http.Client{Transport: transport},
	}}, nil
}

// streamCost is the mean cost of one stream.
type streamCost struct {
	streams, tokensPerSec           float64
	entryMicros, engineMicros       float64
	entryCorePercent, entryMemoryMB float64
}

// MeasureStreams measures an entry's processor time by the length of streams, and its memory by concurrent streams, as
// separate processes. The slope by tokens is the cost of a token, the base that of a request. The processor time of the
// stand-in engine is reported for comparison: it is little more than a socket write for each token.
func MeasureStreams(ctx context.Context, r Report, binaries string) error {
	s, err := startStreams(ctx, binaries)
	if err != nil {
		return err
	}
	defer stopSite(ctx, s.Site)
	var cpu, engineCPU, memory, perToken []Point
	for _, length := range []int{1, 10, 40, 100} {
		c, err := s.measure(ctx, r, length, concurrentStreams)
		if err != nil {
			return err
		}
		cpu = append(cpu, Point{float64(length), c.entryMicros})
		engineCPU = append(engineCPU, Point{float64(length), c.engineMicros})
	}
	for _, concurrency := range []int{32, 64, 96, 128} {
		c, err := s.measure(ctx, r, streamTokens, concurrency)
		if err != nil {
			return err
		}
		memory = append(memory, Point{float64(concurrency), c.entryMemoryMB})
		perToken = append(perToken, Point{float64(concurrency), c.entryMicros / streamTokens})
	}
	r.fit("stream", "entry_cpu_us", "token", cpu)
	r.fit("stream", "engine_cpu_us", "token", engineCPU)
	r.fit("stream", "entry_memory_mb", "stream_at_once", memory)
	r.fit("stream", "entry_cpu_us_per_token", "at_once", perToken)
	return nil
}

func (s *streamSite) measure(ctx context.Context, r Report, length, concurrency int) (c streamCost, err error) {
	before, err := usageOf(ctx, s.Entries[0])
	if err != nil {
		return c, err
	}
	engine, err := processCPU(s.Engines[0].PID())
	if err != nil {
		return c, err
	}
	n, err := s.run(ctx, length, concurrency)
	if err != nil {
		return c, err
	}
	engineAfter, err := processCPU(s.Engines[0].PID())
	if err != nil {
		return c, err
	}
	after, err := usageOf(ctx, s.Entries[0])
	if err != nil {
		return c, err
	}
	took := after.at.Sub(before.at).Seconds()
	c = streamCost{
		streams:          float64(n),
		tokensPerSec:     float64(n*int64(length)) / took,
		entryMicros:      micros(after.cpu-before.cpu) / float64(n),
		engineMicros:     micros(engineAfter-engine) / float64(n),
		entryCorePercent: 100 * (after.cpu - before.cpu).Seconds() / took,
		entryMemoryMB:    after.memory / 1e6,
	}
	r.point("stream", "tokens=%d streams=%.0f at_once=%d entry_cpu_us_per_stream=%.0f engine_cpu_us_per_stream=%.0f tokens_per_s=%.0f core_percent=%.1f memory_mb=%.1f",
		length, c.streams, concurrency, c.entryMicros, c.engineMicros, c.tokensPerSec, c.entryCorePercent, c.entryMemoryMB)
	return c, nil
}

// run keeps the given number of concurrent streams of a length running for streamSpan and returns how many it started.
func (s *streamSite) run(ctx context.Context, length, concurrency int) (int64, error) {
	end := time.Now().Add(streamSpan)
	var n atomic.Int64
	errs := make(chan error, concurrency)
	var wg sync.WaitGroup
	for i := range concurrency {
		wg.Go(func() {
			for time.Now().Before(end) {
				prompt := fmt.Sprintf("stream %d %d [len=%d]", i, n.Add(1), length)
				call := caller.Call{Model: siteModel, Prompt: prompt, Class: "standard"}
				if _, err := s.client.Stream(ctx, call, func(caller.Token) {}); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	wg.Wait()
	close(errs)
	return n.Load(), <-errs
}
