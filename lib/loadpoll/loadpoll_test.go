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

// engine answers load and cache calls from what a test sets.
type engine struct {
	*httptest.Server
	mu    sync.Mutex
	load  *engineapi.LoadReport // nil: fail
	cache engineapi.CacheEvents
	asked []string // queries of cache calls
}

func newEngine(t *testing.T) *engine {
	e := &engine{load: &engineapi.LoadReport{Incarnation: 1, Running: 2}}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		switch {
		case strings.HasPrefix(r.URL.Path, engineapi.PathCacheEvents):
			e.asked = append(e.asked, r.URL.RawQuery)
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

// feed notes what it is told.
type feed struct {
	mu   sync.Mutex
	told []string
	age  time.Duration // of the last report
}

func (f *feed) note(s string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.told = append(f.told, s)
}

func (f *feed) take() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	told := f.told
	f.told = nil
	return told
}

func (f *feed) SetTargets([]sched.TargetSpec)          {}
func (f *feed) SetPolicy(sched.PolicyFunc)             {}
func (f *feed) Report(r sched.Report)                  { f.age = r.Age; f.note("report " + r.Target) }
func (f *feed) TargetGone(name string)                 { f.note("gone " + name) }
func (f *feed) CacheSnapshot(_ string, p []uint64)     { f.note("snapshot " + string(rune('0'+len(p)))) }
func (f *feed) CacheStored(_ string, p uint64, s bool) { f.note("stored " + string(rune('0'+p))) }

func newWatch(t *testing.T, e *engine) (*watch, *feed) {
	f := &feed{}
	clients := target.NewClients()
	t.Cleanup(clients.Close)
	p := New(t.Context(), f, time.Hour)
	return &watch{poller: p, client: clients.Client("a", e.Listener.Addr().String())}, f
}

// Cache events have a gap: an eviction may have been in it, and a prefix believed to be there would draw work to the wrong
// engine. Nothing is believed until a snapshot.
func TestGapInCacheEventsAsksForSnapshot(t *testing.T) {
	e := newEngine(t)
	w, f := newWatch(t, e)
	e.cache = engineapi.CacheEvents{Seq: 4, Snapshot: true, Events: []engineapi.CacheEvent{{Seq: 4, Stored: true, Prefix: 1}}}
	w.once(t.Context())
	must.Eq(t, []string{"report a", "snapshot 1"}, f.take())
	e.cache = engineapi.CacheEvents{Seq: 6, Events: []engineapi.CacheEvent{{Seq: 4, Prefix: 1}, {Seq: 5, Stored: true, Prefix: 2}, {Seq: 7, Stored: true, Prefix: 3}}}
	w.once(t.Context())
	must.Eq(t, []string{"report a", "stored 2", "snapshot 0"}, f.take())
	e.cache = engineapi.CacheEvents{Seq: 9, Snapshot: true}
	w.once(t.Context())
	must.Eq(t, []string{"report a", "snapshot 0"}, f.take())
	must.Eq(t, []string{"snapshot=1", "after=4", "snapshot=1"}, e.asked)
}

// One lost answer is no death; three in a row are, once. A new incarnation on the same address is told as the death of
// the old one, since its sequences and its cache are gone with it.
func TestGoneAndReplaced(t *testing.T) {
	e := newEngine(t)
	w, f := newWatch(t, e)
	w.once(t.Context())
	e.load = nil
	f.take()
	for range goneAfter - 1 {
		w.once(t.Context())
	}
	must.SliceEmpty(t, f.take())
	w.once(t.Context())
	w.once(t.Context())
	must.Eq(t, []string{"gone a"}, f.take())
	e.load = &engineapi.LoadReport{Incarnation: 2}
	w.once(t.Context())
	must.Eq(t, []string{"gone a", "report a"}, f.take())
}

// A target that settings no longer name is not asked any more.
func TestPollerFollowsSettings(t *testing.T) {
	e := newEngine(t)
	f := &feed{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clients := target.NewClients()
	defer clients.Close()
	p := New(ctx, f, time.Millisecond)
	p.SetTargets([]*target.Client{clients.Client("a", e.Listener.Addr().String())})
	for len(f.take()) == 0 {
		time.Sleep(time.Millisecond)
	}
	p.SetTargets(nil)
	for quiet := 0; quiet < 20; quiet++ {
		if len(f.take()) > 0 {
			quiet = 0
		}
		time.Sleep(2 * time.Millisecond)
	}
	must.MapEmpty(t, p.stop)
}
