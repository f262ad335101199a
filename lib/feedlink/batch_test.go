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

// Hundreds of entries are written one after the other, and many followers share one relay. Each follower gets them in a few pages, the
// last of them soon; a single change after a pause is forwarded at once.
func TestChangesInQuickSuccessionAreBatched(t *testing.T) {
	t.Parallel()
	const followers, changes = 60, 300
	relay := newStagedMember(t, "relay", false)
	b := newIdleMember(t, "b", &table{}, ranksFirst)
	var pages atomic.Int32
	for i := range followers {
		s, err := b.syncer.subscribe(t.Context(), mesh.Peer{Instance: "relay", Addr: relay.addr})
		must.NoError(t, err)
		t.Cleanup(s.close)
		go func() {
			for s.receive() == nil {
				if i == 0 {
					pages.Add(1)
				}
			}
		}()
	}
	put := func(version int64) {
		row := feed.Row{Key: fmt.Sprint("k", version), Value: []byte(fmt.Sprint("v", version)), Version: version}
		relay.replica.Merge(feed.Page{Version: version, Rows: []feed.Row{row}}, false, time.Now())
	}
	time.Sleep(pageInterval / 2)
	pages.Store(0)
	begin := time.Now()
	for v := range int64(changes) {
		put(2 + v)
		time.Sleep(time.Millisecond)
	}
	spread := time.Since(begin)
	waitForVersion(t, b, changes+1)
	must.LessEq(t, int32(spread/(followers*gapPerFollower))+3, pages.Load())
	time.Sleep(2 * followers * gapPerFollower)
	begin = time.Now()
	put(changes + 2)
	waitForVersion(t, b, changes+2)
	must.Less(t, pageInterval/2, time.Since(begin))
}

// waitForVersion waits until a member's replica reaches a version.
func waitForVersion(t *testing.T, m *member, version int64) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if v, _ := m.replica.Version(); v >= version {
			return
		}
	}
	t.Fatalf("version %d did not arrive", version)
}
