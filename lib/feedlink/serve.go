package feedlink

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// Serve passes the replicas on to whoever asks, by the name of the table.
func Serve(node *mesh.Node, replicas map[string]*feed.Replica) {
	node.Handle(meshpb.StreamKind_STREAM_FEED, func(ctx context.Context, s *mesh.Stream) {
		var ask meshpb.FeedAsk
		if err := s.Read(&ask); err != nil {
			return
		}
		r := replicas[ask.Table]
		if r == nil {
			return
		}
		pass(ctx, s, r, ask.After)
	})
}

// pass sends pages until the stream breaks, which ends the subscription at its other end, too.
func pass(ctx context.Context, s *mesh.Stream, r *feed.Replica, after int64) {
	t := time.NewTicker(beat)
	defer t.Stop()
	for {
		changed := r.Changed()
		page, whole, contact, known := r.Since(after)
		if !known {
			page.Version = 0
		}
		if err := s.Write(message(page, whole, contact)); err != nil || !known {
			return
		}
		after = page.Version
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-t.C:
		}
	}
}

func message(page feed.Page, whole bool, contact time.Time) *meshpb.FeedPage {
	m := &meshpb.FeedPage{Version: page.Version, Whole: whole, ContactAgeMs: uint32(time.Since(contact).Milliseconds())}
	for _, r := range page.Rows {
		m.Rows = append(m.Rows, &meshpb.FeedRow{Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed})
	}
	return m
}

// Fetch takes a table once from any of some addresses, for an instance that has read nothing and can't reach the store.
func Fetch(ctx context.Context, node *mesh.Node, addr, table string, into *feed.Replica) error {
	t := Track{Config: Config{Table: table, Replica: into, Node: node}}
	open, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	s, err := node.Open(open, mesh.Peer{Addr: addr}, meshpb.StreamKind_STREAM_FEED)
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	if err := s.Write(&meshpb.FeedAsk{Table: table}); err != nil {
		return err
	}
	return t.receive(s)
}
