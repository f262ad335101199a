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

// Options of a Keeper. Zero fields take the defaults.
type Options struct {
	Self      mesh.Identity
	Node      *mesh.Node
	View      func() *member.View
	MaxBytes  int           // of records kept for others, and again of own ones
	Retention time.Duration // of a record that nobody changed
	Timeout   time.Duration // of one exchange with a peer
	// OnSuperseded is told a generation that runs here and that another entry has gone on with. It may be told more than once.
	OnSuperseded func(ids.Generation)
}

// Replicator puts records of this entry's generations with peers, keeps those of peers, and finds them again. It implements
// entry.Records.
type Replicator struct {
	opts  Options
	ctx   context.Context
	store *store

	mu    sync.Mutex
	own   map[key]*own
	bytes int
	peers map[string]*peer // by instance
}

var _ entry.Records = (*Replicator)(nil)

// own is a record of a generation that runs here. The peers may change, so the whole is kept until it is over.
type own struct {
	rec     *meshpb.Record
	size    int
	changed time.Time
	dropped bool
}

// New returns a Keeper that lives until ctx is done, and serves records on o.Node.
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
	k := &Replicator{
		opts:  o,
		ctx:   ctx,
		store: newStore(o.MaxBytes, o.Retention),
		own:   make(map[key]*own),
		peers: make(map[string]*peer),
	}
	o.Node.Handle(meshpb.StreamKind_STREAM_RECORD, k.serve)
	return k
}

// Put implements entry.Records.
func (k *Replicator) Put(rec *entry.Record, from int) {
	id := keyOf(rec.Subject.Workspace, rec.Key)
	inc := toProto(rec, id, from, k.opts.Self)
	if inc.Request = nil; !k.has(id, inc.GetGeneration()) {
		inc.Request = packed(rec.Request)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	o := k.own[id]
	if o == nil && inc.Request == nil {
		inc.Request = packed(rec.Request) // dropped since; without it the peers would ask for it for ever
	}
	if o == nil {
		k.makeRoom()
		o = &own{}
		k.own[id] = o
	}
	o.rec = joined(o.rec, inc)
	o.changed = time.Now()
	k.bytes += sizeOf(o.rec) - o.size
	o.size = sizeOf(o.rec)
	order := ranked(id, k.opts.View().Workers())
	for _, m := range holders(order, k.opts.Self.Instance) {
		k.peerOf(m).want(id)
	}
}

// has reports whether the request of a generation is kept here.
func (k *Replicator) has(id key, generation []byte) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	o := k.own[id]
	return o != nil && string(o.rec.GetGeneration()) == string(generation)
}

// makeRoom drops own records that are over or old, when all of them hold too much. The caller holds mu.
func (k *Replicator) makeRoom() {
	now := time.Now()
	for id, o := range k.own {
		old := now.Sub(o.changed) > k.opts.Retention
		settled := o.rec.GetFinished() && now.Sub(o.changed) > settleTime
		if old || settled || k.bytes > k.opts.MaxBytes {
			k.drop(id, o)
		}
	}
}

// settleTime is how long a finished record is kept here so that both peers get its end.
const settleTime = 10 * time.Second

func (k *Replicator) drop(id key, o *own) {
	delete(k.own, id)
	k.bytes -= o.size
	o.dropped = true
	for _, p := range k.peers {
		delete(p.have, id)
		delete(p.wanted, id)
	}
}

// peerOf returns the sender to a member. The caller holds mu.
func (k *Replicator) peerOf(m member.Member) *peer {
	p := k.peers[m.Instance]
	if p != nil && p.to.Incarnation == m.Incarnation && p.to.MeshAddr == m.MeshAddr {
		return p
	}
	if p != nil {
		p.close()
	}
	p = newPeer(k, m)
	k.peers[m.Instance] = p
	return p
}

// serve answers one peer's puts and gets.
func (k *Replicator) serve(_ context.Context, s *mesh.Stream) {
	for {
		var req meshpb.RecordRequest
		if err := s.Read(&req); err != nil {
			return
		}
		if err := s.Write(k.answer(&req)); err != nil {
			return
		}
	}
}

func (k *Replicator) answer(req *meshpb.RecordRequest) *meshpb.RecordReply {
	switch m := req.GetMsg().(type) {
	case *meshpb.RecordRequest_Put:
		if k.newer(m.Put) {
			return &meshpb.RecordReply{}
		}
		return k.store.put(time.Now(), m.Put)
	case *meshpb.RecordRequest_Get:
		rec := k.store.get(time.Now(), key{m.Get.GetWorkspace(), m.Get.GetKeyHash()})
		return &meshpb.RecordReply{Found: rec != nil, Record: rec}
	default:
		return &meshpb.RecordReply{}
	}
}

// newer reports whether this entry itself runs a later attempt of a generation that a peer records. Is the peer's the
// later one, then this entry was frozen or cut off, and the peer has taken the generation over: it must not run on.
func (k *Replicator) newer(inc *meshpb.Record) bool {
	id := key{inc.GetWorkspace(), inc.GetKeyHash()}
	k.mu.Lock()
	defer k.mu.Unlock()
	o := k.own[id]
	switch {
	case o == nil || string(o.rec.GetGeneration()) != string(inc.GetGeneration()):
		return false
	case inc.GetAttempt() < o.rec.GetAttempt():
		return true
	case inc.GetAttempt() > o.rec.GetAttempt():
		k.lose(id, o)
	}
	return false
}

// lose drops an own record that another entry has gone on with. The caller holds mu.
func (k *Replicator) lose(id key, o *own) {
	k.drop(id, o)
	if g, err := ids.FromBytes(o.rec.GetGeneration()); err == nil {
		go k.opts.OnSuperseded(g)
	}
}
