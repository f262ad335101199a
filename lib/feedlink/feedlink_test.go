package feedlink

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/mesh"
)

// table is a Source whose rows tests change.
type table struct {
	mu      sync.Mutex
	version int64
	value   string
	away    bool
	calls   atomic.Int32
}

var errAway = errors.New("away")

func (s *table) set(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.value = value
}

func (s *table) Snapshot(context.Context) (feed.Page, error) {
	s.calls.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return feed.Page{}, errAway
	}
	return feed.Page{Version: s.version, Rows: []feed.Row{{Key: "k", Value: []byte(s.value), Version: s.version}}}, nil
}

func (s *table) Changes(ctx context.Context, after int64, wait time.Duration) (feed.Page, error) {
	end := time.Now().Add(wait)
	for {
		page, err := s.Snapshot(ctx)
		if err != nil || page.Version > after || time.Now().After(end) {
			if err == nil && page.Version <= after {
				page.Rows = nil
			}
			return page, err
		}
		s.calls.Add(-1)
		select {
		case <-ctx.Done():
			return feed.Page{}, ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
}

type member struct {
	node    *mesh.Node
	addr    string
	replica *feed.Replica
	value   atomic.Value
}

func start(t *testing.T, name string, src feed.Source, readers func() []mesh.Peer) *member {
	t.Helper()
	m := &member{}
	m.value.Store("")
	m.replica = feed.NewReplica(func(u feed.Update) { m.value.Store(string(u.Rows[0].Value)) })
	node, err := mesh.New(mesh.Options{Self: mesh.Identity{Instance: name, Incarnation: 1}, Plain: true})
	must.NoError(t, err)
	m.node = node
	Serve(node, map[string]*feed.Replica{"t": m.replica})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	m.addr = ln.Addr().String()
	go func() { _ = node.Serve(ln) }()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	tr := New(Config{
		Table: "t", Source: src, Replica: m.replica, Options: feed.DefaultOptions, MaxAge: time.Second, Node: node,
		Readers: readers, Fail: func(error) {},
	})
	go func() {
		defer close(done)
		tr.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		node.Close()
		<-done
	})
	return m
}

func (m *member) waitFor(t *testing.T, value string) time.Duration {
	t.Helper()
	begin := time.Now()
	for time.Since(begin) < 10*time.Second {
		if m.value.Load() == value {
			return time.Since(begin)
		}
		time.Sleep(2 * time.Millisecond)
	}
	t.Fatalf("value %q did not come, have %q", value, m.value.Load())
	return 0
}

func self() []mesh.Peer { return []mesh.Peer{{}} }

// A change reaches an instance that does not read the store itself, also a large one, and costs it no call.
func TestChangeIsPassedOn(t *testing.T) {
	t.Parallel()
	src, unused := &table{}, &table{}
	src.set("one")
	a := start(t, "a", src, self)
	a.waitFor(t, "one")
	b := start(t, "b", unused, func() []mesh.Peer { return []mesh.Peer{{Instance: "a", Addr: a.addr}, {}} })
	b.waitFor(t, "one")
	large := strings.Repeat("routes ", 20_000)
	src.set(large)
	must.Less(t, time.Second, b.waitFor(t, large))
	must.Eq(t, 0, unused.calls.Load())
}

// The reader is cut off from the store and goes on passing on what it has. The other notices by the age of the store's
// word, reads for itself, and has the next change in time.
func TestReaderCutOffFromTheStore(t *testing.T) {
	t.Parallel()
	cut, src := &table{}, &table{}
	cut.set("one")
	src.set("one")
	a := start(t, "a", cut, self)
	a.waitFor(t, "one")
	b := start(t, "b", src, func() []mesh.Peer { return []mesh.Peer{{Instance: "a", Addr: a.addr}, {}} })
	b.waitFor(t, "one")
	cut.mu.Lock()
	cut.away = true
	cut.mu.Unlock()
	src.set("two")
	must.Less(t, 4*time.Second, b.waitFor(t, "two"))
}

// The instance that should read is alone cut off from the store. It has changes from a peer that reaches the store, and
// reads again once it can.
func TestCutOffReaderTakesFromAPeer(t *testing.T) {
	t.Parallel()
	src, cut := &table{}, &table{}
	src.set("one")
	cut.set("one")
	b := start(t, "b", src, self)
	b.waitFor(t, "one")
	a := start(t, "a", cut, func() []mesh.Peer { return []mesh.Peer{{}, {Instance: "b", Addr: b.addr}} })
	a.waitFor(t, "one")
	cut.mu.Lock()
	cut.away = true
	cut.mu.Unlock()
	src.set("two")
	must.Less(t, 4*time.Second, a.waitFor(t, "two"))
	src.set("three")
	must.Less(t, time.Second, a.waitFor(t, "three"))
}

// The reader dies: the other reads for itself.
func TestReaderDies(t *testing.T) {
	t.Parallel()
	src := &table{}
	src.set("one")
	a := start(t, "a", src, self)
	a.waitFor(t, "one")
	b := start(t, "b", src, func() []mesh.Peer { return []mesh.Peer{{Instance: "a", Addr: a.addr}, {}} })
	b.waitFor(t, "one")
	a.node.Close()
	src.set("two")
	must.Less(t, 2*time.Second, b.waitFor(t, "two"))
}

// An instance that knows nothing takes a table from a peer that does; one that knows nothing either is no help.
func TestFetch(t *testing.T) {
	t.Parallel()
	src := &table{}
	src.set("one")
	a := start(t, "a", src, self)
	a.waitFor(t, "one")
	away := &table{away: true}
	b := start(t, "b", away, self)
	must.ErrorIs(t, Fetch(context.Background(), b.node, b.addr, "t", b.replica), errUnknown)
	must.NoError(t, Fetch(context.Background(), b.node, a.addr, "t", b.replica))
	must.Eq(t, "one", b.value.Load())
}
