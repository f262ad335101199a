package feedlink

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/meshpb"
)

const (
	// packMin is the size in bytes from which a value, or many rows together, are compressed: settings of a thousand routes
	// shrink to a tenth, and an instance with a slow link passes them to twenty others.
	packMin = 2 << 10
	// unpackMax bounds, in bytes, what is unpacked: the rows of some tens of thousands of targets.
	unpackMax = 16 << 20
)

// A table is packed once and sent to many over narrow links, so its size goes before the time that it takes.
var (
	encoder = sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	})
	decoder = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(unpackMax))
	})
)

func pack(b []byte) ([]byte, error) {
	e, err := encoder()
	if err != nil {
		return nil, err
	}
	return e.EncodeAll(b, nil), nil
}

func unpack(b []byte) ([]byte, error) {
	d, err := decoder()
	if err != nil {
		return nil, err
	}
	return d.DecodeAll(b, nil)
}

// packer keeps the compressed form of the last large values and whole tables, since one is sent to many.
type packer struct {
	mu     sync.Mutex
	last   map[string]packed // values by key
	kept   map[string]packed // values that are kept, by key
	tables map[string]packed // whole tables by name
	pages  map[string]packed // the last changes of a table, by its name and the position before them
}

type packed struct {
	at    feed.Position
	value []byte
}

func newPacker() *packer {
	return &packer{
		last: make(map[string]packed), kept: make(map[string]packed),
		tables: make(map[string]packed), pages: make(map[string]packed),
	}
}

// once returns the compressed form of a position that was packed before, or packs it.
func (p *packer) once(of map[string]packed, key string, at feed.Position, plain func() ([]byte, error)) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := of[key]; ok && old.at == at {
		return old.value, nil
	}
	b, err := plain()
	if err != nil {
		return nil, err
	}
	b, err = pack(b)
	if err == nil {
		of[key] = packed{at: at, value: b}
	}
	return b, err
}

// message is a page of a table as it is sent. What can't be packed goes as it is.
func (p *packer) message(table string, after feed.Position, page feed.Page, whole bool, contact time.Time) *meshpb.FeedTable {
	m := &meshpb.FeedTable{
		Table: table, Version: page.Version, Era: page.Era, Whole: whole, ContactAgeMs: uint32(time.Since(contact).Milliseconds()),
		Part: page.Partial,
	}
	if len(page.Rows) > 1 && sizeOf(page.Rows) >= packMin {
		if b, err := p.rows(table, after, page, whole); err == nil {
			m.Packed = b
			return m
		}
	}
	for _, r := range page.Rows {
		m.Rows = append(m.Rows, p.row(p.last, page.Era, r))
	}
	return m
}

// row is a row as it is sent, its value compressed where that is large.
func (p *packer) row(of map[string]packed, era int64, r feed.Row) *meshpb.FeedRow {
	row := rowOf(r)
	if len(r.Value) < packMin {
		return row
	}
	at := feed.Position{Era: era, Version: r.Version}
	if b, err := p.once(of, r.Key, at, func() ([]byte, error) { return r.Value, nil }); err == nil {
		row.Value, row.Packed = b, true
	}
	return row
}

// keptRows are the rows that a replica shows in place of the store's.
func (p *packer) keptRows(era int64, kept []feed.RetainedRow) []*meshpb.FeedKept {
	var out []*meshpb.FeedKept
	for _, k := range kept {
		out = append(out, &meshpb.FeedKept{Row: p.row(p.kept, era, k.Row), LeftMs: uint32(k.Remaining.Milliseconds())})
	}
	return out
}

// rows packs many rows together: the lists of hundreds of targets and instances shrink to a tenth, and all that start at once
// have them from a few. Whole tables are packed once for all that ask for the same version, and changes once for all that have the
// same position before them: a relay passes each change on to a hundred others in one moment.
func (p *packer) rows(table string, after feed.Position, page feed.Page, whole bool) ([]byte, error) {
	plain := func() ([]byte, error) {
		var rows meshpb.FeedRows
		for _, r := range page.Rows {
			rows.Rows = append(rows.Rows, rowOf(r))
		}
		return proto.Marshal(&rows)
	}
	if page.Partial {
		// Few need the same.
		b, err := plain()
		if err != nil {
			return nil, err
		}
		return pack(b)
	}
	if whole {
		return p.once(p.tables, table, page.Position(), plain)
	}
	return p.changes(table, after, page.Position(), plain)
}

// changes packs the changes of a table after a position, or returns them as they were packed before. Older ones of the table are
// forgotten: hardly anybody is still to be sent them.
func (p *packer) changes(table string, after, at feed.Position, plain func() ([]byte, error)) ([]byte, error) {
	key := fmt.Sprint(table, " ", after)
	p.mu.Lock()
	if _, known := p.pages[key]; !known {
		maps.DeleteFunc(p.pages, func(old string, _ packed) bool { return strings.HasPrefix(old, table+" ") })
	}
	p.mu.Unlock()
	return p.once(p.pages, key, at, plain)
}

func rowOf(r feed.Row) *meshpb.FeedRow {
	return &meshpb.FeedRow{Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed}
}

func sizeOf(rows []feed.Row) int {
	n := 0
	for _, r := range rows {
		n += len(r.Key) + len(r.Value)
	}
	return n
}
