package control

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/platformapi"
	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

// readCounter counts the reads from the platform by purpose.
type readCounter struct {
	next http.RoundTripper

	mu    sync.Mutex
	reads map[string]int
}

// RoundTrip implements http.RoundTripper.
func (c *readCounter) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodGet && r.Context().Err() == nil {
		c.mu.Lock()
		c.reads[purpose(r)]++
		c.mu.Unlock()
	}
	return c.next.RoundTrip(r)
}

func purpose(r *http.Request) string {
	q := r.URL.Query()
	name, _, _ := strings.Cut(q.Get("key")+q.Get("prefix"), "/")
	if name == "" {
		name = strings.Trim(r.URL.Path, "/")
	}
	return name
}

func (c *readCounter) takeCounts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.reads
	c.reads = map[string]int{}
	return out
}

// siteReads runs n control processes in virtual time and returns their reads per second by purpose, once all have the list.
func siteReads(t *testing.T, n, readsPerSec int) map[string]float64 {
	const seconds = 60
	s := standin.New(standin.Config{ReadsPerSec: float64(readsPerSec)})
	commit(t, s, strings.Replace(baseSettings, "name: test\n", fmt.Sprintf("name: test\n  store_reads: %d\n", readsPerSec), 1), 0)
	for i := range n {
		s.PutInstance(platformapi.Instance{ID: fmt.Sprint("i", i), Incarnation: 1, State: platformapi.InstanceLive})
	}
	time.Sleep(10 * time.Second) // the list lags
	count := &readCounter{next: s.Transport(), reads: map[string]int{}}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	var procs []*Process
	for i := range n {
		p, err := New(Options{
			Instance:  fmt.Sprint("i", i),
			EntryAddr: "127.0.0.1:1",
			Links:     mesh.Options{Plaintext: true},
			Platform:  platform.Config{Addr: "127.0.0.1:1", Transport: count, ReadsPerSec: float64(readsPerSec)},
			Targets:   newFakeEngines(),
		})
		must.NoError(t, err)
		defer p.node.Close()
		procs = append(procs, p)
		for _, work := range []func(context.Context){p.sync.Run, p.applySite, p.watchInstances, p.watchDrains, p.followPower, p.allocatePower, p.runPlacement, p.collectClaims} {
			wg.Go(func() { work(ctx) })
		}
	}
	time.Sleep(30 * time.Second)
	count.takeCounts()
	time.Sleep(seconds * time.Second)
	out := map[string]float64{}
	for name, reads := range count.takeCounts() {
		out[name] = math.Round(float64(reads)/seconds*10) / 10
	}
	for _, p := range procs {
		must.NotNil(t, p.Snapshot(), must.Sprint(p.opts.Instance, " never got settings"))
	}
	cancel()
	wg.Wait()
	return out
}

// With many instances, polling once per second each would use most of the site's reads and get lease reads rejected by the
// table. Together polls must stay within a quarter of the reads, and each instance must still read drains within three
// seconds; with eight instances no poll may be slower than its base interval. 43 instances at 200 reads per second stand for
// 430 at the default 2,000; each must also obtain its settings, which takes three consecutive reads.
func TestSitePollsStayWithinShare(t *testing.T) {
	for _, site := range []struct{ instances, reads int }{{1, 2000}, {8, 2000}, {43, 200}} {
		synctest.Test(t, func(t *testing.T) {
			got := siteReads(t, site.instances, site.reads)
			t.Logf("%d instances, of %d reads a second: %v", site.instances, site.reads, got)
			polls := got["settings"] + got["drain"] + got["instances"]
			must.LessEq(t, 0.25*float64(site.reads)*jitterMean, polls)
			must.LessEq(t, 0.05*float64(site.reads)*leaseJitterMean, got["lease"])
			must.GreaterEq(t, float64(site.instances)/3, got["drain"])
			if site.instances <= 8 {
				must.GreaterEq(t, float64(site.instances), got["settings"])
				must.GreaterEq(t, float64(site.instances), got["drain"])
				must.GreaterEq(t, float64(site.instances)/2, got["instances"])
			}
		})
	}
}

// jitterMean is the number of polls per full interval, which jitter shortens by an eighth on average.
const (
	jitterMean      = 8.0 / 7 * 1.02
	leaseJitterMean = 4.0 / 3 * 1.05
)

// The platform is unavailable when an instance starts. If the first read of the list were retried only after a whole
// interval, its entry would know no other instance until then and consider itself the owner of every target.
func TestFailedFirstReadIsRetriedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		s.PutInstance(platformapi.Instance{ID: "i0", Incarnation: 1, State: platformapi.InstanceLive})
		time.Sleep(10 * time.Second)
		s.SetFault(standin.Fault{Kind: standin.FaultOutage, DurationMS: 250})
		p, err := New(Options{
			Instance:  "i0",
			EntryAddr: "127.0.0.1:1",
			Links:     mesh.Options{Plaintext: true},
			Platform:  platform.Config{Addr: "127.0.0.1:1", Transport: s.Transport()},
		})
		must.NoError(t, err)
		defer p.node.Close()
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { p.watchInstances(ctx) })
		time.Sleep(time.Second)
		must.Len(t, 1, p.state.snapshot().instances)
		cancel()
		wg.Wait()
	})
}

func TestSharedInterval(t *testing.T) {
	must.Eq(t, time.Second, sharedInterval(time.Second, 8, 2000, drainShare))
	must.Eq(t, 2150*time.Millisecond, sharedInterval(time.Second, 430, 2000, drainShare))
	must.Eq(t, time.Second, sharedInterval(time.Second, 430, 0, drainShare))
}
