package record

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"anvilwick.example/anvilwick/lib/meshpb"
)

// recordOverhead is added to the size of each record for its fields and table entries, in bytes.
const recordOverhead = 512

// store keeps records of other entries, within a bound on bytes and a time since their last change.
type store struct {
	mu     sync.Mutex
	max    int
	expire time.Duration
	byKey  map[key]*list.Element
	order  *list.List // least lately changed first
	bytes  int
}

type stored struct {
	key     key
	rec     *meshpb.Record
	size    int
	changed time.Time
}

func newStore(maxBytes int, expire time.Duration) *store {
	return &store{max: maxBytes, expire: expire, byKey: make(map[key]*list.Element), order: list.New()}
}

// put joins an increment and answers what the store holds after it.
func (s *store) put(now time.Time, inc *meshpb.Record) *meshpb.RecordReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{inc.GetWorkspace(), inc.GetKeyHash()}
	if bare(inc) && !s.continues(k, inc) {
		return &meshpb.RecordReply{Found: true, NeedRequest: true}
	}
	it := s.item(k)
	if it.rec != nil && older(inc, it.rec) {
		return &meshpb.RecordReply{}
	}
	it.rec = joined(it.rec, inc)
	s.touch(now, it)
	s.trim(now)
	return &meshpb.RecordReply{
		Found:       true,
		Have:        uint32(len(it.rec.GetTokens())),
		NeedRequest: len(it.rec.GetRequest()) == 0,
	}
}

// bare reports whether an increment leaves out what stays the same over a generation.
func bare(inc *meshpb.Record) bool { return inc.GetOwner() == "" }

// continues reports whether the store holds the generation that an increment is of. A bare one kept by itself would be a
// record without owner, content or request, and be given out as that of an entry that is gone.
func (s *store) continues(k key, inc *meshpb.Record) bool {
	e, ok := s.byKey[k]
	return ok && string(e.Value.(*stored).rec.GetGeneration()) == string(inc.GetGeneration())
}

// fill copies what stays the same over a generation from a whole record.
func fill(inc, whole *meshpb.Record) {
	inc.Fingerprint, inc.Service, inc.Class, inc.Path = whole.Fingerprint, whole.Service, whole.Class, whole.Path
	inc.Owner, inc.OwnerIncarnation, inc.Request = whole.Owner, whole.OwnerIncarnation, whole.Request
}

// older reports whether an increment is of a former attempt or a former life of the same generation. It comes late, from
// an entry that another took over from, and must not undo what that one wrote.
func older(inc, have *meshpb.Record) bool {
	return string(inc.GetGeneration()) == string(have.GetGeneration()) && inc.GetAttempt() < have.GetAttempt()
}

// joined returns have with inc added. Tokens that would leave a gap are left out; the sender sees it by the count.
func joined(have, inc *meshpb.Record) *meshpb.Record {
	out := proto.CloneOf(inc)
	out.Tokens, out.TokensFrom = nil, 0
	if have != nil && string(have.GetGeneration()) == string(inc.GetGeneration()) {
		out.Tokens = have.Tokens
		switch {
		case bare(out):
			fill(out, have)
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

func (s *store) item(k key) *stored {
	if e, ok := s.byKey[k]; ok {
		return e.Value.(*stored)
	}
	it := &stored{key: k}
	s.byKey[k] = s.order.PushBack(it)
	return it
}

func (s *store) touch(now time.Time, it *stored) {
	s.bytes -= it.size
	it.size = sizeOf(it.rec)
	it.changed = now
	s.bytes += it.size
	s.order.MoveToBack(s.byKey[it.key])
}

func sizeOf(r *meshpb.Record) int {
	n := recordOverhead + len(r.GetRequest())
	for _, t := range r.GetTokens() {
		n += len(t) + 16 // a string's header
	}
	return n
}

// trim drops what is too old, then what was changed least lately until the rest fits.
func (s *store) trim(now time.Time) {
	for e := s.order.Front(); e != nil; e = s.order.Front() {
		it := e.Value.(*stored)
		if s.bytes <= s.max && now.Sub(it.changed) < s.expire {
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
	s.trim(now)
	e, ok := s.byKey[k]
	if !ok {
		return nil
	}
	return proto.CloneOf(e.Value.(*stored).rec)
}
