package feedlink

import (
	"errors"
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
	// compressMinSize is the size in bytes from which a value, or several rows together, are compressed: settings of a thousand routes
	// shrink to a tenth, and an instance with a slow link sends them to twenty others.
	compressMinSize = 2 << 10
	// maxUnpackedSize bounds the decompressed size of a page of a table in bytes: the rows of some tens of thousands of targets.
	maxUnpackedSize = 16 << 20
	// maxPacked bounds the entries of a cache of compressed values: tables have few large rows.
	maxPacked = 256
)

// errUnpackedSize reports a page whose values are too large together.
var errUnpackedSize = errors.New("feedlink: page too large when decompressed")

// A table is compressed once and sent to many instances over slow links, so the compressed size matters more than the time.
var (
	encoder = sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	})
	decoder = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxUnpackedSize))
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

// packer caches the compressed form of the latest large values and whole tables, since each is sent to many instances.
type packer struct {
	mu       sync.Mutex
	values   map[string]packed // values by key
	retained map[string]packed // retained values by key
	tables   map[string]packed // whole tables by name
	pages    map[string]packed // latest changes of a table, by its name and the position before them
}

type packed struct {
	position feed.Position
	value    []byte
}

func newPacker() *packer {
	return &packer{
		values: make(map[string]packed), retained: make(map[string]packed),
		tables: make(map[string]packed), pages: make(map[string]packed),
	}
}

// packCached returns the cached compressed form if it is of the given position, or compresses what plain returns and caches it.
func (p *packer) packCached(cache map[string]packed, key string, position feed.Position, plain func() ([]byte, error)) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := cache[key]; ok && old.position == position {
		return old.value, nil
	}
	b, err := plain()
	if err != nil {
		return nil, err
	}
	b, err = pack(b)
	if err == nil {
		if len(cache) >= maxPacked {
			clear(cache)
		}
		cache[key] = packed{position: position, value: b}
	}
	return b, err
}

// tableMessage returns the message for a page of a table. Rows that can't be compressed are sent as they are.
func (p *packer) tableMessage(table string, after feed.Position, page feed.Page, whole bool, contact time.Time) *meshpb.FeedTable {
	msg := &meshpb.FeedTable{
		Table: table, Version: page.Version, Era: page.Era, Whole: whole, ContactAgeMs: uint32(time.Since(contact).Milliseconds()),
		Part: page.Partial,
	}
	if len(page.Rows) > 1 && rowsSize(page.Rows) >= compressMinSize {
		if b, err := p.packRows(table, after, page, whole); err == nil {
			msg.Packed = b
			return msg
		}
	}
	for _, r := range page.Rows {
		msg.Rows = append(msg.Rows, p.rowMessage(p.values, page.Era, r))
	}
	return msg
}

// rowMessage returns the message for a row, with its value compressed if it is large.
func (p *packer) rowMessage(cache map[string]packed, era int64, r feed.Row) *meshpb.FeedRow {
	row := rowToProto(r)
	if len(r.Value) < compressMinSize {
		return row
	}
	position := feed.Position{Era: era, Version: r.Version}
	if b, err := p.packCached(cache, r.Key, position, func() ([]byte, error) { return r.Value, nil }); err == nil {
		row.Value, row.Packed = b, true
	}
	return row
}

// retainedMessages returns the messages for the rows that a replica shows in place of the store's.
func (p *packer) retainedMessages(era int64, retained []feed.RetainedRow) []*meshpb.FeedKept {
	var out []*meshpb.FeedKept
	for _, k := range retained {
		out = append(out, &meshpb.FeedKept{
			Row: p.rowMessage(p.retained, era, k.Row), LeftMs: uint32(k.Remaining.Milliseconds()), PriorVersion: k.PriorVersion,
		})
	}
	return out
}

// packRows compresses several rows together: the lists of hundreds of targets and instances shrink to a tenth, and when all instances
// start at once they get them from a few. Whole tables are compressed once for all requests of a version, and changes once for all
// downstream instances at the same position: a relay forwards each change to a hundred others at the same moment.
func (p *packer) packRows(table string, after feed.Position, page feed.Page, whole bool) ([]byte, error) {
	plain := func() ([]byte, error) {
		var rows meshpb.FeedRows
		for _, r := range page.Rows {
			rows.Rows = append(rows.Rows, rowToProto(r))
		}
		return proto.Marshal(&rows)
	}
	if page.Partial {
		// Few instances need the same subset, so it is not cached.
		b, err := plain()
		if err != nil {
			return nil, err
		}
		return pack(b)
	}
	if whole {
		return p.packCached(p.tables, table, page.Position(), plain)
	}
	return p.packChanges(table, after, page.Position(), plain)
}

// packChanges compresses the changes of a table after a position, or returns the cached form. Older entries of the table are dropped:
// hardly any instance still needs them.
func (p *packer) packChanges(table string, after, position feed.Position, plain func() ([]byte, error)) ([]byte, error) {
	key := fmt.Sprint(table, " ", after)
	p.mu.Lock()
	if _, known := p.pages[key]; !known {
		maps.DeleteFunc(p.pages, func(old string, _ packed) bool { return strings.HasPrefix(old, table+" ") })
	}
	p.mu.Unlock()
	return p.packCached(p.pages, key, position, plain)
}

func rowToProto(r feed.Row) *meshpb.FeedRow {
	return &meshpb.FeedRow{Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed}
}

func rowsSize(rows []feed.Row) int {
	n := 0
	for _, r := range rows {
		n += len(r.Key) + len(r.Value)
	}
	return n
}
