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

// staged is a member that does not run: the test says what its pages tell.
func staged(t *testing.T, name string, lost bool, path ...string) *member {
	t.Helper()
	m := idle(t, name, &table{}, self)
	m.track.lost.Store(lost)
	m.track.comesBy(path)
	m.confirm()
	return m
}

// confirm makes the member's word of the store fresh.
func (m *member) confirm() {
	m.replica.Merge(feed.Page{Version: 1, Rows: []feed.Row{{Key: "k", Value: []byte("one"), Version: 1}}}, true, time.Now())
}

// keepFresh confirms the member's word until the test ends.
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

// The reader has lost the store. One that has the tables through it has not been told so yet, and looks sound. The next in rank
// must not go there: it would hear nothing newer, and stop looking for the store while it seems to be followed well.
func TestNoHelpFromThoseBehindTheLostReader(t *testing.T) {
	t.Parallel()
	reader := staged(t, "reader", true)
	behind := staged(t, "behind", false, "reader")
	behind.keepFresh(t)
	src := &table{}
	src.set("one")
	src.set("two")
	next := idle(t, "next", src, func() Assignment {
		return Assignment{
			Role: RoleReader, Rank: 1,
			Upstreams:    []mesh.Peer{{Instance: "reader", Addr: reader.addr}, {}},
			RemoteRelays: []mesh.Peer{{Instance: "behind", Addr: behind.addr}},
		}
	})
	var misled atomic.Bool
	next.run(t, func(instance string) {
		if instance == "behind" {
			misled.Store(true)
		}
	})
	must.Less(t, 2*time.Second, next.waitFor(t, "two"))
	must.False(t, misled.Load())
}

// News of a lost store spreads: each instance that the next in rank turns to looks sound at first, and says a moment later that it
// has lost the store, too, so it goes back to the first. The wait for its own look at the store goes on through all of these
// changes of reader; begun anew with each it would last for as long as there are others to turn to.
func TestWaitForOwnLookOutlivesReaders(t *testing.T) {
	t.Parallel()
	reader := staged(t, "reader", true)
	reader.keepFresh(t)
	var others []mesh.Peer
	followed := make(map[string]*member)
	for i := range 6 {
		name := fmt.Sprint("other", i)
		m := staged(t, name, false)
		m.keepFresh(t)
		followed[name] = m
		others = append(others, mesh.Peer{Instance: name, Addr: m.addr})
	}
	src := &table{}
	src.set("one")
	src.set("two")
	place := Assignment{Role: RoleReader, Rank: 1, Upstreams: []mesh.Peer{{Instance: "reader", Addr: reader.addr}, {}}, RemoteRelays: others}
	next := idle(t, "next", src, func() Assignment { return place })
	var changes atomic.Int32
	next.run(t, func(instance string) {
		changes.Add(1)
		if m := followed[instance]; m != nil {
			time.AfterFunc(50*time.Millisecond, func() { m.track.lost.Store(true) })
		}
	})
	must.Less(t, 2*time.Second, next.waitFor(t, "two"))
	must.Greater(t, 1, changes.Load())
}
