package feedlink

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// heard collects the news that a member was told.
type heard struct {
	mu  sync.Mutex
	got []string
}

func (h *heard) take(body []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.got = append(h.got, string(body))
}

func (h *heard) list() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.got)
}

// tree is a reader with two that relay, each with two that follow: r, a and b, a0, a1, b0 and b1.
func tree(t *testing.T) (map[string]*member, map[string]*heard) {
	t.Helper()
	src := &table{}
	src.set("one")
	members, told := make(map[string]*member), make(map[string]*heard)
	add := func(name, above string) {
		place := self
		if above != "" {
			place = second(members[above], above)
		}
		m, h := idle(t, name, src, place), new(heard)
		m.track.OnBroadcast = h.take
		m.run(t, func(string) {})
		members[name], told[name] = m, h
		m.waitFor(t, "one")
	}
	add("r", "")
	for _, relay := range []string{"a", "b"} {
		add(relay, "r")
		add(relay+"0", relay)
		add(relay+"1", relay)
	}
	return members, told
}

// What any instance tells reaches every other one once, and not itself, whether it reads, relays or follows.
func TestNewsReachesAllOnce(t *testing.T) {
	t.Parallel()
	members, told := tree(t)
	names := []string{"r", "a", "a1", "b0"}
	for _, name := range names {
		for i := range 20 {
			members[name].track.Broadcast(fmt.Append(nil, name, " ", i))
		}
	}
	for name, h := range told {
		want := 20 * len(names)
		if slices.Contains(names, name) {
			want -= 20
		}
		end := time.Now().Add(10 * time.Second)
		for len(h.list()) < want && time.Now().Before(end) {
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond) // whatever comes twice
		got := h.list()
		must.Len(t, want, got, must.Sprint(name))
		slices.Sort(got)
		must.Len(t, want, slices.Compact(got), must.Sprint(name))
	}
}

// The one that passes news on dies just after it is told some. Those that followed it follow another, and are told what it may not have
// passed on.
func TestNewsGoesOnByAnotherReader(t *testing.T) {
	t.Parallel()
	src := &table{}
	src.set("one")
	r := start(t, "r", src, self)
	a := start(t, "a", src, second(r, "r"))
	a.waitFor(t, "one")
	f, h := idle(t, "f", src, func() Assignment {
		return Assignment{Role: RoleFollower, Upstreams: []mesh.Peer{{Instance: "a", Addr: a.addr}, {Instance: "r", Addr: r.addr}, {}}}
	}), new(heard)
	f.track.OnBroadcast = h.take
	f.run(t, func(string) {})
	f.waitFor(t, "one")
	a.node.Close()
	r.track.Broadcast([]byte("x"))
	for end := time.Now().Add(10 * time.Second); len(h.list()) == 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	must.Eq(t, []string{"x"}, h.list())
}

// News that is old, of this instance, too large, cut, or told a second time is left out, and what is kept is bounded.
func TestBadNewsIsLeftOut(t *testing.T) {
	l := newNewsLog("me", 1)
	now := time.Now()
	good := &meshpb.FeedNews{Origin: "x", Incarnation: 1, Serial: 1, Body: []byte("b")}
	must.True(t, l.take(now, good, "n"))
	for _, bad := range []*meshpb.FeedNews{
		good,
		{Origin: "me", Serial: 9},
		{Origin: "x", Serial: 2, AgeMs: 1 << 31},
		{Origin: "x", Serial: 3, Body: make([]byte, newsBytes+1)},
	} {
		must.False(t, l.take(now, bad, "n"))
	}
	l.take(now, nil, "n")
	for i := range 3 * newsMost {
		l.take(now, &meshpb.FeedNews{Origin: "y", Serial: uint64(i)}, "n")
	}
	must.Len(t, newsMost, l.items)
	must.MapLen(t, newsMost, l.known)
	must.True(t, l.take(now.Add(2*newsLife), &meshpb.FeedNews{Origin: "z", Serial: 1}, "n"))
	must.Len(t, 1, l.items)
}

// A neighbour is not told what came from it, and of much news as much at a time as a message holds.
func TestNewsForANeighbour(t *testing.T) {
	l := newNewsLog("me", 1)
	now := time.Now()
	to := l.reader("n")
	l.take(now, &meshpb.FeedNews{Origin: "x", Serial: 1}, "n")
	l.take(now, &meshpb.FeedNews{Origin: "n", Serial: 1}, "other")
	must.SliceEmpty(t, to.next(now))
	for range 5 {
		l.tell(now, make([]byte, newsBytes/2))
	}
	must.Len(t, 2, to.next(now))
	must.Len(t, 2, to.next(now))
	must.Len(t, 1, to.next(now))
	must.SliceEmpty(t, to.next(now))
}
