package platform_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/platformapi"
	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

// start returns a stand-in platform and a client of it, both in the test's virtual time.
func start(t *testing.T, sc standin.Config, cc platform.Config) (*standin.Server, *platform.Client) {
	t.Helper()
	s := standin.New(sc)
	cc.Addr = "127.0.0.1:1"
	cc.Transport = s.Transport()
	return s, platform.New(cc)
}

func put(key, value string, rev uint64) platformapi.Txn {
	return platformapi.Txn{
		Conds: []platformapi.Cond{{Key: key, Rev: rev}},
		Puts:  []platformapi.Put{{Key: key, Value: []byte(value)}},
	}
}

func TestTxnAndReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, c := start(t, standin.Config{}, platform.Config{})
		res, err := c.Txn(t.Context(), put("a/1", "x", 0))
		must.NoError(t, err)
		must.True(t, res.Committed)
		res, err = c.Txn(t.Context(), put("a/1", "y", 0))
		must.NoError(t, err)
		must.False(t, res.Committed)
		must.Eq(t, "x", string(res.Failed[0].Value))
		it, ok, err := c.Get(t.Context(), "a/1")
		must.NoError(t, err)
		must.True(t, ok)
		must.Eq(t, 1, it.Rev)
		_, ok, err = c.Get(t.Context(), "absent")
		must.NoError(t, err)
		must.False(t, ok)
		page, err := c.Range(t.Context(), "a/", 0, 10)
		must.NoError(t, err)
		must.Len(t, 1, page.Items)
	})
}

// A write takes effect and its answer is lost. If it were reported as failed, the caller would write a second time
// or report as failed a write that took effect; reading the operation id back gives the first result.
func TestLostAnswerIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := start(t, standin.Config{}, platform.Config{})
		s.SetFault(standin.Fault{Kind: standin.FaultLoseAnswer, Count: 1, WritesOnly: true})
		res, err := c.Txn(t.Context(), put("k", "v", 0))
		must.NoError(t, err)
		must.True(t, res.Committed)
		must.Eq(t, 1, res.Rev)
	})
}

// The link is so slow that the write takes effect after the client's timeout, and after the operation id was read back
// as absent. That 404 must not be taken as proof, or a committed write would be reported as "not committed".
func TestSlowWriteIsResolvedAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := start(t, standin.Config{}, platform.Config{})
		s.SetFault(standin.Fault{Kind: standin.FaultSlow, DelayMS: 1500, Count: 1, WritesOnly: true})
		res, err := c.Txn(t.Context(), put("k", "v", 0))
		must.NoError(t, err)
		must.True(t, res.Committed)
		time.Sleep(2 * time.Second)
		it, _ := s.Item("k")
		must.Eq(t, 1, it.Rev) // the late first attempt wrote nothing more
	})
}

// Every answer is lost, so the write can't be resolved: the caller must get Unknown, never NotCommitted, since the
// write took effect.
func TestUnresolvedWriteIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := start(t, standin.Config{}, platform.Config{})
		s.SetFault(standin.Fault{Kind: standin.FaultLoseAnswer})
		_, err := c.Txn(t.Context(), put("k", "v", 0))
		must.True(t, platform.IsUnknown(err))
		must.False(t, platform.IsNotCommitted(err))
		_, ok := s.Item("k")
		must.True(t, ok)
	})
}

// The store is down for three hours. After the first failures callers are refused at once with NotCommitted and
// a retry time; after the store's return, writes succeed again within the breaker's time.
func TestLongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := start(t, standin.Config{}, platform.Config{SettleTimeout: 500 * time.Millisecond, BreakerOpen: time.Second})
		s.SetFault(standin.Fault{Kind: standin.FaultOutage, DurationMS: (3 * time.Hour).Milliseconds()})
		for range platform.DefaultBreakerAfter {
			_, err := c.Txn(t.Context(), put("k", "v", 0))
			must.Error(t, err)
		}
		for range 170 {
			time.Sleep(time.Minute)
			_, _ = c.Txn(t.Context(), put("k", "v", 0)) // the probe
			from := time.Now()
			_, err := c.Txn(t.Context(), put("k", "v", 0))
			must.True(t, platform.IsNotCommitted(err))
			must.Eq(t, 0, time.Since(from))
			must.Positive(t, platform.RetryAfter(err))
		}
		time.Sleep(15 * time.Minute)
		res, err := c.Txn(t.Context(), put("k", "v", 0))
		must.NoError(t, err)
		must.True(t, res.Committed)
	})
}

// Three instances share the site's 30 writes a second. An instance that used all it could get would starve the
// others' leases; together they must stay within the platform's limit, so that it rejects none of them.
func TestBudgetIsSharedOverInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{WritesPerSec: 33})
		var wg sync.WaitGroup
		var mu sync.Mutex
		total := 0
		for n := range 3 {
			c := platform.New(platform.Config{Addr: "127.0.0.1:1", Transport: s.Transport(), WritesPerSec: 30, Live: 3})
			wg.Go(func() {
				for i := 0; ; i++ {
					_, err := c.Txn(t.Context(), put(fmt.Sprint(n, "/", i), "v", 0))
					must.NoError(t, err)
					if time.Now().After(epoch.Add(10 * time.Second)) {
						return
					}
					mu.Lock()
					total++
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		must.Between(t, 290, total, 310)
	})
}

// epoch is the start of virtual time.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// Ten inserts share one write, and the key of one exists already. That insert must fail with the existing item; the
// other nine, which the platform rejected together with it, must be committed.
func TestGroupOutcomesAreIndependent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := start(t, standin.Config{}, platform.Config{})
		_, err := c.Txn(t.Context(), put("g/4", "old", 0))
		must.NoError(t, err)
		var wg sync.WaitGroup
		for i := range 10 {
			wg.Go(func() {
				res, err := c.GroupTxn(t.Context(), put(fmt.Sprint("g/", i), "new", 0))
				must.NoError(t, err)
				must.Eq(t, i != 4, res.Committed)
				if i == 4 {
					must.Eq(t, "old", string(res.Failed[0].Value))
				}
			})
		}
		wg.Wait()
		it, _ := s.Item("g/4")
		must.Eq(t, "old", string(it.Value))
		it, _ = s.Item("g/9")
		must.Eq(t, 2, it.Rev) // nine inserts are one write; the failed group used no revision
	})
}

// Two callers insert the same key at once in one process: exactly one of them must be told that it committed.
func TestGroupNeverSharesAKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := start(t, standin.Config{}, platform.Config{})
		s.SetFault(standin.Fault{Kind: standin.FaultLoseAnswer, Probability: 0.5, WritesOnly: true})
		var wg sync.WaitGroup
		var mu sync.Mutex
		won := 0
		for i := range 20 {
			wg.Go(func() {
				res, err := c.GroupTxn(t.Context(), put("one", fmt.Sprint(i), 0))
				must.NoError(t, err)
				if res.Committed {
					mu.Lock()
					won++
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		must.Eq(t, 1, won)
	})
}

// A caller that leaves before its group was sent gets NotCommitted; one that leaves while the group is in flight
// gets Unknown.
func TestGroupWithdrawal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := start(t, standin.Config{AnswerDelay: 100 * time.Millisecond}, platform.Config{})
		early, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err := c.GroupTxn(early, put("early", "v", 0))
		must.True(t, platform.IsNotCommitted(err))
		late, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err = c.GroupTxn(late, put("late", "v", 0))
		must.True(t, platform.IsUnknown(err))
		time.Sleep(time.Second)
		_, ok := s.Item("early")
		must.False(t, ok)
		_, ok = s.Item("late")
		must.True(t, ok)
	})
}
