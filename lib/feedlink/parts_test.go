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

// Changes tells what has come.
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

// byLetter divides a table by the first letter of its keys.
type byLetter struct {
	mu     sync.Mutex
	part   bool              // this instance holds a part
	needs  map[string]string // letters, by instance; none: all
	digest string
}

func (p *byLetter) WantsSubset() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.part
}

func (p *byLetter) want(part bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.part = part
}

func (p *byLetter) SubsetFor(instance, _ string) *Subset {
	p.mu.Lock()
	defer p.mu.Unlock()
	letters := p.needs[instance]
	if letters == "" {
		return nil
	}
	return &Subset{ID: letters, Contains: func(r feed.Row) bool { return strings.ContainsAny(r.Key[:1], letters) }}
}

func (p *byLetter) need(instance, letters string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.needs[instance] = letters
}

func (p *byLetter) Digest() []byte { return []byte("digest") }

func (p *byLetter) ApplyDigest(b []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.digest = string(b)
	return nil
}

// holder is a member that keeps a divided table.
type holder struct {
	*member
	parts *byLetter
	mu    sync.Mutex
	keys  map[string]bool
	gone  []string // told as removed
}

func newHolder(t *testing.T, name string, src feed.Source, place func() Assignment) *holder {
	t.Helper()
	h := &holder{parts: &byLetter{needs: make(map[string]string)}, keys: make(map[string]bool)}
	h.member = newMember(t, name, src, place)
	h.replica = feed.NewReplica(h.apply)
	h.track = New(Config{
		Self:   name,
		Tables: []Table{{Name: "t", Source: src, Replica: h.replica, Options: feed.DefaultOptions, Critical: true, Partitioner: h.parts}},
		MaxAge: time.Second, Node: h.node, Assignment: place, OnSourceError: func(string, error) {}, OnSourceChange: func(string) {},
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
			h.gone = append(h.gone, r.Key)
			continue
		}
		h.keys[r.Key] = true
	}
	for _, key := range u.Dropped {
		delete(h.keys, key)
	}
}

func (h *holder) holds(t *testing.T, want ...string) {
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

// An instance that only follows holds what it needs of a table, also when it comes to need something else. Nothing that it gives up is told
// as removed; what is removed of its part is.
func TestFollowerHoldsItsPart(t *testing.T) {
	t.Parallel()
	src := new(rows)
	src.put("a1", "a2", "b1", "c1")
	r := newHolder(t, "r", src, self)
	r.run(t, func(string) {})
	r.holds(t, "a1", "a2", "b1", "c1")
	f := newHolder(t, "f", src, second(r.member, "r"))
	f.parts.want(true)
	r.parts.need("f", "a")
	f.run(t, func(string) {})
	f.holds(t, "a1", "a2")
	must.True(t, f.replica.Partial())
	must.Eq(t, "digest", f.parts.digest)
	src.put("a3", "b2")
	f.holds(t, "a1", "a2", "a3")
	r.parts.need("f", "ab")
	f.holds(t, "a1", "a2", "a3", "b1", "b2")
	r.parts.need("f", "c")
	f.holds(t, "c1")
	must.SliceEmpty(t, f.gone)
	r.replica.Merge(feed.Page{Version: src.version + 1, Rows: []feed.Row{{Key: "c1", Removed: true, Version: src.version + 1}}}, false, time.Now())
	f.holds(t)
	must.Eq(t, []string{"c1"}, f.gone)
}

// An instance that held a part comes to relay, and holds all; one that reads the store itself does, too.
func TestHolderOfAPartComesToHoldAll(t *testing.T) {
	t.Parallel()
	src := new(rows)
	src.put("a1", "b1")
	r := newHolder(t, "r", src, self)
	r.run(t, func(string) {})
	r.holds(t, "a1", "b1")
	f := newHolder(t, "f", src, second(r.member, "r"))
	f.parts.want(true)
	r.parts.need("f", "a")
	f.run(t, func(string) {})
	f.holds(t, "a1")
	f.parts.want(false)
	f.holds(t, "a1", "b1")
	f.parts.want(true)
	f.holds(t, "a1")
	r.node.Close()
	src.put("c1")
	f.holds(t, "a1", "b1", "c1")
	must.False(t, f.replica.Partial())
}

// One that holds a part is asked for the table by another, which goes elsewhere: it would take the part for all there is.
func TestHolderOfAPartPassesNothingOn(t *testing.T) {
	t.Parallel()
	src := new(rows)
	src.put("a1", "b1")
	r := newHolder(t, "r", src, self)
	r.run(t, func(string) {})
	r.holds(t, "a1", "b1")
	f := newHolder(t, "f", src, second(r.member, "r"))
	f.parts.want(true)
	r.parts.need("f", "a")
	f.run(t, func(string) {})
	f.holds(t, "a1")
	g := newHolder(t, "g", src, func() Assignment {
		return Assignment{Role: RoleFollower, Upstreams: []mesh.Peer{{Instance: "f", Addr: f.addr}, {Instance: "r", Addr: r.addr}, {}}}
	})
	g.run(t, func(string) {})
	g.holds(t, "a1", "b1")
}

// An instance that knows no more than its seeds is told by one of them whom to follow.
func TestStartIsReferred(t *testing.T) {
	t.Parallel()
	src, unused := new(rows), new(rows)
	src.put("a1")
	r := newHolder(t, "r", src, self)
	seed := newHolder(t, "s", src, second(r.member, "r"))
	seed.track.Ranks = func(domain string) []byte { return []byte("follow r") }
	for _, h := range []*holder{r, seed} {
		h.run(t, func(string) {})
		h.holds(t, "a1")
	}
	var told atomic.Bool
	f := newHolder(t, "f", unused, func() Assignment {
		if told.Load() {
			return second(r.member, "r")()
		}
		return Assignment{Bootstrap: true, Role: RoleFollower, Upstreams: []mesh.Peer{{Addr: seed.addr}, {}}}
	})
	f.track.ApplyRanks = func(b []byte) bool {
		told.Store(string(b) == "follow r")
		return told.Load()
	}
	from := make(chan string, 10)
	f.run(t, func(reader string) { from <- reader })
	f.holds(t, "a1")
	must.Eq(t, "r", <-from)
}
