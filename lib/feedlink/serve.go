package feedlink

import (
	"context"
	"sync"
	"time"

	"github.com/klauspost/compress/s2"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// Serve passes the replicas on to whoever asks, by the name of the table.
func Serve(node *mesh.Node, replicas map[string]*feed.Replica) {
	packs := newPacker()
	node.Handle(meshpb.StreamKind_STREAM_FEED, func(ctx context.Context, s *mesh.Stream) {
		var ask meshpb.FeedAsk
		if err := s.Read(&ask); err != nil {
			return
		}
		r := replicas[ask.Table]
		if r == nil {
			return
		}
		pass(ctx, s, r, ask.After, packs)
	})
}

// pass sends pages until the stream breaks, which ends the subscription at its other end, too.
func pass(ctx context.Context, s *mesh.Stream, r *feed.Replica, after int64, packs *packer) {
	t := time.NewTicker(beat)
	defer t.Stop()
	for {
		changed := r.Changed()
		page, whole, contact, known := r.Since(after)
		if !known {
			page.Version = 0
		}
		if err := s.Write(packs.message(page, whole, contact)); err != nil || !known {
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

func (p *packer) message(page feed.Page, whole bool, contact time.Time) *meshpb.FeedPage {
	m := &meshpb.FeedPage{Version: page.Version, Whole: whole, ContactAgeMs: uint32(time.Since(contact).Milliseconds())}
	for _, r := range page.Rows {
		row := &meshpb.FeedRow{Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed}
		if len(r.Value) >= packMin {
			row.Value = p.pack(r)
			row.Packed = true
		}
		m.Rows = append(m.Rows, row)
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
