package feedlink

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// server passes tables on to those who ask.
type server struct {
	track    *Track
	replicas map[string]*feed.Replica
	packs    *packer
}

// Serve passes the tables of a Track on.
func Serve(node *mesh.Node, t *Track) {
	s := &server{track: t, replicas: make(map[string]*feed.Replica), packs: newPacker()}
	for _, table := range t.Tables {
		s.replicas[table.Name] = table.Replica
	}
	node.Handle(meshpb.StreamKind_STREAM_FEED, func(ctx context.Context, stream *mesh.Stream) {
		var ask meshpb.FeedAsk
		if err := stream.Read(&ask); err != nil {
			return
		}
		s.pass(ctx, stream, &ask)
	})
}

// passed is how far a subscriber has a table.
type passed struct {
	name    string
	replica *feed.Replica
	after   int64
}

// pass sends pages until the stream breaks, which ends the subscription at its other end, too.
func (s *server) pass(ctx context.Context, stream *mesh.Stream, ask *meshpb.FeedAsk) {
	var tables []*passed
	for _, a := range ask.Tables {
		if r := s.replicas[a.Table]; r != nil {
			tables = append(tables, &passed{name: a.Table, replica: r, after: a.After})
		}
	}
	t := time.NewTicker(beat)
	defer t.Stop()
	for ctx.Err() == nil {
		changed := anyChanged(tables)
		if err := stream.Write(s.page(tables)); err != nil {
			return
		}
		wait(ctx, t.C, changed)
	}
}

// anyChanged returns the channels that are closed at the tables' next changes.
func anyChanged(tables []*passed) []<-chan struct{} {
	out := make([]<-chan struct{}, len(tables))
	for i, t := range tables {
		out[i] = t.replica.Changed()
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
	out := &meshpb.FeedPage{Lost: s.track.Lost(), Path: s.track.pathNow()}
	for _, t := range tables {
		page, whole, contact, known := t.replica.Since(t.after)
		if !known {
			page.Version = 0
		}
		out.Tables = append(out.Tables, s.packs.message(t.name, page, whole, contact))
		t.after = page.Version
	}
	return out
}

// packMin is the size in bytes from which a value is compressed: settings of a thousand routes shrink to a tenth, and
// an instance with a slow link passes them to twenty others.
const packMin = 2 << 10

// packer keeps the compressed form of the last large values, since one is sent to many.
type packer struct {
	mu   sync.Mutex
	last map[string]packed // by key
}

type packed struct {
	version int64
	value   []byte
}

func newPacker() *packer { return &packer{last: make(map[string]packed)} }

func (p *packer) pack(r feed.Row) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.last[r.Key]; ok && old.version == r.Version {
		return old.value
	}
	b := s2.EncodeBetter(nil, r.Value)
	p.last[r.Key] = packed{version: r.Version, value: b}
	return b
}

func (p *packer) message(table string, page feed.Page, whole bool, contact time.Time) *meshpb.FeedTable {
	m := &meshpb.FeedTable{
		Table: table, Version: page.Version, Whole: whole, ContactAgeMs: uint32(time.Since(contact).Milliseconds()),
	}
	for _, r := range page.Rows {
		row := &meshpb.FeedRow{Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed}
		if len(r.Value) >= packMin {
			row.Value = p.pack(r)
			row.Packed = true
		}
		m.Rows = append(m.Rows, row)
	}
	packRows(m)
	return m
}

// packRows compresses many rows together: the lists of hundreds of targets and instances shrink to a third and less, and all
// that start at once have them from a few.
func packRows(m *meshpb.FeedTable) {
	rows := &meshpb.FeedRows{Rows: m.Rows}
	if len(m.Rows) < 2 || proto.Size(rows) < packMin {
		return
	}
	b, err := proto.Marshal(rows)
	if err != nil {
		return // sent as they are, and refused there with the same cause
	}
	m.Packed, m.Rows = s2.Encode(nil, b), nil
}
