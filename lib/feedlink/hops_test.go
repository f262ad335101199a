package feedlink

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/mesh"
)

// Three relays lie between the reader and an instance. Its tables must be only milliseconds older than the reader's: with one more page
// interval per hop it would assume that the reader had lost the store.
func TestContactAgeDoesNotGrowPerHop(t *testing.T) {
	t.Parallel()
	src := &table{}
	src.set("one")
	last := startMember(t, "r", src, ranksFirst)
	for _, name := range []string{"a", "b", "c", "d"} {
		upstream := last
		last = startMember(t, name, src, ranksAfter(upstream, upstream.node.Self().Instance))
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

// A starting instance waits for a relay, and learns meanwhile that it should read the store itself while the relay waits for it. It must
// read at once; otherwise both would have no tables for another second.
func TestFirstReaderDoesNotWaitForRelay(t *testing.T) {
	t.Parallel()
	src := &table{}
	src.set("one")
	relay := newIdleMember(t, "relay", src, nil)
	var ranked atomic.Bool
	reader := newIdleMember(t, "reader", src, func() Assignment {
		if ranked.Load() {
			return ranksFirst()
		}
		return Assignment{Role: RoleFollower, Upstreams: []mesh.Peer{{Instance: "relay", Addr: relay.addr}, {}}}
	})
	relay.syncer.Assignment = ranksAfter(reader, "reader")
	relay.run(t, func(string) {})
	reader.run(t, func(string) {})
	time.Sleep(50 * time.Millisecond)
	ranked.Store(true)
	must.Less(t, emptyUpstreamWait*7/10, reader.waitFor(t, "one"))
	must.Less(t, emptyUpstreamWait, relay.waitFor(t, "one"))
}

// ownLoopback returns a loopback address that no other process uses: a port there stays free between two listens.
func ownLoopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 201+pid%50, 1+pid/50%250, 1+pid/12500%250)
}

// All instances of a large site start at once, and an instance's upstreams start later than itself. It waits for them instead of reading
// all tables itself, which would take seconds.
func TestFollowerOfLargeSiteWaitsForLaterUpstream(t *testing.T) {
	t.Parallel()
	src, unused := &table{}, &table{}
	src.set("one")
	ln, err := net.Listen("tcp", ownLoopback()+":0")
	must.NoError(t, err)
	addr := ln.Addr().String()
	must.NoError(t, ln.Close())
	f := newIdleMember(t, "f", unused, func() Assignment {
		return Assignment{Role: RoleFollower, LargeSite: true, Upstreams: []mesh.Peer{{Instance: "r", Addr: addr}, {}}}
	})
	f.run(t, func(string) {})
	time.Sleep(2 * startDelay)
	late := newMember(t, "r", src, ranksFirst)
	Serve(late.node, late.syncer)
	ln, err = net.Listen("tcp", addr)
	must.NoError(t, err)
	go func() { _ = late.node.Serve(ln) }()
	late.run(t, func(string) {})
	f.waitFor(t, "one")
	must.Eq(t, 0, unused.calls.Load())
}
