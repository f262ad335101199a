package feedlink

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// The store rejects all three reader candidates, and serves the two relays of a failure domain and their followers. A relay whose probe
// succeeded used to switch to another of the three, which was cut off as well: nobody read, and settings were four seconds old. Now an
// instance whose probe succeeds reads; the others find it.
func TestAllReaderCandidatesAreRejected(t *testing.T) {
	t.Parallel()
	const relays, all = 5, 9
	members, tables := startGroupWith(t, all, 0, func(self int, list []mesh.Peer) Assignment {
		switch {
		case self < numReaders:
			return Assignment{Rank: self, Upstreams: list[:relays]}
		case self == numReaders:
			return Assignment{Role: RoleRelay, Upstreams: append(slices.Clone(list[:numReaders]), list[numReaders:relays]...)}
		case self < relays:
			return Assignment{Role: RoleRelay, Rank: 1,
				Upstreams: append([]mesh.Peer{list[numReaders]}, append(slices.Clone(list[:numReaders]), mesh.Peer{})...)}
		}
		return Assignment{Role: RoleFollower,
			Upstreams: append(slices.Clone(list[numReaders:relays]), append(slices.Clone(list[:numReaders]), mesh.Peer{})...)}
	})
	for _, m := range members {
		m.waitFor(t, "one")
	}
	for i, s := range tables {
		s.mu.Lock()
		s.unavailable = i < numReaders
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

// The reader candidates are dead, and the store rejects the relays of one failure domain while it serves those of another. The former had
// nobody left to query, and their domain used old settings until its followers probed the store, four seconds and more later. They must
// query the relays of other domains, all at once.
func TestUpstreamIsFoundInAnotherDomain(t *testing.T) {
	t.Parallel()
	const relayHere, relayThere, here, there, all = 3, 4, 5, 6, 7
	members, tables := startGroupWith(t, all, 0, func(self int, list []mesh.Peer) Assignment {
		readers := slices.Clone(list[:numReaders])
		switch self {
		case relayHere:
			return Assignment{Role: RoleRelay, Upstreams: append(readers, mesh.Peer{}), RemoteRelays: list[relayThere : relayThere+1]}
		case relayThere:
			return Assignment{Role: RoleRelay, Upstreams: append(readers, mesh.Peer{}), RemoteRelays: list[relayHere : relayHere+1]}
		case here:
			return Assignment{Role: RoleFollower, Upstreams: append([]mesh.Peer{list[relayHere]}, append(readers, mesh.Peer{})...)}
		case there:
			return Assignment{Role: RoleFollower, Upstreams: append([]mesh.Peer{list[relayThere]}, append(readers, mesh.Peer{})...)}
		}
		return Assignment{Rank: self, Upstreams: readers}
	})
	for _, m := range members {
		m.waitFor(t, "one")
	}
	for i, s := range tables {
		s.mu.Lock()
		s.unavailable = i != relayThere
		s.mu.Unlock()
		if i < numReaders {
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

// A new instance ranks before the current reader, and still takes the tables from it for half a second. The reader checks at once, finds
// a cycle, and used to avoid the new instance for five seconds, while both read the store. It must check again soon.
func TestReaderYieldsSoonToFormerFollower(t *testing.T) {
	t.Parallel()
	var listed, reads atomic.Bool
	members, tables := startGroupWith(t, 2, 0, func(self int, list []mesh.Peer) Assignment {
		switch {
		case self == 0 && !reads.Load():
			return Assignment{Role: RoleFollower, Upstreams: []mesh.Peer{list[1], {}}}
		case self == 1 && !listed.Load():
			return Assignment{Upstreams: []mesh.Peer{{}}}
		}
		return Assignment{Rank: self, Upstreams: list}
	})
	for _, m := range members {
		m.waitFor(t, "one")
	}
	listed.Store(true)
	time.Sleep(2 * reconsiderInterval)
	reads.Store(true)
	time.Sleep(2 * time.Second)
	before := tables[1].calls.Load()
	time.Sleep(time.Second)
	must.Eq(t, before, tables[1].calls.Load())
	must.Positive(t, tables[0].calls.Load())
}

// Three reader candidates had each given up the reader before them and switched to one another: a followed c, c followed b, and b was
// about to follow a. Each page was fresh when it was sent, and nobody read the store. An upstream whose pages come through this instance
// is not followed, however high it ranks; nor is one whose last contact with the store is older.
func TestCyclesAreRejected(t *testing.T) {
	t.Parallel()
	a := startMember(t, "a", &table{}, ranksFirst)
	tr := New(Config{Self: "b", MaxAge: time.Second, Node: a.node})
	sub := func(age time.Duration, path ...string) *subscription {
		stream, err := a.node.Open(t.Context(), mesh.Peer{Instance: "a", Addr: a.addr}, meshpb.StreamKind_STREAM_FEED)
		must.NoError(t, err)
		return &subscription{syncer: tr, stream: stream, stop: func() bool { return true }, contactAge: age, path: path}
	}
	must.ErrorIs(t, tr.rejectReason(sub(0, "a", "c", "b")), errCycle)
	must.ErrorIs(t, tr.rejectReason(sub(2*time.Second, "a", "x")), errUpstreamStale)
	must.NoError(t, tr.rejectReason(sub(0, "a", "x")))
	tr.setUpstreamPath([]string{"a", "x"})
	must.Eq(t, []string{"b", "a", "x"}, tr.upstreamPath())
}
