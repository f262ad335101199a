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
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/owner"
)

// history is a store of some tables, of which one call takes answerTime. It can be away and come back from a copy.
type history struct {
	mu      sync.Mutex
	at      feed.Position
	tables  map[string]map[string]feed.Row
	log     map[string][]feed.Row
	away    bool
	changed chan struct{}
	calls   int
	rows    int // sent
}

// answerTime is how long an answer of the store takes.
const answerTime = 4 * time.Millisecond

func newHistory() *history {
	return &history{
		at: feed.Position{Era: 1}, tables: make(map[string]map[string]feed.Row), log: make(map[string][]feed.Row),
		changed: make(chan struct{}),
	}
}

func (h *history) put(table, key string, value []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.at.Version++
	row := feed.Row{Key: key, Value: value, Version: h.at.Version}
	if h.tables[table] == nil {
		h.tables[table] = make(map[string]feed.Row)
	}
	h.tables[table][key] = row
	h.log[table] = append(h.log[table], row)
	h.wake()
}

func (h *history) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// comesBack takes the store away and brings it back as it was some versions before, by rows that were not written since.
func (h *history) comesBack(away time.Duration, lost int64) {
	h.mu.Lock()
	h.away = true
	h.wake()
	h.mu.Unlock()
	time.Sleep(away)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.away = false
	h.at = feed.Position{Era: h.at.Era + 1, Version: h.at.Version - lost}
	h.log = make(map[string][]feed.Row)
	h.calls, h.rows = 0, 0
}

// table is a table of a history, as one instance reads it.
type table struct {
	h    *history
	name string
}

var errAway = errors.New("away")

func (t table) Snapshot(ctx context.Context) (feed.Page, error) {
	time.Sleep(answerTime)
	h := t.h
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls++
	if h.away {
		return feed.Page{}, errAway
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
	time.Sleep(answerTime)
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
	case h.away:
		return feed.Page{}, nil, errAway
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

// network joins nodes by pipes within the test.
type network struct {
	mu    sync.Mutex
	nodes map[string]chan net.Conn
}

// listener accepts the pipes to one node.
type listener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

func (n *network) listen(addr string) net.Listener {
	l := &listener{conns: make(chan net.Conn, 300), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[addr] = l.conns
	return l
}

func (n *network) dial(_ context.Context, addr string) (net.Conn, error) {
	n.mu.Lock()
	to := n.nodes[addr]
	n.mu.Unlock()
	if to == nil {
		return nil, net.ErrClosed
	}
	own, theirs := net.Pipe()
	to <- theirs
	return own, nil
}

// reading is an instance as far as it keeps tables.
type reading struct {
	replicas map[string]*feed.Replica
	track    *feedlink.Syncer
	node     *mesh.Node
	mu       sync.Mutex
	shown    map[string]time.Time // when each value was first shown
}

func (r *reading) show(u feed.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range u.Rows {
		if _, ok := r.shown[string(row.Value)]; !ok {
			r.shown[string(row.Value)] = time.Now()
		}
	}
}

func (r *reading) saw(value string) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.shown[value]
	return at, ok
}

// readAll starts the reading of all instances of a site.
func readAll(t *testing.T, ctx context.Context, work *sync.WaitGroup, h *history, list []owner.Instance) []*reading {
	t.Helper()
	n := &network{nodes: make(map[string]chan net.Conn)}
	var out []*reading
	for _, in := range list {
		node, err := mesh.New(mesh.Options{Self: mesh.Identity{Instance: in.Name, Incarnation: 1}, Plaintext: true, Dial: n.dial})
		must.NoError(t, err)
		r := &reading{node: node, shown: make(map[string]time.Time), replicas: make(map[string]*feed.Replica)}
		place := placeAmong(in.Name, in.Domain, list)
		cfg := feedlink.Config{
			Self: in.Name, MaxAge: maxAge, Node: node, Assignment: func() feedlink.Assignment { return place },
			OnSourceError: func(string, error) {}, OnSourceChange: func(string) {},
		}
		for _, name := range []string{settingsTable, targetsTable, instancesTable} {
			r.replicas[name] = feed.NewReplica(r.show).WithRetention(feed.Retention{Period: keepSettings})
			tab := feedlink.Table{Name: name, Source: table{h, name}, Replica: r.replicas[name], Options: feed.DefaultOptions, Critical: true}
			if name == instancesTable {
				tab.Options, tab.Critical = instanceOptions, false
			}
			cfg.Tables = append(cfg.Tables, tab)
		}
		r.track = feedlink.New(cfg)
		feedlink.Serve(node, r.track)
		ln := n.listen(in.Link)
		work.Go(func() { _ = node.Serve(ln) })
		work.Go(func() { r.track.Run(ctx) })
		out = append(out, r)
	}
	return out
}

// The store comes back from a copy, and settings and the leaving of a target are written right after, under versions below the held
// ones. All instances have both within the time in which changes are to be in force, and the store is not asked by all at once.
func TestEraReachesAllInstances(t *testing.T) {
	// All sizes share one bubble: timers that the links' library keeps for later belong to the bubble that made them.
	synctest.Test(t, func(t *testing.T) {
		for _, size := range []struct{ instances, domains, targets int }{{7, 3, 12}, {70, 3, 63}, {295, 5, 3000}} {
			for _, away := range []time.Duration{200 * time.Millisecond, 3 * time.Second} {
				t.Logf("%d instances, %d targets, away %v", size.instances, size.targets, away)
				eraReachesAll(t, siteOf(size.instances, size.domains), size.targets, away)
			}
		}
	})
}

const (
	// inForce is the time in which a change is to be in force everywhere.
	inForce = 2 * time.Second
	// mostCalls is what the store may be asked in the five seconds after its return: a second's reads of a small site.
	mostCalls = 2000
)

func eraReachesAll(t *testing.T, list []owner.Instance, targets int, away time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	var work sync.WaitGroup
	h := newHistory()
	for i := range targets {
		h.put(targetsTable, fmt.Sprint("t", i), bytes.Repeat([]byte{'a' + byte(i%20)}, 150))
	}
	h.put(settingsTable, "config", []byte("before"))
	for _, in := range list {
		h.put(instancesTable, in.Name, []byte(in.Domain))
	}
	all := readAll(t, ctx, &work, h, list)
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
	h.comesBack(away, 300)
	time.Sleep(200 * time.Millisecond)
	written := time.Now()
	h.put(settingsTable, "config", []byte("after"))
	h.put(targetsTable, "t1", []byte("leaves"))
	time.Sleep(4800 * time.Millisecond)
	latest := time.Duration(0)
	for _, r := range all {
		for _, value := range []string{"after", "leaves"} {
			at, ok := r.saw(value)
			must.True(t, ok, must.Sprint(value))
			latest = max(latest, at.Sub(written))
		}
	}
	t.Logf("last after %v, %d calls and %d rows in 5 s", latest, h.calls, h.rows)
	must.Less(t, inForce, latest)
	must.Less(t, mostCalls, h.calls)
}
