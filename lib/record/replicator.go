package record

import (
	"context"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/entry"
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// Defaults of Options.
const (
	DefaultMaxBytes  = 16 << 20
	DefaultRetention = 5 * time.Minute
	DefaultTimeout   = time.Second
)

// Options configures a Replicator. Zero fields take the defaults.
type Options struct {
	Self      mesh.Identity
	Node      *mesh.Node
	View      func() *member.View
	MaxBytes  int           // of records held for peers, and the same again for local records
	Retention time.Duration // of a record since its last change
	Timeout   time.Duration // of one exchange with a peer
	// OnSuperseded is called for a local generation that another entry has taken over. It may be called more than once.
	OnSuperseded func(ids.Generation)
}

// Replicator replicates records of this entry's generations to peers, stores those of peers, and retrieves them. It
// implements entry.Records.
type Replicator struct {
	opts  Options
	ctx   context.Context
	store *store

	mu      sync.Mutex
	local   map[key]*localRecord
	bytes   int
	senders map[string]*sender // by instance
}

var _ entry.Records = (*Replicator)(nil)

// localRecord is the record of a generation that runs here. It is kept in full until the generation ends, because the peers
// that hold it may change.
type localRecord struct {
	rec     *meshpb.Record
	size    int
	changed time.Time
	removed bool
}

// New returns a Replicator that runs until ctx is done, and serves records on o.Node.
func New(ctx context.Context, o Options) *Replicator {
	if o.MaxBytes <= 0 {
		o.MaxBytes = DefaultMaxBytes
	}
	if o.Retention <= 0 {
		o.Retention = DefaultRetention
	}
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.OnSuperseded == nil {
		o.OnSuperseded = func(ids.Generation) {}
	}
	r := &Replicator{
		opts:    o,
		ctx:     ctx,
		store:   newStore(o.MaxBytes, o.Retention),
		local:   make(map[key]*localRecord),
		senders: make(map[string]*sender),
	}
	o.Node.Handle(meshpb.StreamKind_STREAM_RECORD, r.serve)
	return r
}

// Put implements entry.Records.
func (r *Replicator) Put(rec *entry.Record, from int) {
	id := keyOf(rec.Subject.Workspace, rec.Key)
	inc := toProto(rec, id, from, r.opts.Self)
	if inc.Request = nil; !r.hasRequest(id, inc.GetGeneration()) {
		inc.Request = compress(rec.Request)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.local[id]
	if o == nil && inc.Request == nil {
		inc.Request = compress(rec.Request) // evicted meanwhile; without the request the peers would ask for it forever
	}
	if o == nil {
		r.evictLocal()
		o = &localRecord{}
		r.local[id] = o
	}
	o.rec = merge(o.rec, inc)
	o.changed = time.Now()
	r.bytes += recordSize(o.rec) - o.size
	o.size = recordSize(o.rec)
	order := rankedMembers(id, r.opts.View().Workers())
	for _, m := range holders(order, r.opts.Self.Instance) {
		r.senderFor(m).enqueue(id)
	}
}

// hasRequest reports whether the request of a generation is stored here.
func (r *Replicator) hasRequest(id key, generation []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.local[id]
	return o != nil && string(o.rec.GetGeneration()) == string(generation)
}

// evictLocal removes local records that are finished or expired, and further ones while local records exceed MaxBytes. The
// caller holds mu.
func (r *Replicator) evictLocal() {
	now := time.Now()
	for id, o := range r.local {
		expired := now.Sub(o.changed) > r.opts.Retention
		finished := o.rec.GetFinished() && now.Sub(o.changed) > finishedRetention
		if expired || finished || r.bytes > r.opts.MaxBytes {
			r.removeLocal(id, o)
		}
	}
}

// finishedRetention is how long a finished local record is kept, so that both peers receive its end.
const finishedRetention = 10 * time.Second

func (r *Replicator) removeLocal(id key, o *localRecord) {
	delete(r.local, id)
	r.bytes -= o.size
	o.removed = true
	for _, s := range r.senders {
		delete(s.acked, id)
		delete(s.pending, id)
	}
}

// senderFor returns the sender to a member. The caller holds mu.
func (r *Replicator) senderFor(m member.Member) *sender {
	s := r.senders[m.Instance]
	if s != nil && s.to.Incarnation == m.Incarnation && s.to.MeshAddr == m.MeshAddr {
		return s
	}
	if s != nil {
		s.close()
	}
	s = newSender(r, m)
	r.senders[m.Instance] = s
	return s
}

// serve handles the puts and gets of one peer.
func (r *Replicator) serve(_ context.Context, s *mesh.Stream) {
	for {
		var req meshpb.RecordRequest
		if err := s.Read(&req); err != nil {
			return
		}
		if err := s.Write(r.handle(&req)); err != nil {
			return
		}
	}
}

func (r *Replicator) handle(req *meshpb.RecordRequest) *meshpb.RecordReply {
	switch m := req.GetMsg().(type) {
	case *meshpb.RecordRequest_Put:
		if r.hasNewerAttempt(m.Put) {
			return &meshpb.RecordReply{}
		}
		return r.store.put(time.Now(), m.Put)
	case *meshpb.RecordRequest_Get:
		rec := r.store.get(time.Now(), key{m.Get.GetWorkspace(), m.Get.GetKeyHash()})
		return &meshpb.RecordReply{Found: rec != nil, Record: rec}
	default:
		return &meshpb.RecordReply{}
	}
}

// hasNewerAttempt reports whether this entry runs a later attempt of a generation than the peer that sent inc. If the peer's
// attempt is the later one, this entry was frozen or partitioned and the peer has taken the generation over, so this entry
// must stop running it.
func (r *Replicator) hasNewerAttempt(inc *meshpb.Record) bool {
	id := key{inc.GetWorkspace(), inc.GetKeyHash()}
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.local[id]
	switch {
	case o == nil || string(o.rec.GetGeneration()) != string(inc.GetGeneration()):
		return false
	case inc.GetAttempt() < o.rec.GetAttempt():
		return true
	case inc.GetAttempt() > o.rec.GetAttempt():
		r.supersede(id, o)
	}
	return false
}

// supersede removes a local record that another entry has taken over. The caller holds mu.
func (r *Replicator) supersede(id key, o *localRecord) {
	r.removeLocal(id, o)
	if g, err := ids.FromBytes(o.rec.GetGeneration()); err == nil {
		go r.opts.OnSuperseded(g)
	}
}
