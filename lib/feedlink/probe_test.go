package feedlink

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/mesh"
)

// newStagedMember is a member that does not run; the test sets what its pages report.
func newStagedMember(t *testing.T, name string, lost bool, path ...string) *member {
	t.Helper()
	m := newIdleMember(t, name, &table{}, ranksFirst)
	m.syncer.storeLost.Store(lost)
	m.syncer.setUpstreamPath(path)
	m.confirm()
	return m
}

// confirm sets the member's last contact with the store to now.
func (m *member) confirm() {
	m.replica.Merge(feed.Page{Version: 1, Rows: []feed.Row{{Key: "k", Value: []byte("one"), Version: 1}}}, true, time.Now())
}

// keepFresh keeps confirming the member's tables until the test ends.
func (m *member) keepFresh(t *testing.T) {
	t.Helper()
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
				m.confirm()
			}
		}
	}()
}

// The reader has lost the store, and an instance that takes the tables through it does not report that yet. The next in rank must not
// follow that instance: it would get nothing newer, and would stop probing the store while its upstream looks healthy.
func TestInstanceBehindLostReaderIsNotFollowed(t *testing.T) {
	t.Parallel()
	reader := newStagedMember(t, "reader", true)
	behind := newStagedMember(t, "behind", false, "reader")
	behind.keepFresh(t)
	src := &table{}
	src.set("one")
	src.set("two")
	next := newIdleMember(t, "next", src, func() Assignment {
		return Assignment{
			Role: RoleReader, Rank: 1,
			Upstreams:    []mesh.Peer{{Instance: "reader", Addr: reader.addr}, {}},
			RemoteRelays: []mesh.Peer{{Instance: "behind", Addr: behind.addr}},
		}
	})
	var followedBehind atomic.Bool
	next.run(t, func(instance string) {
		if instance == "behind" {
			followedBehind.Store(true)
		}
	})
	must.Less(t, 2*time.Second, next.waitFor(t, "two"))
	must.False(t, followedBehind.Load())
}

// While the loss of the store spreads, each upstream that the next in rank switches to looks healthy at first and reports the loss a
// moment later, so it goes back to the reader. The wait for its own probe must continue through these switches; restarted with
// each, it would last as long as there are other upstreams.
func TestProbeDelaySurvivesUpstreamChanges(t *testing.T) {
	t.Parallel()
	reader := newStagedMember(t, "reader", true)
	reader.keepFresh(t)
	var others []mesh.Peer
	followed := make(map[string]*member)
	for i := range 6 {
		name := fmt.Sprint("other", i)
		m := newStagedMember(t, name, false)
		m.keepFresh(t)
		followed[name] = m
		others = append(others, mesh.Peer{Instance: name, Addr: m.addr})
	}
	src := &table{}
	src.set("one")
	src.set("two")
	assignment := Assignment{
		Role: RoleReader, Rank: 1, Upstreams: []mesh.Peer{{Instance: "reader", Addr: reader.addr}, {}}, RemoteRelays: others,
	}
	next := newIdleMember(t, "next", src, func() Assignment { return assignment })
	var changes atomic.Int32
	next.run(t, func(instance string) {
		changes.Add(1)
		if m := followed[instance]; m != nil {
			time.AfterFunc(50*time.Millisecond, func() { m.syncer.storeLost.Store(true) })
		}
	})
	must.Less(t, 2*time.Second, next.waitFor(t, "two"))
	must.Greater(t, 1, changes.Load())
}
