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

// withList adds the instance list to a member's tables.
func (m *member) withList(t *testing.T, src feed.Source) *feed.Replica {
	t.Helper()
	list := feed.NewReplica(func(feed.Update) {})
	m.syncer.Tables = append(m.syncer.Tables, Table{Name: "list", Source: src, Replica: list, Options: feed.DefaultOptions})
	m.syncer.followers = append(m.syncer.followers, feed.NewFollower(src, feed.DefaultOptions, list, func(error) {}))
	return list
}

// A starting instance knows one seed. It gets only the list of instances there, so that hundreds that start at once don't get all tables
// from the same three; only while the seed has lost the store does it take all tables there. A seed without tables is of no help.
func TestInstanceListIsLearnedFromSeed(t *testing.T) {
	t.Parallel()
	src := &table{}
	src.set("one")
	seed := newMember(t, "seed", src, ranksFirst)
	seedList := seed.withList(t, src)
	seed.serve(t)
	assignment := func() Assignment {
		return Assignment{Bootstrap: true, Role: RoleFollower, Upstreams: []mesh.Peer{{Addr: seed.addr}, {}}}
	}
	m := newIdleMember(t, "m", &table{unavailable: true}, assignment)
	memberList := m.withList(t, &table{unavailable: true})
	seedPeer := mesh.Peer{Addr: seed.addr}
	m.syncer.bootstrap(t.Context(), seedPeer)
	_, known := memberList.Version()
	must.False(t, known)
	must.True(t, m.syncer.deferToReaders(m.syncer.started.Add(startDelay))) // the seed is alive, and reads the store
	must.False(t, m.syncer.deferToReaders(m.syncer.started.Add(maxStartDelay)))

	page, err := src.Snapshot(t.Context())
	must.NoError(t, err)
	seedList.Merge(page, true, time.Now())
	seed.replica.Merge(page, true, time.Now())
	m.syncer.bootstrap(t.Context(), seedPeer)
	_, known = memberList.Version()
	must.True(t, known)
	must.Eq(t, "", m.value.Load())
	must.Nil(t, m.syncer.next)

	seed.syncer.storeLost.Store(true)
	m.syncer.bootstrap(t.Context(), seedPeer)
	must.Eq(t, "one", m.value.Load())
	must.NotNil(t, m.syncer.next)
	m.syncer.next.close()
}

// A list of hundreds of rows is compressed to less than a third, and arrives complete.
func TestRowListIsCompressed(t *testing.T) {
	rows := make([]feed.Row, 300)
	for i := range rows {
		rows[i] = feed.Row{Key: fmt.Sprint("instance-", i), Value: fmt.Appendf(nil, `{"domain":"z%d","addr":"10.%d.0.%d:7200","link":"10.%d.0.%d:8522","capacity":384}`, i%5, i%5, i, i%5, i), Version: int64(i + 1)}
	}
	m := newPacker().tableMessage("list", feed.Position{}, feed.Page{Rows: rows, Version: 300}, true, time.Now())
	must.SliceEmpty(t, m.Rows)
	plain := 0
	for _, r := range rows {
		plain += len(r.Key) + len(r.Value)
	}
	must.Less(t, plain/3, len(m.Packed))
	got := feed.NewReplica(func(u feed.Update) { must.Len(t, 300, u.Rows) })
	must.NoError(t, applyPage(got, m, "peer"))
	must.Error(t, applyPage(got, &meshpb.FeedTable{Packed: []byte{0xff, 0xff, 0xff, 0xff, 0x7f}}, "peer"))
	must.Error(t, applyPage(got, &meshpb.FeedTable{Packed: []byte("rubbish")}, "peer"))
}

// All instances start at the same moment, and the reader starts last. The others must wait for it instead of reading all tables
// themselves, which would cost the store ten calls each.
func TestSimultaneousStartIsReadByFew(t *testing.T) {
	t.Parallel()
	members, tables := startGroup(t, 8, 100*time.Millisecond)
	for _, m := range members {
		m.waitFor(t, "one")
	}
	for i := numReaders; i < len(tables); i++ {
		must.Eq(t, 0, tables[i].calls.Load(), must.Sprint(i))
	}
}
