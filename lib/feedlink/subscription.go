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

// subscription is a stream of pages from an upstream.
type subscription struct {
	syncer     *Syncer
	upstream   mesh.Peer
	stream     *mesh.Stream
	tables     []Table
	storeLost  bool          // the upstream has lost the store, according to its last page
	path       []string      // instances between the store and this one, according to the last page
	contactAge time.Duration // age of the last contact with the store for the critical tables, according to the last page
	oldEra     bool          // the last page is of an era before the one that this instance knows
	partial    bool          // only a subset of some table was requested
	stop       func() bool
}

// subscribe subscribes to an upstream and applies its first page. It fails with errUpstreamEmpty if the upstream lacks a critical table.
func (t *Syncer) subscribe(ctx context.Context, upstream mesh.Peer) (*subscription, error) {
	return t.subscribeTo(ctx, upstream, t.Tables)
}

// subscribeToList subscribes only to the list of instances, which says where to get the other tables.
func (t *Syncer) subscribeToList(ctx context.Context, upstream mesh.Peer) (*subscription, error) {
	var list []Table
	for _, table := range t.Tables {
		if !table.Critical {
			table.Critical = true // no other table is requested
			list = append(list, table)
		}
	}
	return t.subscribeTo(ctx, upstream, list)
}

func (t *Syncer) subscribeTo(ctx context.Context, upstream mesh.Peer, tables []Table) (*subscription, error) {
	timeout := subscribeTimeout
	if !t.initialized() {
		timeout = initialSubscribeTimeout
	}
	openCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	stream, err := t.Node.Open(openCtx, upstream, meshpb.StreamKind_STREAM_FEED)
	if err != nil {
		return nil, err
	}
	s := &subscription{syncer: t, upstream: upstream, stream: stream, tables: tables}
	s.stop = context.AfterFunc(ctx, func() { _ = stream.Close() })
	request := &meshpb.FeedAsk{Domain: t.Domain}
	for _, table := range tables {
		tableRequest := table.req()
		s.partial = s.partial || tableRequest.Part
		request.Tables = append(request.Tables, tableRequest)
	}
	if err := stream.Write(request); err != nil {
		s.close()
		return nil, err
	}
	err = s.receiveFirst()
	if err == nil && s.oldEra {
		err = errOldEra
	}
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// req returns the request for the table, starting at the replica's position.
func (t *Table) req() *meshpb.FeedFrom {
	position := t.Replica.Position()
	req := &meshpb.FeedFrom{Table: t.Name, After: position.Version, Era: position.Era, Part: t.wantsSubset()}
	if req.Part || t.Replica.Partial() {
		req.After = 0 // the rows needed differ between upstreams
	}
	return req
}

// receiveFirst waits for the first page with content. If the upstream has read nothing yet, the stream is kept open for a while: the page
// arrives as soon as the upstream has it, whereas reopening the stream repeatedly would find it half a second later at each of the
// hops from the store.
func (s *subscription) receiveFirst() error {
	err := s.receive()
	for start := time.Now(); errors.Is(err, errUpstreamEmpty) && time.Since(start) < emptyUpstreamWait; err = s.receive() {
		now := time.Now()
		s.syncer.noteEmptyUpstream(now)
		if !s.syncer.deferToReaders(now) || s.syncer.isFirstReader() {
			return err
		}
	}
	return err
}

// isFirstReader reports whether this instance is the one that should read the store, so that others are waiting for it in turn.
func (t *Syncer) isFirstReader() bool {
	readers := t.Assignment().Upstreams
	return len(readers) > 0 && readers[0].Addr == ""
}

// isStale reports whether the upstream is not in contact with the store: it has lost the store, or follows a peer that has.
func (s *subscription) isStale() bool { return s.storeLost || s.contactAge > s.syncer.MaxAge }

// isCycle reports whether the upstream takes the tables from this instance.
func (s *subscription) isCycle() bool { return slices.Contains(s.path, s.syncer.Self) }

func (s *subscription) close() {
	s.stop()
	_ = s.stream.Close()
}

// receive reads and applies one page. It fails with errUpstreamEmpty if the upstream lacks a critical table.
func (s *subscription) receive() error {
	var page meshpb.FeedPage
	if err := s.stream.ReadWithIdleTimeout(upstreamTimeout, &page); err != nil {
		return err
	}
	s.storeLost, s.path = page.Lost, page.Path
	s.syncer.receiveBroadcasts(page.News, s.stream.Peer().Instance)
	byName := make(map[string]*meshpb.FeedTable, len(page.Tables))
	for _, m := range page.Tables {
		byName[m.Table] = m
	}
	var missing error
	s.contactAge, s.oldEra = 0, false
	for _, table := range s.tables {
		m := byName[table.Name]
		if m == nil || m.Version == 0 {
			if table.Critical {
				missing = errUpstreamEmpty
			}
			continue
		}
		if feed.PositionOf(m.Era, m.Version).Era < table.Replica.Position().Era {
			s.oldEra = true
			continue
		}
		if err := table.apply(m, s.stream.Peer().Instance); err != nil {
			return err
		}
		if table.Critical {
			s.contactAge = max(s.contactAge, time.Duration(m.ContactAgeMs)*time.Millisecond)
		}
	}
	return missing
}

// apply applies the table's part of a page from a peer.
func (t *Table) apply(m *meshpb.FeedTable, peer string) error {
	if t.Partitioner != nil && len(m.Digest) > 0 {
		if err := t.Partitioner.ApplyDigest(m.Digest); err != nil {
			return err
		}
	}
	return applyPage(t.Replica, m, peer)
}

func applyPage(into *feed.Replica, m *meshpb.FeedTable, peer string) error {
	if len(m.Packed) > 0 {
		if err := unpackRows(m); err != nil {
			return err
		}
	}
	page := feed.Page{Version: m.Version, Era: m.Era, Peer: peer, Partial: m.Part, Rows: make([]feed.Row, len(m.Rows))}
	page.Restore = feed.Restore{Version: m.RestoreVersion, Age: time.Duration(m.RestoreAgeMs) * time.Millisecond}
	var unpacked int
	for i, r := range m.Rows {
		row, err := rowFromProto(r, &unpacked)
		if err != nil {
			return err
		}
		page.Rows[i] = row
	}
	for _, k := range m.Kept {
		row, err := rowFromProto(k.Row, &unpacked)
		if err != nil {
			return err
		}
		if row.Key == "" {
			continue
		}
		row.PriorVersion = k.PriorVersion
		page.Retained = append(page.Retained, feed.RetainedRow{Row: row, Remaining: time.Duration(k.LeftMs) * time.Millisecond})
	}
	contact := time.Now().Add(-time.Duration(m.ContactAgeMs) * time.Millisecond)
	return into.Merge(page, m.Whole, contact)
}

// rowFromProto returns a row, and adds the decompressed size of its value to that of the page.
func rowFromProto(r *meshpb.FeedRow, unpacked *int) (feed.Row, error) {
	row := feed.Row{Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion(), Removed: r.GetRemoved()}
	if !r.GetPacked() {
		return row, nil
	}
	b, err := unpack(row.Value)
	row.Value = b
	if *unpacked += len(b); *unpacked > maxUnpackedSize {
		return row, errUnpackedSize
	}
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
