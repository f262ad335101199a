package guardlink

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"anvilwick.example/anvilwick/lib/limit"
)

// BenchmarkLimitTraffic measures the bytes that limits cost on the network: entries in one process over real sockets, with
// keys in use at every entry, twenty requests per second and entry, half a second each. Run it with -benchtime=1x. A node's
// figure counts both directions and the yamux pings of its links; with keys=0 it is the cost of holder support and pings.
func BenchmarkLimitTraffic(b *testing.B) {
	for _, c := range []struct{ entries, keys int }{{2, 30}, {4, 30}, {8, 30}, {16, 30}, {8, 0}, {16, 0}, {8, 120}} {
		b.Run(fmt.Sprintf("entries=%d/keys=%d", c.entries, c.keys), func(b *testing.B) {
			procs := startAll(b, c.entries, limit.DefaultConfig)
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			if c.keys > 0 {
				for i, p := range procs {
					wg.Go(func() { p.request(ctx, uint64(i), c.keys) })
				}
			}
			time.Sleep(2 * limit.DefaultConfig.HandoverDelay())
			for b.Loop() {
				measureTraffic(b, procs)
			}
			cancel()
			wg.Wait()
		})
	}
}

const (
	trafficSpan    = 4 * time.Second
	requestSpacing = 50 * time.Millisecond
	requestLength  = 500 * time.Millisecond
)

func measureTraffic(b *testing.B, procs []*process) {
	before := bytesOf(procs)
	start := time.Now()
	time.Sleep(trafficSpan)
	perSecond := float64(bytesOf(procs)-before) / time.Since(start).Seconds()
	b.ReportMetric(perSecond/float64(len(procs)), "B/s/entry")
	b.ReportMetric(0, "ns/op")
}

func bytesOf(procs []*process) int64 {
	sum := int64(0)
	for _, p := range procs {
		sent, received := p.node.Bytes()
		sum += sent + received
	}
	return sum
}

// request sends requests until ctx is done.
func (p *process) request(ctx context.Context, seed uint64, keys int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for ctx.Err() == nil {
		key := limit.Key{Workspace: fmt.Sprint("planner-llm/workspace-", rng.IntN(keys)), Class: "urgent"}
		if p.limits.Acquire(ctx, key).Verdict == limit.Admitted {
			time.AfterFunc(requestLength, func() { p.limits.Release(key) })
		}
		time.Sleep(requestSpacing)
	}
}

// BenchmarkFollowDemand measures how long it takes until nine tenths of a limit of 64 have moved from one of eight entries to
// another, when all requests (300 ms each) switch at once. Run it with -benchtime=5x.
func BenchmarkFollowDemand(b *testing.B) {
	procs := startAll(b, 8, limit.DefaultConfig)
	time.Sleep(2 * limit.DefaultConfig.HandoverDelay())
	current := 0
	procs[current].saturate(b, 64)
	total := time.Duration(0)
	for b.Loop() {
		start := time.Now()
		current = (current + 3) % len(procs)
		procs[current].saturate(b, 58)
		total += time.Since(start)
		procs[current].saturate(b, 64)
	}
	b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "ms/move")
	b.ReportMetric(0, "ns/op")
}

// saturate sends more requests than are admitted, until want are in progress.
func (p *process) saturate(b *testing.B, want int64) {
	b.Helper()
	var inProgress atomic.Int64
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if p.limits.Acquire(context.Background(), wideKey).Verdict == limit.Admitted {
			inProgress.Add(1)
			time.AfterFunc(300*time.Millisecond, func() {
				inProgress.Add(-1)
				p.limits.Release(wideKey)
			})
		}
		if inProgress.Load() >= want {
			return
		}
	}
	b.Fatalf("%d of %d in progress", inProgress.Load(), want)
}
