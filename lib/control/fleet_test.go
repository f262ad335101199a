package control

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/platform"
	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

// leaseTTL is shorter than the validity of a power share, so that a new holder starts while old shares are still valid.
const leaseTTL = 2 * time.Second

// fleet is a set of processes in virtual time, without the links to their entries.
type fleet struct {
	t               *testing.T
	store           *standin.Server
	procs           []*Process
	stop            []context.CancelFunc
	loads           map[int][2]int // running and queued, by instance
	reportsFrozenAt time.Time      // when the targets' reports froze; zero: they are current
	noReports       bool           // targets send no reports
	engines         *fakeEngines
	wg              sync.WaitGroup
}

func startFleet(t *testing.T, n int, settings string) *fleet {
	f := &fleet{t: t, store: standin.New(standin.Config{}), loads: map[int][2]int{}, engines: newFakeEngines()}
	commit(t, f.store, settings, 0)
	for i := range n {
		f.add(i)
	}
	return f
}

func (f *fleet) add(i int) {
	p, err := New(Options{
		Instance:  fmt.Sprint("i", i),
		EntryAddr: "127.0.0.1:1",
		Links:     mesh.Options{Plaintext: true},
		Platform:  platform.Config{Addr: "127.0.0.1:1", Transport: f.store.Transport(), Live: 3},
		LeaseTTL:  leaseTTL,
		Targets:   f.engines,
	})
	must.NoError(f.t, err)
	ctx, cancel := context.WithCancel(f.t.Context())
	for _, work := range []func(context.Context){p.sync.Run, p.watchDrains, p.followPower, p.allocatePower, p.runPlacement} {
		f.wg.Go(func() { work(ctx) })
	}
	f.procs = append(f.procs, p)
	f.stop = append(f.stop, func() { cancel(); p.node.Close() })
}

// close must be deferred: the synctest bubble waits for every goroutine.
func (f *fleet) close() {
	for _, stop := range f.stop {
		stop()
	}
	f.wg.Wait()
}

// holder returns the only process that holds a lease.
func (f *fleet) holder(name string) int {
	f.t.Helper()
	holder := -1
	for i, p := range f.procs {
		for _, l := range p.Status().Leases {
			if l.Name == name && l.LeftMS > 0 {
				must.Eq(f.t, -1, holder)
				holder = i
			}
		}
	}
	must.NotEq(f.t, -1, holder)
	return holder
}

// fakeEngines answers for engines by address, in virtual time. Each engine enforces fencing numbers.
type fakeEngines struct {
	mu       sync.Mutex
	byAddr   map[string]*engineapi.LoadReport
	rejected int // orders with an outdated fencing number
}

func newFakeEngines() *fakeEngines { return &fakeEngines{byAddr: map[string]*engineapi.LoadReport{}} }

// add adds an engine with a model and version at an address.
func (f *fakeEngines) add(addr, model, version string, running int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byAddr[addr] = &engineapi.LoadReport{Model: model, ModelVersion: version, Running: running}
}

func (f *fakeEngines) setRunning(addr string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byAddr[addr].Running = n
}

func (f *fakeEngines) version(addr string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byAddr[addr].ModelVersion
}

// RoundTrip implements http.RoundTripper.
func (f *fakeEngines) RoundTrip(r *http.Request) (*http.Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.byAddr[r.URL.Host]
	if e == nil {
		return nil, fmt.Errorf("no engine at %s", r.URL.Host)
	}
	w := httptest.NewRecorder()
	if r.URL.Path == engineapi.PathLoad {
		_ = json.NewEncoder(w).Encode(e)
		return w.Result(), nil
	}
	var o engineapi.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		return nil, err
	}
	if o.Fence < e.Fence {
		f.rejected++
		w.WriteHeader(http.StatusConflict)
		return w.Result(), nil
	}
	e.Fence = o.Fence
	e.Model, e.ModelVersion = o.Model, o.Version
	w.WriteHeader(http.StatusNoContent)
	return w.Result(), nil
}
