package feedlink

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
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
	track   *Track
	value   atomic.Value
}

func start(t *testing.T, name string, src feed.Source, place func() Place) *member {
	t.Helper()
	m := &member{}
	m.value.Store("")
	m.replica = feed.NewReplica(func(u feed.Update) { m.value.Store(string(u.Rows[0].Value)) })
	node, err := mesh.New(mesh.Options{Self: mesh.Identity{Instance: name, Incarnation: 1}, Plain: true})
	must.NoError(t, err)
	m.node = node
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	m.addr = ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	tr := New(Config{
		Self:   name,
		Tables: []Table{{Name: "t", Source: src, Replica: m.replica, Options: feed.DefaultOptions, Urgent: true}},
		MaxAge: time.Second, Node: node, Place: place, Fail: func(string, error) {}, From: func(string) {},
	})
	m.track = tr
	Serve(node, tr)
	go func() { _ = node.Serve(ln) }()
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

func self() Place { return Place{Readers: []mesh.Peer{{}}} }

// second ranks to read after another.
func second(first *member, name string) func() Place {
	return func() Place { return Place{Rank: 1, Readers: []mesh.Peer{{Instance: name, Addr: first.addr}, {}}} }
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
	a := start(t, "a", cut, func() Place { return Place{Readers: []mesh.Peer{{}, {Instance: "b", Addr: b.addr}}} })
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

// An instance that knows nothing takes a table from a peer that does; one that knows nothing either is no help.
func TestFetch(t *testing.T) {
	t.Parallel()
	src := &table{}
	src.set("one")
	a := start(t, "a", src, self)
	a.waitFor(t, "one")
	away := &table{away: true}
	b := start(t, "b", away, self)
	must.ErrorIs(t, b.track.Fetch(context.Background(), b.addr), errUnknown)
	must.NoError(t, b.track.Fetch(context.Background(), a.addr))
	must.Eq(t, "one", b.value.Load())
}

// mayRead is how many instances of a group rank to read.
const mayRead = 3

// group starts instances that all rank the same way, each with a source of its own. It returns them and the sources, in
// rank; delay holds the first back.
func group(t *testing.T, n int, delay time.Duration) ([]*member, []*table) {
	t.Helper()
	return groupOf(t, n, delay, func(self int, all []mesh.Peer) Place {
		if self < mayRead {
			return Place{Rank: self, Readers: all}
		}
		return Place{Role: Follows, Readers: all}
	})
}

// groupOf is group with the places that place gives; all are the instances in rank, this one with an empty address.
func groupOf(t *testing.T, n int, delay time.Duration, place func(self int, all []mesh.Peer) Place) ([]*member, []*table) {
	t.Helper()
	members := make([]*member, n)
	tables := make([]*table, n)
	var mu sync.Mutex
	ranks := func(self int) func() Place {
		return func() Place {
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

// All instances start in one moment, and the one that is to read comes up last. Each other would read all tables itself and
// cost the store ten calls; they wait for the first in rank instead, and have the tables from it.
func TestStartOfAllIsReadByFew(t *testing.T) {
	t.Parallel()
	members, tables := group(t, 8, 100*time.Millisecond)
	for _, m := range members {
		m.waitFor(t, "one")
	}
	for i := mayRead; i < len(tables); i++ {
		must.Eq(t, 0, tables[i].calls.Load(), must.Sprint(i))
	}
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

// The store turns away all three that rank to read, and serves the two that relay in a failure domain and those that follow
// them. Each that relays was told by its own look that the store is there, and went on to another of the three, which is as
// cut off: nobody read, and settings were four seconds old. One that the store answers reads; the others find it.
func TestAllThatRankToReadAreRejected(t *testing.T) {
	t.Parallel()
	const relays, all = 5, 9
	members, tables := groupOf(t, all, 0, func(self int, list []mesh.Peer) Place {
		switch {
		case self < mayRead:
			return Place{Rank: self, Readers: list[:relays]}
		case self == mayRead:
			return Place{Role: Relays, Readers: append(slices.Clone(list[:mayRead]), list[mayRead:relays]...)}
		case self < relays:
			return Place{Role: Relays, Rank: 1, Readers: append([]mesh.Peer{list[mayRead]}, append(slices.Clone(list[:mayRead]), mesh.Peer{})...)}
		}
		return Place{Role: Follows, Readers: append(slices.Clone(list[mayRead:relays]), append(slices.Clone(list[:mayRead]), mesh.Peer{})...)}
	})
	for _, m := range members {
		m.waitFor(t, "one")
	}
	for i, s := range tables {
		s.mu.Lock()
		s.away = i < mayRead
		s.mu.Unlock()
		s.set("two")
	}
	for i, m := range members {
		must.Less(t, 3*time.Second, m.waitFor(t, "two"), must.Sprint(i))
	}
	for _, s := range tables {
		s.set("three")
	}
	for i, m := range members {
		must.Less(t, time.Second, m.waitFor(t, "three"), must.Sprint(i))
	}
	for i := relays; i < all; i++ {
		must.Eq(t, 0, tables[i].calls.Load(), must.Sprint(i))
	}
}

// Three instances that rank to read had each given up the reader before them, and went on to each other: a followed c, c
// followed b, and b was about to follow a. Each page was fresh when it was sent on, and nobody read the store. One whose pages
// come through this instance is not followed, however high it ranks; nor is one whose word of the store is older.
func TestNobodyFollowsInACircle(t *testing.T) {
	t.Parallel()
	a := start(t, "a", &table{}, self)
	tr := New(Config{Self: "b", MaxAge: time.Second, Node: a.node})
	sub := func(age time.Duration, path ...string) *subscription {
		stream, err := a.node.Open(t.Context(), mesh.Peer{Instance: "a", Addr: a.addr}, meshpb.StreamKind_STREAM_FEED)
		must.NoError(t, err)
		return &subscription{t: tr, stream: stream, stop: func() bool { return true }, age: age, path: path}
	}
	must.ErrorIs(t, tr.worse(sub(0, "a", "c", "b")), errCycle)
	must.ErrorIs(t, tr.worse(sub(2*time.Second, "a", "x")), errTooOld)
	must.NoError(t, tr.worse(sub(0, "a", "x")))
	tr.comesBy([]string{"a", "x"})
	must.Eq(t, []string{"b", "a", "x"}, tr.pathNow())
}
