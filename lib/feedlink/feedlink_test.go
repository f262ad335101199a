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

func newMember(t *testing.T, name string, src feed.Source, place func() Place) *member {
	t.Helper()
	m := &member{}
	m.value.Store("")
	m.replica = feed.NewReplica(func(u feed.Update) { m.value.Store(string(u.Rows[0].Value)) })
	node, err := mesh.New(mesh.Options{Self: mesh.Identity{Instance: name, Incarnation: 1}, Plain: true})
	must.NoError(t, err)
	m.node = node
	m.track = New(Config{
		Self:   name,
		Tables: []Table{{Name: "t", Source: src, Replica: m.replica, Options: feed.DefaultOptions, Urgent: true}},
		MaxAge: time.Second, Node: node, Place: place, Fail: func(string, error) {}, From: func(string) {},
	})
	return m
}

func start(t *testing.T, name string, src feed.Source, place func() Place) *member {
	t.Helper()
	m := idle(t, name, src, place)
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

// withList adds a table to a member that says who the readers are.
func (m *member) withList(t *testing.T, src feed.Source) *feed.Replica {
	t.Helper()
	list := feed.NewReplica(func(feed.Update) {})
	m.track.Tables = append(m.track.Tables, Table{Name: "list", Source: src, Replica: list, Options: feed.DefaultOptions})
	m.track.followers = append(m.track.followers, feed.NewFollower(src, feed.DefaultOptions, list, func(error) {}))
	return list
}

// idle makes a member whose Track does not run.
func idle(t *testing.T, name string, src feed.Source, place func() Place) *member {
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

// An instance starts and knows of one other. It is told the list of instances there and no more, so that hundreds that start
// at once don't have all tables from the same three; only while that one has lost the store it takes all that is known
// there. One that knows nothing either is no help.
func TestListIsLearntFromASeed(t *testing.T) {
	t.Parallel()
	src := &table{}
	src.set("one")
	seed := newMember(t, "seed", src, self)
	list := seed.withList(t, src)
	seed.serve(t)
	guess := func() Place { return Place{Guess: true, Role: Follows, Readers: []mesh.Peer{{Addr: seed.addr}, {}}} }
	m := idle(t, "m", &table{away: true}, guess)
	own := m.withList(t, &table{away: true})
	at := mesh.Peer{Addr: seed.addr}
	m.track.learn(t.Context(), at)
	_, known := own.Version()
	must.False(t, known)
	must.True(t, m.track.early(m.track.started.Add(patience))) // the seed lives, and reads for it
	must.False(t, m.track.early(m.track.started.Add(longPatience)))

	page, err := src.Snapshot(t.Context())
	must.NoError(t, err)
	list.Take(page, true, time.Now())
	seed.replica.Take(page, true, time.Now())
	m.track.learn(t.Context(), at)
	_, known = own.Version()
	must.True(t, known)
	must.Eq(t, "", m.value.Load())
	must.Nil(t, m.track.better)

	seed.track.lost.Store(true)
	m.track.learn(t.Context(), at)
	must.Eq(t, "one", m.value.Load())
	must.NotNil(t, m.track.better)
	m.track.better.close()
}

// A list of hundreds of rows goes in a third of its bytes, and arrives whole.
func TestManyRowsArePacked(t *testing.T) {
	rows := make([]feed.Row, 300)
	for i := range rows {
		rows[i] = feed.Row{Key: fmt.Sprint("instance-", i), Value: fmt.Appendf(nil, `{"domain":"z%d","addr":"10.%d.0.%d:7200","link":"10.%d.0.%d:8522","capacity":384}`, i%5, i%5, i, i%5, i), Version: int64(i + 1)}
	}
	m := newPacker().message("list", feed.Page{Rows: rows, Version: 300}, true, time.Now())
	must.SliceEmpty(t, m.Rows)
	plain := 0
	for _, r := range rows {
		plain += len(r.Key) + len(r.Value)
	}
	must.Less(t, plain/3, len(m.Packed))
	got := feed.NewReplica(func(u feed.Update) { must.Len(t, 300, u.Rows) })
	must.NoError(t, take(got, m))
	must.Error(t, take(got, &meshpb.FeedTable{Packed: []byte{0xff, 0xff, 0xff, 0xff, 0x7f}}))
	must.Error(t, take(got, &meshpb.FeedTable{Packed: []byte("rubbish")}))
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

// The instances that rank to read are gone, and the store turns away those that relay in one failure domain, while it serves those
// in another. The former had nobody left to ask, and their domain went on by old settings until those that only follow looked
// for the store themselves, four seconds and more later. They ask the ones that relay elsewhere, all at once.
func TestWordIsFoundInAnotherDomain(t *testing.T) {
	t.Parallel()
	const relayHere, relayThere, here, there, all = 3, 4, 5, 6, 7
	members, tables := groupOf(t, all, 0, func(self int, list []mesh.Peer) Place {
		readers := slices.Clone(list[:mayRead])
		switch self {
		case relayHere:
			return Place{Role: Relays, Readers: append(readers, mesh.Peer{}), Others: list[relayThere : relayThere+1]}
		case relayThere:
			return Place{Role: Relays, Readers: append(readers, mesh.Peer{}), Others: list[relayHere : relayHere+1]}
		case here:
			return Place{Role: Follows, Readers: append([]mesh.Peer{list[relayHere]}, append(readers, mesh.Peer{})...)}
		case there:
			return Place{Role: Follows, Readers: append([]mesh.Peer{list[relayThere]}, append(readers, mesh.Peer{})...)}
		}
		return Place{Rank: self, Readers: readers}
	})
	for _, m := range members {
		m.waitFor(t, "one")
	}
	for i, s := range tables {
		s.mu.Lock()
		s.away = i != relayThere
		s.mu.Unlock()
		if i < mayRead {
			members[i].node.Close()
			continue
		}
		s.set("two")
	}
	for _, i := range []int{relayThere, there, relayHere, here} {
		must.Less(t, 3*time.Second, members[i].waitFor(t, "two"), must.Sprint(i))
	}
	must.Eq(t, 0, tables[here].calls.Load())
}

// An instance comes that ranks before the one that reads, and for half a second still has its tables from that one, which looks
// at once, finds a circle and left the newcomer alone for five seconds: meanwhile both read the store. It looks again soon.
func TestReaderGivesWaySoonToOneThatFollowedIt(t *testing.T) {
	t.Parallel()
	var listed, reads atomic.Bool
	members, tables := groupOf(t, 2, 0, func(self int, list []mesh.Peer) Place {
		switch {
		case self == 0 && !reads.Load():
			return Place{Role: Follows, Readers: []mesh.Peer{list[1], {}}}
		case self == 1 && !listed.Load():
			return Place{Readers: []mesh.Peer{{}}}
		}
		return Place{Rank: self, Readers: list}
	})
	for _, m := range members {
		m.waitFor(t, "one")
	}
	listed.Store(true)
	time.Sleep(2 * reconsider)
	reads.Store(true)
	time.Sleep(2 * time.Second)
	before := tables[1].calls.Load()
	time.Sleep(time.Second)
	must.Eq(t, before, tables[1].calls.Load())
	must.Positive(t, tables[0].calls.Load())
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
