package feedlink

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/feed"
)

// holds gives a member a table at a position, as if the store had just confirmed it.
func (m *member) holds(at feed.Position, row feed.Row) {
	m.replica.Take(feed.Page{Era: at.Era, Version: at.Version, Rows: []feed.Row{row}}, true, time.Now())
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
