package capacity

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"anvilwick.example/anvilwick/lib/claim"
	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/result"
	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

const claimsPerRun = 1500 // claims for each number of callers

// MeasureClaims measures complete claims (begun, sent, finished) of one entry against a stand-in of the table over loopback,
// by concurrent callers, since claims that are requested at the same time share writes. Processor time is that of the entry
// and the stand-in together.
func MeasureClaims(ctx context.Context, r Report) error {
	var cpu, writes []Point
	for _, callers := range []int{8, 32, 128} {
		spent, perClaim, bytes, err := runClaims(ctx, callers)
		if err != nil {
			return err
		}
		r.point("claim", "callers=%d claims=%d cpu_us_per_claim=%.0f writes_per_claim=%.3f bytes_per_claim=%.0f",
			callers, claimsPerRun, micros(spent)/claimsPerRun, perClaim, bytes)
		cpu = append(cpu, Point{1 / float64(callers), micros(spent) / claimsPerRun})
		writes = append(writes, Point{1 / float64(callers), perClaim})
	}
	r.fit("claim", "cpu_us_per_claim", "1/callers", cpu)
	r.fit("claim", "writes_per_claim", "1/callers", writes)
	return nil
}

func runClaims(ctx context.Context, callers int) (cpu time.Duration, writes, bytes float64, err error) {
	l, err := standin.Start("127.0.0.1:0", "", standin.Config{Unlimited: true})
	if err != nil {
		return 0, 0, 0, err
	}
	defer l.Close(context.WithoutCancel(ctx))
	transport := newCountingTransport(callers)
	store := platform.New(platform.Config{Addr: l.Addr(), Transport: transport, WritesPerSec: 1e6, BudgetWait: time.Minute})
	table := claim.New(store, claim.Config{Holder: claim.Holder{Instance: "a"}, Timeout: time.Minute})
	from := processTime()
	var next, failed atomic.Int64
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for n := next.Add(1); n <= claimsPerRun; n = next.Add(1) {
				if !claimOnce(ctx, table, n) {
					failed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if err := table.Flush(ctx); err != nil {
		return 0, 0, 0, err
	}
	if n := failed.Load(); n > 0 {
		return 0, 0, 0, fmt.Errorf("%d claims failed", n)
	}
	return processTime() - from, float64(transport.posts.Load()) / claimsPerRun, float64(transport.bytes.Load()) / claimsPerRun, nil
}

func claimOnce(ctx context.Context, t *claim.Table, n int64) bool {
	c, _, refused := t.Begin(ctx, claim.Request{Workspace: "w", Key: fmt.Sprint(n), Fingerprint: "f"})
	if refused != nil || c.MarkSent(ctx, "t", 1) != nil {
		return false
	}
	c.Finish(claim.Summary{Code: result.OK, Status: 200, Body: []byte("done"), Kept: true})
	return true
}
