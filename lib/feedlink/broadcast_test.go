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

// receivedBroadcasts records the broadcasts that a member received.
type receivedBroadcasts struct {
	mu  sync.Mutex
	got []string
}

func (h *receivedBroadcasts) record(body []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.got = append(h.got, string(body))
}

func (h *receivedBroadcasts) list() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.got)
}

// startTree starts a reader with two relays that have two followers each: r, a and b, a0, a1, b0 and b1.
func startTree(t *testing.T) (map[string]*member, map[string]*receivedBroadcasts) {
	t.Helper()
	src := &table{}
	src.set("one")
	members, received := make(map[string]*member), make(map[string]*receivedBroadcasts)
	add := func(name, upstream string) {
		assignment := ranksFirst
		if upstream != "" {
			assignment = ranksAfter(members[upstream], upstream)
		}
		m, h := newIdleMember(t, name, src, assignment), new(receivedBroadcasts)
		m.syncer.OnBroadcast = h.record
		m.run(t, func(string) {})
		members[name], received[name] = m, h
		m.waitFor(t, "one")
	}
	add("r", "")
	for _, relay := range []string{"a", "b"} {
		add(relay, "r")
		add(relay+"0", relay)
		add(relay+"1", relay)
	}
	return members, received
}

// A broadcast of any instance, whether it reads, relays or follows, reaches every other instance once, and not itself.
func TestBroadcastReachesAllOnce(t *testing.T) {
	t.Parallel()
	members, received := startTree(t)
	names := []string{"r", "a", "a1", "b0"}
	for _, name := range names {
		for i := range 20 {
			members[name].syncer.Broadcast(fmt.Append(nil, name, " ", i))
		}
	}
	for name, h := range received {
		want := 20 * len(names)
		if slices.Contains(names, name) {
			want -= 20
		}
		end := time.Now().Add(10 * time.Second)
		for len(h.list()) < want && time.Now().Before(end) {
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond) // for duplicates
		got := h.list()
		must.Len(t, want, got, must.Sprint(name))
		slices.Sort(got)
		must.Len(t, want, slices.Compact(got), must.Sprint(name))
	}
}

// A relay dies right after it received a broadcast. Its followers switch to another upstream, and get the broadcasts that the relay may
// not have forwarded.
func TestBroadcastSurvivesRelayFailure(t *testing.T) {
	t.Parallel()
	src := &table{}
	src.set("one")
	r := startMember(t, "r", src, ranksFirst)
	a := startMember(t, "a", src, ranksAfter(r, "r"))
	a.waitFor(t, "one")
	f, h := newIdleMember(t, "f", src, func() Assignment {
		return Assignment{Role: RoleFollower, Upstreams: []mesh.Peer{{Instance: "a", Addr: a.addr}, {Instance: "r", Addr: r.addr}, {}}}
	}), new(receivedBroadcasts)
	f.syncer.OnBroadcast = h.record
	f.run(t, func(string) {})
	f.waitFor(t, "one")
	a.node.Close()
	r.syncer.Broadcast([]byte("x"))
	for end := time.Now().Add(10 * time.Second); len(h.list()) == 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	must.Eq(t, []string{"x"}, h.list())
}

// Broadcasts that are too old, of this instance, too large, empty or duplicate are rejected, and the number kept is bounded.
func TestInvalidBroadcastIsRejected(t *testing.T) {
	l := newBroadcastLog("me", 1)
	now := time.Now()
	good := &meshpb.FeedNews{Origin: "x", Incarnation: 1, Serial: 1, Body: []byte("b")}
	must.True(t, l.addRemote(now, good, "n"))
	for _, bad := range []*meshpb.FeedNews{
		good,
		{Origin: "me", Serial: 9},
		{Origin: "x", Serial: 2, AgeMs: 1 << 31},
		{Origin: "x", Serial: 3, Body: make([]byte, maxBatchBytes+1)},
	} {
		must.False(t, l.addRemote(now, bad, "n"))
	}
	l.addRemote(now, nil, "n")
	for i := range 3 * maxBroadcasts {
		l.addRemote(now, &meshpb.FeedNews{Origin: "y", Serial: uint64(i)}, "n")
	}
	must.Len(t, maxBroadcasts, l.items)
	must.MapLen(t, maxBroadcasts, l.seen)
	must.True(t, l.addRemote(now.Add(2*broadcastTTL), &meshpb.FeedNews{Origin: "z", Serial: 1}, "n"))
	must.Len(t, 1, l.items)
}

// A neighbour does not get its own broadcasts back, and many broadcasts are split into batches.
func TestBroadcastsForNeighbour(t *testing.T) {
	l := newBroadcastLog("me", 1)
	now := time.Now()
	to := l.newReader("n")
	l.addRemote(now, &meshpb.FeedNews{Origin: "x", Serial: 1}, "n")
	l.addRemote(now, &meshpb.FeedNews{Origin: "n", Serial: 1}, "other")
	must.SliceEmpty(t, to.nextBatch(now))
	for range 5 {
		l.addLocal(now, make([]byte, maxBatchBytes/2))
	}
	must.Len(t, 2, to.nextBatch(now))
	must.Len(t, 2, to.nextBatch(now))
	must.Len(t, 1, to.nextBatch(now))
	must.SliceEmpty(t, to.nextBatch(now))
}
