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

// The store turns away all three that rank to read, and serves the two that relay in a failure domain and those that follow
// them. Each that relays was told by its own look that the store is there, and went on to another of the three, which is as
// cut off: nobody read, and settings were four seconds old. One that the store answers reads; the others find it.
func TestAllThatRankToReadAreRejected(t *testing.T) {
	t.Parallel()
	const relays, all = 5, 9
	members, tables := groupOf(t, all, 0, func(self int, list []mesh.Peer) Assignment {
		switch {
		case self < mayRead:
			return Assignment{Rank: self, Upstreams: list[:relays]}
		case self == mayRead:
			return Assignment{Role: RoleRelay, Upstreams: append(slices.Clone(list[:mayRead]), list[mayRead:relays]...)}
		case self < relays:
			return Assignment{Role: RoleRelay, Rank: 1, Upstreams: append([]mesh.Peer{list[mayRead]}, append(slices.Clone(list[:mayRead]), mesh.Peer{})...)}
		}
		return Assignment{Role: RoleFollower, Upstreams: append(slices.Clone(list[mayRead:relays]), append(slices.Clone(list[:mayRead]), mesh.Peer{})...)}
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
	members, tables := groupOf(t, all, 0, func(self int, list []mesh.Peer) Assignment {
		readers := slices.Clone(list[:mayRead])
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
	members, tables := groupOf(t, 2, 0, func(self int, list []mesh.Peer) Assignment {
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
