package feedlink

import (
	"context"
	"fmt"
	"reflect"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// server passes tables on to those who ask.
type server struct {
	track     *Syncer
	tables    map[string]Table
	packs     *packer
	making    chan struct{} // pages that are made now, from whole tables most likely
	followers atomic.Int32  // subscriptions that are open
}

const (
	// passTime is what one more follower adds to the least time between two pages with news.
	passTime = time.Millisecond
	// passMax bounds that time: changes are to be in force within two seconds, and take two hops.
	passMax = 250 * time.Millisecond
)

// pagesAtOnce bounds the pages that are made at once. Hundreds that start ask for their parts of a large table in one moment, and all
// that is made for them would be held together.
const pagesAtOnce = 4

func (s *server) pageInTurn(tables []*passed) *meshpb.FeedPage {
	s.making <- struct{}{}
	defer func() { <-s.making }()
	return s.page(tables)
}

// gap is the least time between two pages with news to one follower.
//
// Load pattern: thousands of targets write their entries one after the other when a site starts. Each would be passed on by itself to a
// hundred followers, as it is and unpacked; gathered for as long as passing one on to all takes, they shrink to a tenth.
func (s *server) gap() time.Duration { return min(time.Duration(s.followers.Load())*passTime, passMax) }

// Serve passes the tables of a Track on.
func Serve(node *mesh.Node, t *Syncer) {
	s := &server{track: t, tables: make(map[string]Table), packs: newPacker(), making: make(chan struct{}, pagesAtOnce)}
	for _, table := range t.Tables {
		s.tables[table.Name] = table
	}
	node.Handle(meshpb.StreamKind_STREAM_FEED, func(ctx context.Context, stream *mesh.Stream) {
		var ask meshpb.FeedAsk
		if err := stream.Read(&ask); err != nil {
			return
		}
		if len(ask.Tables) == 0 {
			s.refer(stream, ask.Domain)
			return
		}
		go s.track.hearBelow(stream)
		s.pass(ctx, stream, &ask)
	})
}

// refer tells one that knows nobody whom it should have the tables from.
func (s *server) refer(stream *mesh.Stream, domain string) {
	s.track.awaitList(referWait)
	page := &meshpb.FeedPage{Lost: s.track.StoreLost()}
	if s.track.Ranks != nil {
		page.Ranks = s.track.Ranks(domain)
	}
	_ = stream.Write(page) // whoever has gone asks again elsewhere
}

// referWait bounds the wait for the list of instances on behalf of one that knows nobody.
const referWait = openFirst - 50*time.Millisecond

// awaitList waits until the list of instances is known.
func (t *Syncer) awaitList(most time.Duration) {
	end := time.NewTimer(most)
	defer end.Stop()
	for _, table := range t.Tables {
		if table.Critical {
			continue
		}
		changed := table.Replica.Changed()
		if _, known := table.Replica.Version(); known {
			continue
		}
		select {
		case <-changed:
		case <-end.C:
			return
		}
	}
}

// passed is how far a subscriber has a table.
type passed struct {
	name    string
	replica *feed.Replica
	after   feed.Position
	kept    bool // it was told what is kept in the era of after

	urgent           bool
	part             bool // it asks for no more than it needs
	parts            Partitioner
	instance, domain string
	needed           string // name of what it was told
	told             string // digest
}

// pass sends pages until the stream breaks, which ends the subscription at its other end, too.
func (s *server) pass(ctx context.Context, stream *mesh.Stream, ask *meshpb.FeedAsk) {
	var tables []*passed
	for _, a := range ask.Tables {
		if table, ok := s.tables[a.Table]; ok {
			tables = append(tables, &passed{
				name: a.Table, replica: table.Replica, after: feed.PositionOf(a.Era, a.After), urgent: table.Critical,
				part: a.Part && table.Partitioner != nil, parts: table.Partitioner, instance: stream.Peer().Instance, domain: ask.Domain,
			})
		}
	}
	news := s.track.news.reader(stream.Peer().Instance)
	s.followers.Add(1)
	defer s.followers.Add(-1)
	t := time.NewTimer(beat)
	defer t.Stop()
	for ctx.Err() == nil {
		changed := append(anyChanged(tables), s.track.news.changed())
		page := s.pageInTurn(tables)
		page.News = news.next(time.Now())
		if err := stream.Write(page); err != nil {
			return
		}
		sent := time.Now()
		t.Reset(beat)
		wait(ctx, t.C, changed)
		sleep(ctx, s.gap()-time.Since(sent))
	}
}

// anyChanged returns the channels that are closed at the tables' next changes, and when the store confirms one that is urgent.
//
// Failure: the store's word was passed on with the next beat, at each of three hops from the reader of a large site. At the last it was
// so old by then that instances took the reader to have lost the store, asked it themselves, and asked their engines whether they left.
func anyChanged(tables []*passed) []<-chan struct{} {
	var out []<-chan struct{}
	for _, t := range tables {
		out = append(out, t.replica.Changed())
		if t.urgent {
			out = append(out, t.replica.Confirmed())
		}
	}
	return out
}

func wait(ctx context.Context, tick <-chan time.Time, changed []<-chan struct{}) {
	cases := []reflect.SelectCase{
		{Dir: reflect.SelectRecv, Chan: reflect.ValueOf(ctx.Done())}, {Dir: reflect.SelectRecv, Chan: reflect.ValueOf(tick)},
	}
	for _, c := range changed {
		cases = append(cases, reflect.SelectCase{Dir: reflect.SelectRecv, Chan: reflect.ValueOf(c)})
	}
	reflect.Select(cases)
}

// page is what has changed since the last, with the age of the store's word of each table.
func (s *server) page(tables []*passed) *meshpb.FeedPage {
	out := &meshpb.FeedPage{Lost: s.track.StoreLost(), Path: s.track.pathNow()}
	for _, t := range tables {
		after := t.after
		page, whole, known, contact := t.next()
		if !known || t.hasPart() {
			page = feed.Page{Era: page.Era} // it can't tell what it does not hold
		}
		m := s.packs.message(t.name, after, page, whole, contact)
		m.Digest = t.digest()
		if !t.kept || t.after.Era != page.Era {
			m.Kept, t.kept = s.packs.keptRows(page.Era, t.replica.Retained(time.Now())), true
		}
		metrics.GetOrCreateCounter(fmt.Sprintf(`anvilwick_feed_bytes_total{table=%q}`, t.name)).Add(proto.Size(m))
		out.Tables = append(out.Tables, m)
		t.after = page.Position()
	}
	return out
}
