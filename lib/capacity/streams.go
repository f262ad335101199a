package capacity

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"anvilwick.example/anvilwick/lib/caller"
	"anvilwick.example/anvilwick/lib/localsite"
)

const (
	streamSpan   = 3 * time.Second
	streamsOnce  = 64
	streamTokens = 40
)

// streamSite is one entry before one engine that takes a step of 20 ms whatever its batch.
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
	transport := &http.Transport{MaxIdleConnsPerHost: 4 * streamsOnce}
	return &streamSite{s, &caller.Client{
		Entries: s.CallerAddrs(), Token: localsite.WorkspaceKey("workspace-0"), HTTP: &http.Client{Transport: transport},
	}}, nil
}

// streamCost is what one stream costs, on the mean.
type streamCost struct {
	streams, tokensPerSec          float64
	entryMicros, engineMicros      float64
	entryCorePercent, entryMemoryM float64
}

// MeasureStreams measures an entry's processor time by the length of streams, and its memory by streams at once, as
// separate processes. The slope by tokens is a token's cost, its base a request's. The stand-in engine's own time is
// given beside it: a write to a socket for each token and little else.
func MeasureStreams(ctx context.Context, r Report, binaries string) error {
	s, err := startStreams(ctx, binaries)
	if err != nil {
		return err
	}
	defer stopSite(ctx, s.Site)
	var cpu, bare, memory, crowded []Point
	for _, length := range []int{1, 10, 40, 100} {
		c, err := s.measure(ctx, r, length, streamsOnce)
		if err != nil {
			return err
		}
		cpu = append(cpu, Point{float64(length), c.entryMicros})
		bare = append(bare, Point{float64(length), c.engineMicros})
	}
	for _, once := range []int{32, 64, 96, 128} {
		c, err := s.measure(ctx, r, streamTokens, once)
		if err != nil {
			return err
		}
		memory = append(memory, Point{float64(once), c.entryMemoryM})
		crowded = append(crowded, Point{float64(once), c.entryMicros / streamTokens})
	}
	r.fit("stream", "entry_cpu_us", "token", cpu)
	r.fit("stream", "engine_cpu_us", "token", bare)
	r.fit("stream", "entry_memory_mb", "stream_at_once", memory)
	r.fit("stream", "entry_cpu_us_per_token", "at_once", crowded)
	return nil
}

func (s *streamSite) measure(ctx context.Context, r Report, length, once int) (c streamCost, err error) {
	before, err := usageOf(ctx, s.Entries[0])
	if err != nil {
		return c, err
	}
	engine, err := cpuOf(s.Engines[0].PID())
	if err != nil {
		return c, err
	}
	n, err := s.run(ctx, length, once)
	if err != nil {
		return c, err
	}
	engineAfter, err := cpuOf(s.Engines[0].PID())
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
		entryMemoryM:     after.memory / 1e6,
	}
	r.point("stream", "tokens=%d streams=%.0f at_once=%d entry_cpu_us_per_stream=%.0f engine_cpu_us_per_stream=%.0f tokens_per_s=%.0f core_percent=%.1f memory_mb=%.1f",
		length, c.streams, once, c.entryMicros, c.engineMicros, c.tokensPerSec, c.entryCorePercent, c.entryMemoryM)
	return c, nil
}

// run keeps so many streams of a length going for streamSpan and returns how many there were.
func (s *streamSite) run(ctx context.Context, length, once int) (int64, error) {
	end := time.Now().Add(streamSpan)
	var n atomic.Int64
	errs := make(chan error, once)
	var wg sync.WaitGroup
	for i := range once {
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
