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

// holds gives a member a table at a position, as if the store had just confirmed it.
func (m *member) holds(at feed.Position, row feed.Row) {
	m.replica.Merge(feed.Page{Era: at.Era, Version: at.Version, Rows: []feed.Row{row}}, true, time.Now())
}

func rowOfValue(version int64, value string) feed.Row {
	return feed.Row{Key: "k", Value: []byte(value), Version: version}
}

// The store has come back from a copy. A reader that knows the new era passes on a change whose version is below the one that its follower
// holds from the era before.
func TestFollowerInAnOlderEraTakesTheNewOne(t *testing.T) {
	t.Parallel()
	away := &table{away: true}
	reader := idle(t, "a", away, self)
	follower := idle(t, "b", away, second(reader, "a"))
	reader.holds(feed.Position{Era: 1, Version: 40}, rowOfValue(30, "old"))
	reader.holds(feed.Position{Era: 2, Version: 66}, rowOfValue(62, "new"))
	follower.holds(feed.Position{Era: 1, Version: 64}, rowOfValue(50, "old"))
	follower.run(t, func(string) {})
	must.Less(t, time.Second, follower.waitFor(t, "new"))
}

// A reader that has not heard of the new era displaces nothing at a follower that has, however large its versions are.
func TestReaderInAnOlderEraDisplacesNothing(t *testing.T) {
	t.Parallel()
	away := &table{away: true}
	reader := idle(t, "a", away, self)
	follower := idle(t, "b", away, second(reader, "a"))
	reader.holds(feed.Position{Era: 1, Version: 90}, rowOfValue(80, "old"))
	follower.holds(feed.Position{Era: 2, Version: 66}, rowOfValue(62, "new"))
	follower.run(t, func(string) {})
	time.Sleep(time.Second)
	must.Eq(t, "new", follower.value.Load().(string))
}

// A reader that has not heard of the new era is left at once, for one that has or for the store itself: it would else hold changes back until
// its word is old.
func TestReaderInAnOlderEraIsLeft(t *testing.T) {
	t.Parallel()
	src := &table{era: 2}
	src.set("newer")
	reader := idle(t, "a", &table{away: true}, self)
	follower := idle(t, "b", src, second(reader, "a"))
	reader.holds(feed.Position{Era: 1, Version: 90}, rowOfValue(80, "old"))
	follower.holds(feed.Position{Era: 2}, rowOfValue(0, "new"))
	follower.run(t, func(string) {})
	must.Less(t, 500*time.Millisecond, follower.waitFor(t, "newer"))
}

// Compressed values and tables are kept for the next who asks. What has the same version in another era is another value.
func TestPackedValuesAreOfTheirEra(t *testing.T) {
	t.Parallel()
	p := newPacker()
	large := func(fill byte) []feed.Row {
		return []feed.Row{{Key: "k", Value: bytes.Repeat([]byte{fill, fill + 1}, packMin), Version: 7}}
	}
	many := func(fill byte) []feed.Row { return append(large(fill), feed.Row{Key: "l", Version: 7}) }
	for _, rows := range []func(byte) []feed.Row{large, many} {
		for _, whole := range []bool{true, false} {
			var got []feed.Row
			r := feed.NewReplica(func(u feed.Update) { got = append(got, u.Rows...) })
			for _, era := range []int64{1, 2} {
				m := p.message("t", feed.Position{}, feed.Page{Era: era, Version: 7, Rows: rows('a' + byte(era))}, whole, time.Now())
				m.Whole = true
				must.NoError(t, take(r, m))
			}
			must.Eq(t, 'c', got[len(got)-1].Value[0])
		}
	}
}

// What is kept although the copy lacks it is told once to each follower in an era, not with each page.
func TestKeptRowsAreToldOnce(t *testing.T) {
	t.Parallel()
	m := idle(t, "a", nil, self)
	r := feed.NewReplica(func(feed.Update) {}).WithRetention(feed.Retention{Period: time.Minute})
	s := &server{track: m.track, tables: map[string]Table{"t": {Name: "t", Replica: r}}, packs: newPacker()}
	r.Merge(feed.Page{Era: 1, Version: 9, Rows: []feed.Row{rowOfValue(9, "lost")}}, true, time.Now())
	follower := []*passed{{name: "t", replica: r, after: feed.Position{Era: 1, Version: 9}}}
	must.SliceEmpty(t, s.page(follower).Tables[0].Kept)
	r.Merge(feed.Page{Era: 2, Version: 3}, true, time.Now())
	must.Len(t, 1, s.page(follower).Tables[0].Kept)
	must.SliceEmpty(t, s.page(follower).Tables[0].Kept)
	newcomer := []*passed{{name: "t", replica: r}}
	must.Len(t, 1, s.page(newcomer).Tables[0].Kept)
	must.SliceEmpty(t, s.page(newcomer).Tables[0].Kept)
}

// servesWithoutEra passes a table on as instances do that were built before the store told eras: one change of it after the other.
func (m *member) servesWithoutEra(t *testing.T, from int64) {
	t.Helper()
	m.node.Handle(meshpb.StreamKind_STREAM_FEED, func(ctx context.Context, stream *mesh.Stream) {
		for v := from; ctx.Err() == nil; v++ {
			rows := []*meshpb.FeedRow{{Key: "k", Value: []byte("news"), Version: v}}
			page := &meshpb.FeedPage{Path: []string{"a"}, Tables: []*meshpb.FeedTable{{Table: "t", Version: v, Rows: rows}}}
			if stream.Write(page) != nil {
				return
			}
			time.Sleep(beat)
		}
	})
}

// While instances are replaced by ones of a later build, those that read for others may tell no era. Each new one that read the store by
// itself for that time would be more than the store takes.
func TestReaderOfABuildBeforeErasIsFollowed(t *testing.T) {
	t.Parallel()
	src := &table{era: 1}
	reader := idle(t, "a", &table{away: true}, self)
	reader.servesWithoutEra(t, 65)
	follower := idle(t, "b", src, second(reader, "a"))
	follower.holds(feed.Position{Era: 1, Version: 64}, rowOfValue(64, "held"))
	follower.run(t, func(string) {})
	must.Less(t, time.Second, follower.waitFor(t, "news"))
	time.Sleep(2 * time.Second)
	must.Eq(t, 0, src.calls.Load())
}
