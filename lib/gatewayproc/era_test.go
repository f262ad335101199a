package gatewayproc

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/feedlink"
	"anvilwick.example/anvilwick/lib/memnet"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/owner"
)

// fakeStore is a store of tables whose calls take callTime. It can become unavailable and be restored from a backup.
type fakeStore struct {
	mu          sync.Mutex
	at          feed.Position
	tables      map[string]map[string]feed.Row
	log         map[string][]feed.Row
	unavailable bool
	changed     chan struct{}
	calls       int
	rows        int // returned
}

// callTime is the duration of one call to the store.
const callTime = 4 * time.Millisecond

func newFakeStore() *fakeStore {
	return &fakeStore{
		at: feed.Position{Era: 1}, tables: make(map[string]map[string]feed.Row), log: make(map[string][]feed.Row),
		changed: make(chan struct{}),
	}
}

func (h *fakeStore) put(table, key string, value []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.at.Version++
	row := feed.Row{Key: key, Value: value, Version: h.at.Version}
	if h.tables[table] == nil {
		h.tables[table] = make(map[string]feed.Row)
	}
	h.tables[table][key] = row
	h.log[table] = append(h.log[table], row)
	h.notify()
}

// used returns the number of calls so far, and of the rows returned.
func (h *fakeStore) used() (calls, rows int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calls, h.rows
}

func (h *fakeStore) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// restore makes the store unavailable, then restores it as it was lost versions before. It keeps only rows, not their changes since.
func (h *fakeStore) restore(outage time.Duration, lost int64) {
	h.mu.Lock()
	h.unavailable = true
	h.notify()
	h.mu.Unlock()
	time.Sleep(outage)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unavailable = false
	h.at = feed.Position{Era: h.at.Era + 1, Version: h.at.Version - lost}
	h.log = make(map[string][]feed.Row)
	h.calls, h.rows = 0, 0
}

// table is a table of a history as a feed source.
type table struct {
	h    *fakeStore
	name string
}

var errUnavailable = errors.New("away")

func (t table) Snapshot(ctx context.Context) (feed.Page, error) {
	time.Sleep(callTime)
	h := t.h
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls++
	if h.unavailable {
		return feed.Page{}, errUnavailable
	}
	page := feed.Page{Era: h.at.Era, Version: h.at.Version}
	for _, row := range h.tables[t.name] {
		page.Rows = append(page.Rows, row)
	}
	h.rows += len(page.Rows)
	return page, nil
}

func (t table) Changes(ctx context.Context, after int64, wait time.Duration) (feed.Page, error) {
	t.h.mu.Lock()
	t.h.calls++
	t.h.mu.Unlock()
	time.Sleep(callTime)
	for end := time.After(wait); ; {
		page, changed, err := t.since(after)
		if err != nil || len(page.Rows) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-end:
			return page, nil
		case <-ctx.Done():
			return feed.Page{}, ctx.Err()
		}
	}
}

func (t table) since(after int64) (feed.Page, <-chan struct{}, error) {
	h := t.h
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.unavailable:
		return feed.Page{}, nil, errUnavailable
	case after > h.at.Version:
		return feed.Page{}, nil, feed.ErrHistoryGone
	}
	page := feed.Page{Era: h.at.Era, Version: h.at.Version}
	for _, row := range h.log[t.name] {
		if row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	h.rows += len(page.Rows)
	return page, h.changed, nil
}

// network connects the nodes of a test by pipes.
type network struct {
	mu    sync.Mutex
	nodes map[string]*memnet.Listener
}

func (n *network) listen(addr string) net.Listener {
	l := memnet.Listen(&net.TCPAddr{}, 300)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[addr] = l
	return l
}

func (n *network) dial(ctx context.Context, addr string) (net.Conn, error) {
	n.mu.Lock()
	to := n.nodes[addr]
	n.mu.Unlock()
	if to == nil {
		return nil, net.ErrClosed
	}
	return to.Dial(ctx)
}

// replicator is the part of an instance that replicates tables.
type replicator struct {
	replicas map[string]*feed.Replica
	syncer   *feedlink.Syncer
	node     *mesh.Node
	mu       sync.Mutex
	shown    map[string]time.Time // when each value was first applied
}

func (r *replicator) record(u feed.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range u.Rows {
		if _, ok := r.shown[string(row.Value)]; !ok {
			r.shown[string(row.Value)] = time.Now()
		}
	}
}

func (r *replicator) shownAt(value string) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.shown[value]
	return at, ok
}

