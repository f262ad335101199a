package feedlink

import (
	"context"
	"errors"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// subscription is a stream of pages from a reader.
type subscription struct {
	t      *Syncer
	reader mesh.Peer
	stream *mesh.Stream
	tables []Table
	lost   bool          // as its last page says
	path   []string      // instances that its tables come through, as its last page says
	age    time.Duration // of the store's word on the urgent tables, as its last page says
	old    bool          // its last page is of an era before the one that this instance knows
	part   bool          // no more than a part was asked for of some table
	stop   func() bool
}

// open subscribes to a reader and takes its first page. It fails with errUnknown when the reader lacks an urgent table.
func (t *Syncer) open(ctx context.Context, reader mesh.Peer) (*subscription, error) {
	return t.openFor(ctx, reader, t.Tables)
}

// openList subscribes to no more than the list of instances, which says whom to ask for the rest.
func (t *Syncer) openList(ctx context.Context, reader mesh.Peer) (*subscription, error) {
	var list []Table
	for _, table := range t.Tables {
		if !table.Critical {
			table.Critical = true // there is no other that could be had
			list = append(list, table)
		}
	}
	return t.openFor(ctx, reader, list)
}

func (t *Syncer) openFor(ctx context.Context, reader mesh.Peer, tables []Table) (*subscription, error) {
	timeout := openTimeout
	if !t.known() {
		timeout = openFirst
	}
	open, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	stream, err := t.Node.Open(open, reader, meshpb.StreamKind_STREAM_FEED)
	if err != nil {
		return nil, err
	}
	s := &subscription{t: t, reader: reader, stream: stream, tables: tables}
	s.stop = context.AfterFunc(ctx, func() { _ = stream.Close() })
	ask := &meshpb.FeedAsk{Domain: t.Domain}
	for _, table := range tables {
		from := table.from()
		s.part = s.part || from.Part
		ask.Tables = append(ask.Tables, from)
	}
	if err := stream.Write(ask); err != nil {
		s.close()
		return nil, err
	}
	err = s.first()
	if err == nil && s.old {
		err = errOldEra
	}
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// from is from where on a table is asked for.
func (t *Table) from() *meshpb.FeedFrom {
	at := t.Replica.Position()
	from := &meshpb.FeedFrom{Table: t.Name, After: at.Version, Era: at.Era, Part: t.wantsPart()}
	if from.Part || t.Replica.Partial() {
		from.After = 0 // what is needed differs with whoever is asked
	}
	return from
}

// first takes the first page that holds something. From a reader that has read nothing yet it is waited for a while: it comes
// the moment that the reader has it, and opening a stream again and again would find it half a second later at each of the
// hops from the store.
func (s *subscription) first() error {
	err := s.receive()
	for start := time.Now(); errors.Is(err, errUnknown) && time.Since(start) < waitNew; err = s.receive() {
		now := time.Now()
		s.t.toldUnknown(now)
		if !s.t.early(now) || s.t.ranksFirst() {
			return err
		}
	}
	return err
}

// ranksFirst reports whether this instance is the one that should read the store: others wait for it in turn.
func (t *Syncer) ranksFirst() bool {
	readers := t.Assignment().Upstreams
	return len(readers) > 0 && readers[0].Addr == ""
}

// behind reports whether the reader does not have the store's word itself: it has lost the store, or follows one that has.
func (s *subscription) behind() bool { return s.lost || s.age > s.t.MaxAge }

// circular reports whether the reader has the tables from this instance.
func (s *subscription) circular() bool { return slices.Contains(s.path, s.t.Self) }

func (s *subscription) close() {
	s.stop()
	_ = s.stream.Close()
}

// receive takes in one page. It fails with errUnknown when the reader lacks a table that is urgent.
func (s *subscription) receive() error {
	var p meshpb.FeedPage
	if err := s.stream.ReadWithIdleTimeout(silence, &p); err != nil {
		return err
	}
	s.lost, s.path = p.Lost, p.Path
	s.t.takeNews(p.News, s.stream.Peer().Instance)
	got := make(map[string]*meshpb.FeedTable, len(p.Tables))
	for _, m := range p.Tables {
		got[m.Table] = m
	}
	var missing error
	s.age, s.old = 0, false
	for _, table := range s.tables {
		m := got[table.Name]
		if m == nil || m.Version == 0 {
			if table.Critical {
				missing = errUnknown
			}
			continue
		}
		if feed.PositionOf(m.Era, m.Version).Era < table.Replica.Position().Era {
			s.old = true
			continue
		}
		if err := table.take(m); err != nil {
			return err
		}
		if table.Critical {
			s.age = max(s.age, time.Duration(m.ContactAgeMs)*time.Millisecond)
		}
	}
	return missing
}

// take takes in what a page says of the table.
func (t *Table) take(m *meshpb.FeedTable) error {
	if t.Partitioner != nil && len(m.Digest) > 0 {
		if err := t.Partitioner.ApplyDigest(m.Digest); err != nil {
			return err
		}
	}
	return take(t.Replica, m)
}

func take(into *feed.Replica, m *meshpb.FeedTable) error {
	if len(m.Packed) > 0 {
		if err := unpackRows(m); err != nil {
			return err
		}
	}
	page := feed.Page{Version: m.Version, Era: m.Era, Partial: m.Part, Rows: make([]feed.Row, len(m.Rows))}
	for i, r := range m.Rows {
		row, err := feedRow(r)
		if err != nil {
			return err
		}
		page.Rows[i] = row
	}
	for _, k := range m.Kept {
		row, err := feedRow(k.Row)
		if err != nil {
			return err
		}
		if row.Key == "" {
			continue
		}
		page.Retained = append(page.Retained, feed.RetainedRow{Row: row, Remaining: time.Duration(k.LeftMs) * time.Millisecond})
	}
	contact := time.Now().Add(-time.Duration(m.ContactAgeMs) * time.Millisecond)
	into.Merge(page, m.Whole, contact)
	return nil
}

func feedRow(r *meshpb.FeedRow) (feed.Row, error) {
	row := feed.Row{Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion(), Removed: r.GetRemoved()}
	if !r.GetPacked() {
		return row, nil
	}
	b, err := unpack(row.Value)
	row.Value = b
	return row, err
}

func unpackRows(m *meshpb.FeedTable) error {
	b, err := unpack(m.Packed)
	if err != nil {
		return err
	}
	var rows meshpb.FeedRows
	if err := proto.Unmarshal(b, &rows); err != nil {
		return err
	}
	m.Rows = rows.Rows
	return nil
}
