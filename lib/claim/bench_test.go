package claim

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/platformapi"
	"anvilwick.example/anvilwick/lib/result"
	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

// single sends each transaction separately.
type single struct{ *platform.Client }

func (s single) GroupTxn(ctx context.Context, txn platformapi.Txn) (platformapi.TxnResult, error) {
	return s.Txn(ctx, txn)
}

// BenchmarkClaims measures whole claims (insert, sent, finished: three writes) against a table of 300 writes per second, over loopback,
// for one entry with the whole site's budget.
func BenchmarkClaims(b *testing.B) {
	for _, grouped := range []bool{false, true} {
		b.Run(fmt.Sprintf("grouped=%v", grouped), func(b *testing.B) { benchmarkClaims(b, grouped) })
	}
}

func benchmarkClaims(b *testing.B, grouped bool) {
	l, err := standin.Start("127.0.0.1:0", "", standin.Config{})
	must.NoError(b, err)
	defer l.Close(context.Background())
	c := platform.New(platform.Config{Addr: l.Addr(), BudgetWait: time.Minute})
	var store Store = c
	if !grouped {
		store = single{c}
	}
	t := New(store, Config{Holder: Holder{Instance: "a"}, Timeout: time.Minute})
	var n, refused atomic.Int64
	b.SetParallelism(32)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if !claimOnce(t, n.Add(1)) {
				refused.Add(1)
			}
		}
	})
	must.NoError(b, t.Flush(context.Background()))
	b.ReportMetric(float64(int64(b.N)-refused.Load())/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(refused.Load()), "refused")
}

func claimOnce(t *Table, n int64) bool {
	c, _, refused := t.Begin(context.Background(), Request{Workspace: "w", Key: fmt.Sprint(n), Fingerprint: "f"})
	if refused != nil || c.MarkSent(context.Background(), "t", 1) != nil {
		return false
	}
	c.Finish(Summary{Code: result.OK, Status: 200, Body: []byte("done"), Kept: true})
	return true
}
