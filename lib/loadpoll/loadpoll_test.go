package loadpoll

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/target"
)

// engine serves load reports and cache events that the test sets.
type engine struct {
	*httptest.Server
	mu           sync.Mutex
	load         *engineapi.LoadReport // nil: respond with an error
	cache        engineapi.CacheEvents
	cacheQueries []string // query strings of requests for cache events
}

func newEngine(t *testing.T) *engine {
	e := &engine{load: &engineapi.LoadReport{Incarnation: 1, Running: 2}}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		switch {
		case strings.HasPrefix(r.URL.Path, engineapi.PathCacheEvents):
			e.cacheQueries = append(e.cacheQueries, r.URL.RawQuery)
			_ = json.NewEncoder(w).Encode(e.cache)
		case e.load == nil:
			http.Error(w, "down", http.StatusInternalServerError)
		default:
			_ = json.NewEncoder(w).Encode(e.load)
		}
	}))
	t.Cleanup(e.Close)
	return e
}

// feed records its calls.
type feed struct {
	mu    sync.Mutex
	calls []string
	age   time.Duration // of the last report
}

func (f *feed) record(s string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, s)
}

func (f *feed) takeCalls() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	calls := f.calls
	f.calls = nil
	return calls
}

func (f *feed) SetTargets([]sched.TargetSpec)          {}
func (f *feed) SetPolicy(sched.PolicyFunc)             {}
func (f *feed) Report(r sched.Report)                  { f.age = r.Age; f.record("report " + r.Target) }
func (f *feed) TargetGone(name string)                 { f.record("gone " + name) }
func (f *feed) CacheSnapshot(_ string, p []uint64)     { f.record("snapshot " + string(rune('0'+len(p)))) }
func (f *feed) CacheStored(_ string, p uint64, s bool) { f.record("stored " + string(rune('0'+p))) }

func newTargetPoll(t *testing.T, e *engine) (*targetPoll, *feed) {
	f := &feed{}
	clients := target.NewClients()
	t.Cleanup(clients.Close)
	p := New(t.Context(), f, time.Hour)
	return &targetPoll{poller: p, client: clients.Client("a", e.Listener.Addr().String())}, f
}

// A gap in the cache events may hide an eviction, and a prefix wrongly assumed to be cached would attract requests to the
// wrong engine. All cached prefixes are dropped until the next snapshot.
func TestCacheEventGapRequestsSnapshot(t *testing.T) {
	e := newEngine(t)
	p, f := newTargetPoll(t, e)
	e.cache = engineapi.CacheEvents{Seq: 4, Snapshot: true, Events: []engineapi.CacheEvent{{Seq: 4, Stored: true, Prefix: 1}}}
	p.pollOnce(t.Context())
	must.Eq(t, []string{"report a", "snapshot 1"}, f.takeCalls())
	e.cache = engineapi.CacheEvents{Seq: 6, Events: []engineapi.CacheEvent{
		{Seq: 4, Prefix: 1}, {Seq: 5, Stored: true, Prefix: 2}, {Seq: 7, Stored: true, Prefix: 3},
	}}
	p.pollOnce(t.Context())
	must.Eq(t, []string{"report a", "stored 2", "snapshot 0"}, f.takeCalls())
	e.cache = engineapi.CacheEvents{Seq: 9, Snapshot: true}
	p.pollOnce(t.Context())
	must.Eq(t, []string{"report a", "snapshot 0"}, f.takeCalls())
	must.Eq(t, []string{"snapshot=1", "after=4", "snapshot=1"}, e.cacheQueries)
}

// One lost response does not count as a crash; three in a row do, and are reported once. A new incarnation on the same
// address is reported as gone first, because the old process's sequence numbers and cache are lost.
func TestTargetGoneAndEngineReplaced(t *testing.T) {
	e := newEngine(t)
	p, f := newTargetPoll(t, e)
	p.pollOnce(t.Context())
	e.load = nil
	f.takeCalls()
	for range goneAfterFailures - 1 {
		p.pollOnce(t.Context())
	}
	must.SliceEmpty(t, f.takeCalls())
	p.pollOnce(t.Context())
	p.pollOnce(t.Context())
	must.Eq(t, []string{"gone a"}, f.takeCalls())
	e.load = &engineapi.LoadReport{Incarnation: 2}
	p.pollOnce(t.Context())
	must.Eq(t, []string{"gone a", "report a"}, f.takeCalls())
}

// A target removed from the settings is no longer polled.
func TestPollerStopsRemovedTargets(t *testing.T) {
	e := newEngine(t)
	f := &feed{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clients := target.NewClients()
	defer clients.Close()
	p := New(ctx, f, time.Millisecond)
	p.SetTargets([]*target.Client{clients.Client("a", e.Listener.Addr().String())})
	for len(f.takeCalls()) == 0 {
		time.Sleep(time.Millisecond)
	}
	p.SetTargets(nil)
	for quiet := 0; quiet < 20; quiet++ {
		if len(f.takeCalls()) > 0 {
			quiet = 0
		}
		time.Sleep(2 * time.Millisecond)
	}
	must.MapEmpty(t, p.active)
}
