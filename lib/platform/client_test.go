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

// start returns a stand-in and a client of it, both in the caller's virtual time.
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

// The caller's write takes effect and its answer is lost. Reported as failed, the caller would write a second time,
// or deny a write that stands; the operation id read back gives the first result.
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

// The link is so slow that the write takes effect after its sender's timeout, and after the read of its operation
// id found nothing. Taken as proof, that 404 would make a liar of whoever reports "not committed".
func TestSlowWriteIsSettledAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := start(t, standin.Config{}, platform.Config{})
		s.SetFault(standin.Fault{Kind: standin.FaultSlow, DelayMS: 1500, Count: 1, WritesOnly: true})
		res, err := c.Txn(t.Context(), put("k", "v", 0))
		must.NoError(t, err)
		must.True(t, res.Committed)
		time.Sleep(2 * time.Second)
		it, _ := s.Item("k")
		must.Eq(t, 1, it.Rev) // the late first try wrote nothing more
	})
}

// Every answer is lost and the store goes down before the write can be settled: the caller is told Unknown, never
// NotCommitted, for the write stands.
func TestUnsettledWriteIsUnknown(t *testing.T) {
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

// The store is down for three hours. After the first failures callers are refused at once, proved not committed and
// with a time to come back; within the breaker's time after its return, writes go through again.
func TestOutageOfHours(t *testing.T) {
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

// Three instances share the site's 30 writes a second. An instance that took all it could get would starve the
// others' leases; together they stay within the platform's limit, so nobody is turned away there.
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

// epoch is when virtual time starts.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// Ten inserts share one write, and the key of one exists already. Its insert is refused with the item that stands
// there; the other nine, which the platform turned down with it, are committed all the same.
func TestGroupKeepsOutcomesApart(t *testing.T) {
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
		must.Eq(t, 2, it.Rev) // nine inserts are one write; the group that failed left no revision
	})
}

// Two callers insert one key at the same moment, in one process: exactly one of them is told that it committed.
func TestGroupNeverJoinsOneKey(t *testing.T) {
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

// A caller that leaves before its group was sent gets a proof that nothing was written; one that leaves while the
// group is on its way does not.
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
