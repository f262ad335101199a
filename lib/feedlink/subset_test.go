package feedlink

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/mesh"
)

// rows is a Source of several rows that tests change.
type rows struct {
	mu      sync.Mutex
	version int64
	held    map[string]feed.Row
}

func (s *rows) put(keys ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	if s.held == nil {
		s.held = make(map[string]feed.Row)
	}
	for _, k := range keys {
		s.held[k] = feed.Row{Key: k, Value: []byte(k), Version: s.version}
	}
}

func (s *rows) Snapshot(context.Context) (feed.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := feed.Page{Version: s.version}
	for _, r := range s.held {
		page.Rows = append(page.Rows, r)
	}
	return page, nil
}

// Changes waits for rows written after a version.
func (s *rows) Changes(ctx context.Context, after int64, wait time.Duration) (feed.Page, error) {
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		page := feed.Page{Version: s.version}
		for _, r := range s.held {
			if r.Version > after {
				page.Rows = append(page.Rows, r)
			}
		}
		s.mu.Unlock()
		if page.Version > after || ctx.Err() != nil {
			return page, ctx.Err()
		}
	}
	return feed.Page{Version: after}, nil
}

// letterPartitioner partitions a table by the first letter of its keys.
type letterPartitioner struct {
	mu      sync.Mutex
	subset  bool              // this instance holds a subset
	letters map[string]string // letters by instance; none: all
	digest  string
}

func (p *letterPartitioner) WantsSubset() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.subset
}

func (p *letterPartitioner) setSubset(part bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.subset = part
}

func (p *letterPartitioner) SubsetFor(instance, _ string) *Subset {
	p.mu.Lock()
	defer p.mu.Unlock()
	letters := p.letters[instance]
	if letters == "" {
		return nil
	}
	return &Subset{ID: letters, Contains: func(r feed.Row) bool { return strings.ContainsAny(r.Key[:1], letters) }}
}

func (p *letterPartitioner) setLetters(instance, letters string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.letters[instance] = letters
}

func (p *letterPartitioner) Digest() []byte { return []byte("digest") }

func (p *letterPartitioner) ApplyDigest(b []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.digest = string(b)
	return nil
}

// holder is a member with a partitioned table.
type holder struct {
	*member
	partitioner *letterPartitioner
	mu          sync.Mutex
	keys        map[string]bool
	removed     []string // keys reported as removed
}

func newHolder(t *testing.T, name string, src feed.Source, assignment func() Assignment) *holder {
	t.Helper()
	h := &holder{partitioner: &letterPartitioner{letters: make(map[string]string)}, keys: make(map[string]bool)}
	h.member = newMember(t, name, src, assignment)
	h.replica = feed.NewReplica(h.apply)
	h.syncer = New(Config{
		Self:   name,
		Tables: []Table{{Name: "t", Source: src, Replica: h.replica, Options: feed.DefaultOptions, Critical: true, Partitioner: h.partitioner}},
		MaxAge: time.Second, Node: h.node, Assignment: assignment, OnSourceError: func(string, error) {}, OnSourceChange: func(string) {},
	})
	h.serve(t)
	return h
}

func (h *holder) apply(u feed.Update) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range u.Rows {
		if r.Removed {
			delete(h.keys, r.Key)
			h.removed = append(h.removed, r.Key)
			continue
		}
		h.keys[r.Key] = true
	}
	for _, key := range u.Dropped {
		delete(h.keys, key)
	}
}

func (h *holder) waitForKeys(t *testing.T, want ...string) {
	t.Helper()
	var got []string
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		h.mu.Lock()
		got = nil
		for key := range h.keys {
			got = append(got, key)
		}
		h.mu.Unlock()
		slices.Sort(got)
		if slices.Equal(got, want) {
			return
		}
	}
	t.Fatalf("holds %v, want %v", got, want)
}

