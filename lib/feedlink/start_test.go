package feedlink

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// withList adds a table to a member that says who the readers are.
func (m *member) withList(t *testing.T, src feed.Source) *feed.Replica {
	t.Helper()
	list := feed.NewReplica(func(feed.Update) {})
	m.track.Tables = append(m.track.Tables, Table{Name: "list", Source: src, Replica: list, Options: feed.DefaultOptions})
	m.track.followers = append(m.track.followers, feed.NewFollower(src, feed.DefaultOptions, list, func(error) {}))
	return list
}

// An instance starts and knows of one other. It is told the list of instances there and no more, so that hundreds that start
// at once don't have all tables from the same three; only while that one has lost the store it takes all that is known
// there. One that knows nothing either is no help.
func TestListIsLearntFromASeed(t *testing.T) {
	t.Parallel()
	src := &table{}
	src.set("one")
	seed := newMember(t, "seed", src, self)
	list := seed.withList(t, src)
	seed.serve(t)
	guess := func() Assignment {
		return Assignment{Bootstrap: true, Role: RoleFollower, Upstreams: []mesh.Peer{{Addr: seed.addr}, {}}}
	}
	m := idle(t, "m", &table{away: true}, guess)
	own := m.withList(t, &table{away: true})
	at := mesh.Peer{Addr: seed.addr}
	m.track.learn(t.Context(), at)
	_, known := own.Version()
	must.False(t, known)
	must.True(t, m.track.early(m.track.started.Add(patience))) // the seed lives, and reads for it
	must.False(t, m.track.early(m.track.started.Add(longPatience)))

	page, err := src.Snapshot(t.Context())
	must.NoError(t, err)
	list.Merge(page, true, time.Now())
	seed.replica.Merge(page, true, time.Now())
	m.track.learn(t.Context(), at)
	_, known = own.Version()
	must.True(t, known)
	must.Eq(t, "", m.value.Load())
	must.Nil(t, m.track.better)

	seed.track.lost.Store(true)
	m.track.learn(t.Context(), at)
	must.Eq(t, "one", m.value.Load())
	must.NotNil(t, m.track.better)
	m.track.better.close()
}

// A list of hundreds of rows goes in a third of its bytes, and arrives whole.
func TestManyRowsArePacked(t *testing.T) {
	rows := make([]feed.Row, 300)
	for i := range rows {
		rows[i] = feed.Row{Key: fmt.Sprint("instance-", i), Value: fmt.Appendf(nil, `{"domain":"z%d","addr":"10.%d.0.%d:7200","link":"10.%d.0.%d:8522","capacity":384}`, i%5, i%5, i, i%5, i), Version: int64(i + 1)}
	}
	m := newPacker().message("list", feed.Position{}, feed.Page{Rows: rows, Version: 300}, true, time.Now())
	must.SliceEmpty(t, m.Rows)
	plain := 0
	for _, r := range rows {
		plain += len(r.Key) + len(r.Value)
	}
	must.Less(t, plain/3, len(m.Packed))
	got := feed.NewReplica(func(u feed.Update) { must.Len(t, 300, u.Rows) })
	must.NoError(t, take(got, m))
	must.Error(t, take(got, &meshpb.FeedTable{Packed: []byte{0xff, 0xff, 0xff, 0xff, 0x7f}}))
	must.Error(t, take(got, &meshpb.FeedTable{Packed: []byte("rubbish")}))
}

// All instances start in one moment, and the one that is to read comes up last. Each other would read all tables itself and
// cost the store ten calls; they wait for the first in rank instead, and have the tables from it.
func TestStartOfAllIsReadByFew(t *testing.T) {
	t.Parallel()
	members, tables := group(t, 8, 100*time.Millisecond)
	for _, m := range members {
		m.waitFor(t, "one")
	}
	for i := mayRead; i < len(tables); i++ {
		must.Eq(t, 0, tables[i].calls.Load(), must.Sprint(i))
	}
}
