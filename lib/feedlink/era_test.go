package feedlink

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// setTable gives a member a table at a position, as if the store had just confirmed it.
func (m *member) setTable(position feed.Position, row feed.Row) {
	m.replica.Merge(feed.Page{Era: position.Era, Version: position.Version, Rows: []feed.Row{row}}, true, time.Now())
}

func newRow(version int64, value string) feed.Row {
	return feed.Row{Key: "k", Value: []byte(value), Version: version}
}

// The store was restored from a backup. A reader in the new era forwards a change whose version is below the follower's position in the
// old era.
func TestFollowerInOlderEraSwitchesToNewEra(t *testing.T) {
	t.Parallel()
	unavailable := &table{unavailable: true}
	reader := newIdleMember(t, "a", unavailable, ranksFirst)
	follower := newIdleMember(t, "b", unavailable, ranksAfter(reader, "a"))
	reader.setTable(feed.Position{Era: 1, Version: 40}, newRow(30, "old"))
	reader.setTable(feed.Position{Era: 2, Version: 66}, newRow(62, "new"))
	follower.setTable(feed.Position{Era: 1, Version: 64}, newRow(50, "old"))
	follower.run(t, func(string) {})
	must.Less(t, time.Second, follower.waitFor(t, "new"))
}

// A reader still in the old era changes nothing at a follower in the new one, however large its versions are.
func TestReaderInOlderEraChangesNothing(t *testing.T) {
	t.Parallel()
	unavailable := &table{unavailable: true}
	reader := newIdleMember(t, "a", unavailable, ranksFirst)
	follower := newIdleMember(t, "b", unavailable, ranksAfter(reader, "a"))
	reader.setTable(feed.Position{Era: 1, Version: 90}, newRow(80, "old"))
	follower.setTable(feed.Position{Era: 2, Version: 66}, newRow(62, "new"))
	follower.run(t, func(string) {})
	time.Sleep(time.Second)
	must.Eq(t, "new", follower.value.Load().(string))
}

// An upstream still in the old era is dropped at once in favour of another one or the store itself: otherwise it would hold back changes
// until its last contact is too old.
func TestReaderInOlderEraIsDropped(t *testing.T) {
	t.Parallel()
	src := &table{era: 2}
	src.set("newer")
	reader := newIdleMember(t, "a", &table{unavailable: true}, ranksFirst)
	follower := newIdleMember(t, "b", src, ranksAfter(reader, "a"))
	reader.setTable(feed.Position{Era: 1, Version: 90}, newRow(80, "old"))
	follower.setTable(feed.Position{Era: 2}, newRow(0, "new"))
	follower.run(t, func(string) {})
	must.Less(t, 500*time.Millisecond, follower.waitFor(t, "newer"))
}

// Compressed values and tables are cached. The same version in another era is another value.
func TestPackCacheDistinguishesEras(t *testing.T) {
	t.Parallel()
	p := newPacker()
	large := func(fill byte) []feed.Row {
		return []feed.Row{{Key: "k", Value: bytes.Repeat([]byte{fill, fill + 1}, compressMinSize), Version: 7}}
	}
	many := func(fill byte) []feed.Row { return append(large(fill), feed.Row{Key: "l", Version: 7}) }
	for _, rows := range []func(byte) []feed.Row{large, many} {
		for _, whole := range []bool{true, false} {
			var got []feed.Row
			r := feed.NewReplica(func(u feed.Update) { got = append(got, u.Rows...) })
			for _, era := range []int64{1, 2} {
				m := p.tableMessage("t", feed.Position{}, feed.Page{Era: era, Version: 7, Rows: rows('a' + byte(era))}, whole, time.Now())
				m.Whole = true
				must.NoError(t, applyPage(r, m, "peer"))
			}
			must.Eq(t, 'c', got[len(got)-1].Value[0])
		}
	}
}

// Retained rows are sent once per era to each follower, not with each page.
func TestRetainedRowsAreSentOnce(t *testing.T) {
	t.Parallel()
	m := newIdleMember(t, "a", nil, ranksFirst)
	r := feed.NewReplica(func(feed.Update) {}).WithRetention(feed.Retention{Period: time.Minute})
	s := &server{syncer: m.syncer, tables: map[string]Table{"t": {Name: "t", Replica: r}}, packer: newPacker()}
	r.Merge(feed.Page{Era: 1, Version: 9, Rows: []feed.Row{newRow(9, "lost")}}, true, time.Now())
	follower := []*tableCursor{{name: "t", replica: r, after: feed.Position{Era: 1, Version: 9}}}
	must.SliceEmpty(t, s.buildPage(follower).Tables[0].Kept)
	r.Merge(feed.Page{Era: 2, Version: 3}, true, time.Now())
	must.Len(t, 1, s.buildPage(follower).Tables[0].Kept)
	must.SliceEmpty(t, s.buildPage(follower).Tables[0].Kept)
	newcomer := []*tableCursor{{name: "t", replica: r}}
	must.Len(t, 1, s.buildPage(newcomer).Tables[0].Kept)
	must.SliceEmpty(t, s.buildPage(newcomer).Tables[0].Kept)
}

// An instance that starts in an era takes hidden rows from a peer, with the version of the removed write: without it the same value written
// again by operators would be hidden, too.
func TestVersionOfRemovedWriteIsSent(t *testing.T) {
	t.Parallel()
	removed := feed.Row{Key: "k", Value: []byte("x"), Version: 30, Removed: true, PriorVersion: 10}
	for stored, hidden := range map[int64]int{10: 1, 25: 0} {
		page := feed.Page{Era: 2, Version: 40, Rows: []feed.Row{newRow(stored, "x")}}
		m := newPacker().tableMessage("t", feed.Position{}, page, true, time.Now())
		m.Kept = newPacker().retainedMessages(2, []feed.RetainedRow{{Row: removed, Remaining: time.Second}})
		r := feed.NewReplica(func(feed.Update) {}).WithRetention(feed.Retention{Period: time.Minute})
		must.NoError(t, applyPage(r, m, "peer"))
		must.Len(t, hidden, r.Retained(time.Now()))
	}
}

// serveWithoutEra serves a table as instances do that were built before the store had eras: one change after the other.
func (m *member) serveWithoutEra(t *testing.T, firstVersion int64) {
	t.Helper()
	m.node.Handle(meshpb.StreamKind_STREAM_FEED, func(ctx context.Context, stream *mesh.Stream) {
		for v := firstVersion; ctx.Err() == nil; v++ {
			rows := []*meshpb.FeedRow{{Key: "k", Value: []byte("news"), Version: v}}
			page := &meshpb.FeedPage{Path: []string{"a"}, Tables: []*meshpb.FeedTable{{Table: "t", Version: v, Rows: rows}}}
			if stream.Write(page) != nil {
				return
			}
			time.Sleep(pageInterval)
		}
	})
}

// During a rolling upgrade the readers may be of a build that sends no era. If each new instance read the store itself for that time, the
// store would be overloaded.
func TestReaderWithoutErasIsFollowed(t *testing.T) {
	t.Parallel()
	src := &table{era: 1}
	reader := newIdleMember(t, "a", &table{unavailable: true}, ranksFirst)
	reader.serveWithoutEra(t, 65)
	follower := newIdleMember(t, "b", src, ranksAfter(reader, "a"))
	follower.setTable(feed.Position{Era: 1, Version: 64}, newRow(64, "held"))
	follower.run(t, func(string) {})
	must.Less(t, time.Second, follower.waitFor(t, "news"))
	time.Sleep(2 * time.Second)
	must.Eq(t, 0, src.calls.Load())
}
