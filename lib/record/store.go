package record

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"anvilwick.example/anvilwick/lib/meshpb"
)

// recordOverhead is added to the size of each record, in bytes, for its fields and table entries.
const recordOverhead = 512

// store holds records of other entries, bounded in bytes and in time since their last change.
type store struct {
	mu        sync.Mutex
	maxBytes  int
	retention time.Duration
	byKey     map[key]*list.Element
	order     *list.List // least recently changed first
	bytes     int
}

type storedRecord struct {
	key     key
	rec     *meshpb.Record
	size    int
	changed time.Time
}

func newStore(maxBytes int, expire time.Duration) *store {
	return &store{maxBytes: maxBytes, retention: expire, byKey: make(map[key]*list.Element), order: list.New()}
}

// put merges an increment and replies with what the store holds afterwards.
func (s *store) put(now time.Time, inc *meshpb.Record) *meshpb.RecordReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{inc.GetWorkspace(), inc.GetKeyHash()}
	if isDelta(inc) && !s.hasGeneration(k, inc) {
		return &meshpb.RecordReply{Found: true, NeedRequest: true}
	}
	it := s.itemFor(k)
	if it.rec != nil && isStale(inc, it.rec) {
		return &meshpb.RecordReply{}
	}
	it.rec = merge(it.rec, inc)
	s.touch(now, it)
	s.evict(now)
	return &meshpb.RecordReply{
		Found:       true,
		Have:        uint32(len(it.rec.GetTokens())),
		NeedRequest: len(it.rec.GetRequest()) == 0,
	}
}

// isDelta reports whether an increment omits the constant fields of a generation.
func isDelta(inc *meshpb.Record) bool { return inc.GetOwner() == "" }

// hasGeneration reports whether the store holds the generation of an increment. A delta stored by itself would be a record
// without owner, content or request, and be returned as the record of a dead entry.
func (s *store) hasGeneration(k key, inc *meshpb.Record) bool {
	e, ok := s.byKey[k]
	return ok && string(e.Value.(*storedRecord).rec.GetGeneration()) == string(inc.GetGeneration())
}

// copyConstantFields copies the constant fields of a generation from a full record.
func copyConstantFields(inc, full *meshpb.Record) {
	inc.Fingerprint, inc.Service, inc.Class, inc.Path = full.Fingerprint, full.Service, full.Class, full.Path
	inc.Owner, inc.OwnerIncarnation, inc.Request = full.Owner, full.OwnerIncarnation, full.Request
}

// isStale reports whether an increment is of an earlier attempt of the same generation. It comes late, from an entry whose
// generation another has taken over, and must not overwrite the newer record.
func isStale(inc, have *meshpb.Record) bool {
	return string(inc.GetGeneration()) == string(have.GetGeneration()) && inc.GetAttempt() < have.GetAttempt()
}

// merge returns have with inc added. Tokens after a gap are dropped; the sender notices by the count in the reply.
func merge(have, inc *meshpb.Record) *meshpb.Record {
	out := proto.CloneOf(inc)
	out.Tokens, out.TokensFrom = nil, 0
	if have != nil && string(have.GetGeneration()) == string(inc.GetGeneration()) {
		out.Tokens = have.Tokens
		switch {
		case isDelta(out):
			copyConstantFields(out, have)
		case len(out.Request) == 0:
			out.Request = have.Request
		}
	}
	from := int(inc.GetTokensFrom())
	if from <= len(out.Tokens) {
		out.Tokens = append(slices.Clip(out.Tokens[:from]), inc.GetTokens()...)
	}
	out.Finished = inc.GetFinished() && len(out.Tokens) == int(inc.GetDelivered())
	return out
}

func (s *store) itemFor(k key) *storedRecord {
	if e, ok := s.byKey[k]; ok {
		return e.Value.(*storedRecord)
	}
	it := &storedRecord{key: k}
	s.byKey[k] = s.order.PushBack(it)
	return it
}

func (s *store) touch(now time.Time, it *storedRecord) {
	s.bytes -= it.size
	it.size = recordSize(it.rec)
	it.changed = now
	s.bytes += it.size
	s.order.MoveToBack(s.byKey[it.key])
}

func recordSize(r *meshpb.Record) int {
	n := recordOverhead + len(r.GetRequest())
	for _, t := range r.GetTokens() {
		n += len(t) + 16 // size of a string header
	}
	return n
}

// evict removes expired records, then the least recently changed until the rest fits.
func (s *store) evict(now time.Time) {
	for e := s.order.Front(); e != nil; e = s.order.Front() {
		it := e.Value.(*storedRecord)
		if s.bytes <= s.maxBytes && now.Sub(it.changed) < s.retention {
			return
		}
		s.order.Remove(e)
		delete(s.byKey, it.key)
		s.bytes -= it.size
	}
}

// get returns a record, or nil.
func (s *store) get(now time.Time, k key) *meshpb.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict(now)
	e, ok := s.byKey[k]
	if !ok {
		return nil
	}
	return proto.CloneOf(e.Value.(*storedRecord).rec)
}
