package feedlink

import (
	"context"
	"errors"
	"fmt"
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
	era     int64
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
	return feed.Page{Era: s.era, Version: s.version, Rows: []feed.Row{{Key: "k", Value: []byte(s.value), Version: s.version}}}, nil
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
	track   *Syncer
	value   atomic.Value
}

func newMember(t *testing.T, name string, src feed.Source, place func() Assignment) *member {
	t.Helper()
	m := &member{}
	m.value.Store("")
	m.replica = feed.NewReplica(func(u feed.Update) { m.value.Store(string(u.Rows[0].Value)) })
	node, err := mesh.New(mesh.Options{Self: mesh.Identity{Instance: name, Incarnation: 1}, Plaintext: true})
	must.NoError(t, err)
	m.node = node
	m.track = New(Config{
		Self:   name,
		Tables: []Table{{Name: "t", Source: src, Replica: m.replica, Options: feed.DefaultOptions, Critical: true}},
		MaxAge: time.Second, Node: node, Assignment: place, OnSourceError: func(string, error) {}, OnSourceChange: func(string) {},
	})
	return m
}

func start(t *testing.T, name string, src feed.Source, place func() Assignment) *member {
	t.Helper()
	m := idle(t, name, src, place)
	m.run(t, func(string) {})
	return m
}

// run runs a member that was made idle, with what is to be told of its readers.
func (m *member) run(t *testing.T, from func(instance string)) {
	t.Helper()
	m.track.OnSourceChange = from
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.track.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		m.node.Close()
		<-done
	})
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

func self() Assignment { return Assignment{Upstreams: []mesh.Peer{{}}} }

// second ranks to read after another.
func second(first *member, name string) func() Assignment {
	return func() Assignment {
		return Assignment{Rank: 1, Upstreams: []mesh.Peer{{Instance: name, Addr: first.addr}, {}}}
	}
}

// A change reaches an instance that does not read the store itself, also a large one, and costs it no call.
func TestChangeIsPassedOn(t *testing.T) {
	t.Parallel()
	src, unused := &table{}, &table{}
	src.set("one")
	a := start(t, "a", src, self)
	a.waitFor(t, "one")
	b := start(t, "b", unused, second(a, "a"))
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
	b := start(t, "b", src, second(a, "a"))
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
	a := start(t, "a", cut, func() Assignment { return Assignment{Upstreams: []mesh.Peer{{}, {Instance: "b", Addr: b.addr}}} })
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
	b := start(t, "b", src, second(a, "a"))
	b.waitFor(t, "one")
	a.node.Close()
	src.set("two")
	must.Less(t, 2*time.Second, b.waitFor(t, "two"))
}

// idle makes a member whose Track does not run.
func idle(t *testing.T, name string, src feed.Source, place func() Assignment) *member {
	t.Helper()
	m := newMember(t, name, src, place)
	m.serve(t)
	return m
}

func (m *member) serve(t *testing.T) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	m.addr = ln.Addr().String()
	Serve(m.node, m.track)
	go func() { _ = m.node.Serve(ln) }()
	t.Cleanup(m.node.Close)
}

// mayRead is how many instances of a group rank to read.
const mayRead = 3

// group starts instances that all rank the same way, each with a source of its own. It returns them and the sources, in
// rank; delay holds the first back.
func group(t *testing.T, n int, delay time.Duration) ([]*member, []*table) {
	t.Helper()
	return groupOf(t, n, delay, func(self int, all []mesh.Peer) Assignment {
		if self < mayRead {
			return Assignment{Rank: self, Upstreams: all}
		}
		return Assignment{Role: RoleFollower, Upstreams: all}
	})
}

// groupOf is group with the places that place gives; all are the instances in rank, this one with an empty address.
func groupOf(t *testing.T, n int, delay time.Duration, place func(self int, all []mesh.Peer) Assignment) ([]*member, []*table) {
	t.Helper()
	members := make([]*member, n)
	tables := make([]*table, n)
	var mu sync.Mutex
	ranks := func(self int) func() Assignment {
		return func() Assignment {
			mu.Lock()
			defer mu.Unlock()
			out := make([]mesh.Peer, n)
			for i, m := range members {
				switch {
				case i == self:
				case m == nil:
					out[i] = mesh.Peer{Instance: fmt.Sprint("m", i), Addr: "127.0.0.1:1"} // not there yet
				default:
					out[i] = mesh.Peer{Instance: fmt.Sprint("m", i), Addr: m.addr}
				}
			}
			return place(self, out)
		}
	}
	for i := n - 1; i >= 0; i-- {
		tables[i] = &table{}
		tables[i].set("one")
		if i == 0 {
			time.Sleep(delay)
		}
		m := start(t, fmt.Sprint("m", i), tables[i], ranks(i))
		mu.Lock()
		members[i] = m
		mu.Unlock()
	}
	return members, tables
}

// The store turns the reader away, and serves the others. The next in rank takes over at once, all have the next change in
// time, and those that don't rank to read leave the store alone.
func TestRejectedReaderIsReplacedByOne(t *testing.T) {
	t.Parallel()
	members, tables := group(t, 8, 0)
	for _, m := range members {
		m.waitFor(t, "one")
	}
	for i, s := range tables {
		s.mu.Lock()
		s.away = i == 0
		s.mu.Unlock()
		s.set("two")
	}
	for _, m := range members {
		must.Less(t, 2*time.Second, m.waitFor(t, "two"))
	}
	for i := mayRead; i < len(tables); i++ {
		must.Eq(t, 0, tables[i].calls.Load(), must.Sprint(i))
	}
}