// startReplicators starts the replication at all instances of a site.
func startReplicators(t *testing.T, ctx context.Context, work *sync.WaitGroup, h *fakeStore, list []owner.Instance) []*replicator {
	t.Helper()
	n := &network{nodes: make(map[string]*memnet.Listener)}
	var out []*replicator
	for _, in := range list {
		node, err := mesh.New(mesh.Options{Self: mesh.Identity{Instance: in.Name, Incarnation: 1}, Plaintext: true, Dial: n.dial})
		must.NoError(t, err)
		r := &replicator{node: node, shown: make(map[string]time.Time), replicas: make(map[string]*feed.Replica)}
		place := assignAmong(in.Name, in.Domain, list)
		cfg := feedlink.Config{
			Self: in.Name, MaxAge: maxAge, Node: node, Assignment: func() feedlink.Assignment { return place },
			OnSourceError: func(string, error) {}, OnSourceChange: func(string) {},
		}
		for _, name := range []string{settingsTable, targetsTable, instancesTable} {
			r.replicas[name] = feed.NewReplica(r.record).WithRetention(feed.Retention{Period: settingsRetention})
			tab := feedlink.Table{Name: name, Source: table{h, name}, Replica: r.replicas[name], Options: feed.DefaultOptions, Critical: true}
			if name == instancesTable {
				tab.Options, tab.Critical = instanceOptions, false
			}
			cfg.Tables = append(cfg.Tables, tab)
		}
		r.syncer = feedlink.New(cfg)
		feedlink.Serve(node, r.syncer)
		ln := n.listen(in.Link)
		work.Go(func() { _ = node.Serve(ln) })
		work.Go(func() { r.syncer.Run(ctx) })
		out = append(out, r)
	}
	return out
}

// The store is restored from a backup, and right after it settings and the leaving of a target are written under versions below those
// that the replicas hold. All instances must have both within the propagation limit, and must not all call the store at once.
func TestEraReachesAllInstances(t *testing.T) {
	// All sizes share one bubble: timers that the links' library keeps for later belong to the bubble that created them.
	synctest.Test(t, func(t *testing.T) {
		for _, size := range []struct{ instances, domains, targets int }{{7, 3, 12}, {70, 3, 63}, {295, 5, 3000}} {
			for _, outage := range []time.Duration{200 * time.Millisecond, 3 * time.Second} {
				t.Logf("%d instances, %d targets, away %v", size.instances, size.targets, outage)
				checkEraReachesAll(t, siteOf(size.instances, size.domains), size.targets, outage)
			}
		}
	})
}

const (
	// propagationLimit is the time within which a change must be in force everywhere.
	propagationLimit = 2 * time.Second
	// maxCalls bounds the calls of the store in the five seconds after its return: one second's reads of a small site.
	maxCalls = 2000
)

func checkEraReachesAll(t *testing.T, list []owner.Instance, targets int, outage time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	var work sync.WaitGroup
	h := newFakeStore()
	for i := range targets {
		h.put(targetsTable, fmt.Sprint("t", i), bytes.Repeat([]byte{'a' + byte(i%20)}, 150))
	}
	h.put(settingsTable, "config", []byte("before"))
	for _, in := range list {
		h.put(instancesTable, in.Name, []byte(in.Domain))
	}
	all := startReplicators(t, ctx, &work, h, list)
	defer work.Wait()
	defer func() {
		cancel()
		for _, r := range all {
			r.node.Close()
		}
	}()
	time.Sleep(5 * time.Second)
	h.mu.Lock()
	h.at.Version += 400
	h.mu.Unlock()
	h.put(targetsTable, "t0", []byte("ready"))
	time.Sleep(time.Second)
	h.restore(outage, 300)
	time.Sleep(200 * time.Millisecond)
	written := time.Now()
	h.put(settingsTable, "config", []byte("after"))
	h.put(targetsTable, "t1", []byte("leaves"))
	time.Sleep(4800 * time.Millisecond)
	latest := time.Duration(0)
	for _, r := range all {
		for _, value := range []string{"after", "leaves"} {
			at, ok := r.shownAt(value)
			must.True(t, ok, must.Sprint(value))
			latest = max(latest, at.Sub(written))
		}
	}
	calls, rows := h.used()
	t.Logf("last after %v, %d calls and %d rows in 5 s", latest, calls, rows)
	must.Less(t, propagationLimit, latest)
	must.Less(t, maxCalls, calls)
}