// A follower holds the subset of a table that it needs, also after the subset changes. Rows that it no longer needs are not reported as
// removed; removed rows of its subset are.
func TestFollowerHoldsItsSubset(t *testing.T) {
	t.Parallel()
	src := new(rows)
	src.put("a1", "a2", "b1", "c1")
	r := newHolder(t, "r", src, ranksFirst)
	r.run(t, func(string) {})
	r.waitForKeys(t, "a1", "a2", "b1", "c1")
	f := newHolder(t, "f", src, ranksAfter(r.member, "r"))
	f.partitioner.setSubset(true)
	r.partitioner.setLetters("f", "a")
	f.run(t, func(string) {})
	f.waitForKeys(t, "a1", "a2")
	must.True(t, f.replica.Partial())
	must.Eq(t, "digest", f.partitioner.digest)
	src.put("a3", "b2")
	f.waitForKeys(t, "a1", "a2", "a3")
	r.partitioner.setLetters("f", "ab")
	f.waitForKeys(t, "a1", "a2", "a3", "b1", "b2")
	r.partitioner.setLetters("f", "c")
	f.waitForKeys(t, "c1")
	must.SliceEmpty(t, f.removed)
	r.replica.Merge(feed.Page{Version: src.version + 1, Rows: []feed.Row{
		{Key: "c1", Removed: true, Version: src.version + 1},
	}}, false, time.Now())
	f.waitForKeys(t)
	must.Eq(t, []string{"c1"}, f.removed)
}

// An instance that held a subset becomes a relay, or reads the store itself, and then holds the whole table.
func TestSubsetHolderSwitchesToWholeTable(t *testing.T) {
	t.Parallel()
	src := new(rows)
	src.put("a1", "b1")
	r := newHolder(t, "r", src, ranksFirst)
	r.run(t, func(string) {})
	r.waitForKeys(t, "a1", "b1")
	f := newHolder(t, "f", src, ranksAfter(r.member, "r"))
	f.partitioner.setSubset(true)
	r.partitioner.setLetters("f", "a")
	f.run(t, func(string) {})
	f.waitForKeys(t, "a1")
	f.partitioner.setSubset(false)
	f.waitForKeys(t, "a1", "b1")
	f.partitioner.setSubset(true)
	f.waitForKeys(t, "a1")
	r.node.Close()
	src.put("c1")
	f.waitForKeys(t, "a1", "b1", "c1")
	must.False(t, f.replica.Partial())
}

// An instance that holds a subset can't serve the table: the subscriber would take the subset for the whole table, so it goes elsewhere.
func TestSubsetHolderDoesNotServe(t *testing.T) {
	t.Parallel()
	src := new(rows)
	src.put("a1", "b1")
	r := newHolder(t, "r", src, ranksFirst)
	r.run(t, func(string) {})
	r.waitForKeys(t, "a1", "b1")
	f := newHolder(t, "f", src, ranksAfter(r.member, "r"))
	f.partitioner.setSubset(true)
	r.partitioner.setLetters("f", "a")
	f.run(t, func(string) {})
	f.waitForKeys(t, "a1")
	g := newHolder(t, "g", src, func() Assignment {
		return Assignment{Role: RoleFollower, Upstreams: []mesh.Peer{{Instance: "f", Addr: f.addr}, {Instance: "r", Addr: r.addr}, {}}}
	})
	g.run(t, func(string) {})
	g.waitForKeys(t, "a1", "b1")
}

// An instance that knows only its seeds is referred to an upstream by one of them.
func TestNewInstanceIsReferred(t *testing.T) {
	t.Parallel()
	src, unused := new(rows), new(rows)
	src.put("a1")
	r := newHolder(t, "r", src, ranksFirst)
	seed := newHolder(t, "s", src, ranksAfter(r.member, "r"))
	seed.syncer.Ranks = func(domain string) []byte { return []byte("follow r") }
	for _, h := range []*holder{r, seed} {
		h.run(t, func(string) {})
		h.waitForKeys(t, "a1")
	}
	var referred atomic.Bool
	f := newHolder(t, "f", unused, func() Assignment {
		if referred.Load() {
			return ranksAfter(r.member, "r")()
		}
		return Assignment{Bootstrap: true, Role: RoleFollower, Upstreams: []mesh.Peer{{Addr: seed.addr}, {}}}
	})
	f.syncer.ApplyRanks = func(b []byte) bool {
		referred.Store(string(b) == "follow r")
		return referred.Load()
	}
	upstreams := make(chan string, 10)
	f.run(t, func(reader string) { upstreams <- reader })
	f.waitForKeys(t, "a1")
	must.Eq(t, "r", <-upstreams)
}
