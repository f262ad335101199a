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
	mu          sync.Mutex
	version     int64
	era         int64
	value       string
	unavailable bool
	calls       atomic.Int32
}

var errUnavailable = errors.New("away")

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
	if s.unavailable {
		return feed.Page{}, errUnavailable
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
	syncer  *Syncer
	value   atomic.Value
}

func newMember(t *testing.T, name string, src feed.Source, assignment func() Assignment) *member {
	t.Helper()
	m := &member{}
	m.value.Store("")
	m.replica = feed.NewReplica(func(u feed.Update) { m.value.Store(string(u.Rows[0].Value)) })
	node, err := mesh.New(mesh.Options{Self: mesh.Identity{Instance: name, Incarnation: 1}, Plaintext: true})
	must.NoError(t, err)
	m.node = node
	m.syncer = New(Config{
		Self:   name,
		Tables: []Table{{Name: "t", Source: src, Replica: m.replica, Options: feed.DefaultOptions, Critical: true}},
		MaxAge: time.Second, Node: node, Assignment: assignment, OnSourceError: func(string, error) {}, OnSourceChange: func(string) {},
	})
	return m
}

func startMember(t *testing.T, name string, src feed.Source, assignment func() Assignment) *member {
	t.Helper()
	m := newIdleMember(t, name, src, assignment)
	m.run(t, func(string) {})
	return m
}

// run runs a member that was created by newIdleMember; onSourceChange is called for each change of its upstream.
func (m *member) run(t *testing.T, onSourceChange func(instance string)) {
	t.Helper()
	m.syncer.OnSourceChange = onSourceChange
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.syncer.Run(ctx)
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
	t.Fatalf("value %q did not arrive, have %q", value, m.value.Load())
	return 0
}

func ranksFirst() Assignment { return Assignment{Upstreams: []mesh.Peer{{}}} }

// ranksAfter returns the assignment of an instance that ranks to read after first.
func ranksAfter(first *member, name string) func() Assignment {
	return func() Assignment {
		return Assignment{Rank: 1, Upstreams: []mesh.Peer{{Instance: name, Addr: first.addr}, {}}}
	}
}

// A change, small or large, reaches an instance that does not read the store itself, without a call of its own.
func TestChangeIsForwarded(t *testing.T) {
	t.Parallel()
	src, unused := &table{}, &table{}
	src.set("one")
	a := startMember(t, "a", src, ranksFirst)
	a.waitFor(t, "one")
	b := startMember(t, "b", unused, ranksAfter(a, "a"))
	b.waitFor(t, "one")
	large := strings.Repeat("routes ", 20_000)
	src.set(large)
	must.Less(t, time.Second, b.waitFor(t, large))
	must.Eq(t, 0, unused.calls.Load())
}

// The reader is cut off from the store and keeps forwarding what it has. The other instance notices by the age of the last contact,
// reads the store itself, and gets the next change in time.
func TestReaderCutOffFromTheStore(t *testing.T) {
	t.Parallel()
	cut, src := &table{}, &table{}
	cut.set("one")
	src.set("one")
	a := startMember(t, "a", cut, ranksFirst)
	a.waitFor(t, "one")
	b := startMember(t, "b", src, ranksAfter(a, "a"))
	b.waitFor(t, "one")
	cut.mu.Lock()
	cut.unavailable = true
	cut.mu.Unlock()
	src.set("two")
	must.Less(t, 4*time.Second, b.waitFor(t, "two"))
}

// The instance that should read the store is the only one cut off from it. It gets changes from a peer that reaches the store.
func TestCutOffReaderFollowsPeer(t *testing.T) {
	t.Parallel()
	src, cut := &table{}, &table{}
	src.set("one")
	cut.set("one")
	b := startMember(t, "b", src, ranksFirst)
	b.waitFor(t, "one")
	a := startMember(t, "a", cut, func() Assignment { return Assignment{Upstreams: []mesh.Peer{{}, {Instance: "b", Addr: b.addr}}} })
	a.waitFor(t, "one")
	cut.mu.Lock()
	cut.unavailable = true
	cut.mu.Unlock()
	src.set("two")
	must.Less(t, 4*time.Second, a.waitFor(t, "two"))
	src.set("three")
	must.Less(t, time.Second, a.waitFor(t, "three"))
}

// The reader dies: the other instance reads the store itself.
func TestReaderDies(t *testing.T) {
	t.Parallel()
	src := &table{}
	src.set("one")
	a := startMember(t, "a", src, ranksFirst)
	a.waitFor(t, "one")
	b := startMember(t, "b", src, ranksAfter(a, "a"))
	b.waitFor(t, "one")
	a.node.Close()
	src.set("two")
	must.Less(t, 2*time.Second, b.waitFor(t, "two"))
}

// newIdleMember creates a member whose Syncer does not run.
func newIdleMember(t *testing.T, name string, src feed.Source, assignment func() Assignment) *member {
	t.Helper()
	m := newMember(t, name, src, assignment)
	m.serve(t)
	return m
}

func (m *member) serve(t *testing.T) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	m.addr = ln.Addr().String()
	Serve(m.node, m.syncer)
	go func() { _ = m.node.Serve(ln) }()
	t.Cleanup(m.node.Close)
}

// numReaders is the number of reader candidates of a group.
const numReaders = 3

// startGroup starts instances that all rank the same way, each with its own source. It returns them and the sources in order of rank;
// delay delays the start of the first.
func startGroup(t *testing.T, n int, delay time.Duration) ([]*member, []*table) {
	t.Helper()
	return startGroupWith(t, n, delay, func(self int, all []mesh.Peer) Assignment {
		if self < numReaders {
			return Assignment{Rank: self, Upstreams: all}
		}
		return Assignment{Role: RoleFollower, Upstreams: all}
	})
}

// startGroupWith is like startGroup with the assignments that assign returns; all are the instances in rank, this one with an empty
// address.
func startGroupWith(t *testing.T, n int, delay time.Duration, assign func(self int, all []mesh.Peer) Assignment) ([]*member, []*table) {
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
					out[i] = mesh.Peer{Instance: fmt.Sprint("m", i), Addr: "127.0.0.1:1"} // not started yet
				default:
					out[i] = mesh.Peer{Instance: fmt.Sprint("m", i), Addr: m.addr}
				}
			}
			return assign(self, out)
		}
	}
	for i := n - 1; i >= 0; i-- {
		tables[i] = &table{}
		tables[i].set("one")
		if i == 0 {
			time.Sleep(delay)
		}
		m := startMember(t, fmt.Sprint("m", i), tables[i], ranks(i))
		mu.Lock()
		members[i] = m
		mu.Unlock()
	}
	return members, tables
}

// The store rejects the reader and serves the others. The next in rank takes over at once, all instances get the next change in time,
// and those that are not reader candidates don't call the store.
func TestRejectedReaderIsReplacedByNextInRank(t *testing.T) {
	t.Parallel()
	members, tables := startGroup(t, 8, 0)
	for _, m := range members {
		m.waitFor(t, "one")
	}
	for i, s := range tables {
		s.mu.Lock()
		s.unavailable = i == 0
		s.mu.Unlock()
		s.set("two")
	}
	for _, m := range members {
		must.Less(t, 2*time.Second, m.waitFor(t, "two"))
	}
	for i := numReaders; i < len(tables); i++ {
		must.Eq(t, 0, tables[i].calls.Load(), must.Sprint(i))
	}
}
