package feedlink

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/mesh"
)

// Three relays stand between the one that reads the store and an instance. Its tables are no older than those of the reader but for some
// milliseconds: with one more beat at each hop it would take the reader to have lost the store.
func TestStoresWordIsAsNewAfterManyHops(t *testing.T) {
	t.Parallel()
	src := &table{}
	src.set("one")
	last := start(t, "r", src, self)
	for _, name := range []string{"a", "b", "c", "d"} {
		above := last
		last = start(t, name, src, second(above, above.node.Self().Instance))
		last.waitFor(t, "one")
	}
	time.Sleep(time.Second)
	oldest := time.Duration(0)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		oldest = max(oldest, time.Since(last.replica.LastContact()))
	}
	t.Logf("at most %v old", oldest)
	must.Less(t, 1100*time.Millisecond, oldest)
}

// An instance that starts waits for one that relays, and learns meanwhile that it is the one that should read the store itself: the other
// waits for it. It reads at once; both would else know nothing for another second.
func TestOneThatShouldReadWaitsForNobody(t *testing.T) {
	t.Parallel()
	src := &table{}
	src.set("one")
	relay := idle(t, "relay", src, nil)
	var ranked atomic.Bool
	reader := idle(t, "reader", src, func() Assignment {
		if ranked.Load() {
			return self()
		}
		return Assignment{Role: RoleFollower, Upstreams: []mesh.Peer{{Instance: "relay", Addr: relay.addr}, {}}}
	})
	relay.track.Assignment = second(reader, "reader")
	relay.run(t, func(string) {})
	reader.run(t, func(string) {})
	time.Sleep(50 * time.Millisecond)
	ranked.Store(true)
	must.Less(t, waitNew*7/10, reader.waitFor(t, "one"))
	must.Less(t, waitNew, relay.waitFor(t, "one"))
}

// All instances of a large site start at once, and those that an instance follows start later than it. It waits for them, and does not read
// all tables itself: it would be at it for seconds.
func TestFollowerOfALargeSiteWaitsForThoseThatStartLater(t *testing.T) {
	t.Parallel()
	src, unused := &table{}, &table{}
	src.set("one")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	addr := ln.Addr().String()
	must.NoError(t, ln.Close())
	f := idle(t, "f", unused, func() Assignment {
		return Assignment{Role: RoleFollower, LargeSite: true, Upstreams: []mesh.Peer{{Instance: "r", Addr: addr}, {}}}
	})
	f.run(t, func(string) {})
	time.Sleep(2 * patience)
	late := newMember(t, "r", src, self)
	Serve(late.node, late.track)
	ln, err = net.Listen("tcp", addr)
	must.NoError(t, err)
	go func() { _ = late.node.Serve(ln) }()
	late.run(t, func(string) {})
	f.waitFor(t, "one")
	must.Eq(t, 0, unused.calls.Load())
}
