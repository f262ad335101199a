package schedlink

import (
	"sync"
	"sync/atomic"
	"time"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/shard"
)

// maxQueuedDown limits the decisions queued for a slow entry. Above it the stream is closed. The entry then submits all its
// items again, so only time is lost, and a stalled entry can't exhaust the owner's memory.
const maxQueuedDown = 4096

// session is one entry's stream to a Host, over the mesh or inside the process.
type session struct {
	host *Host
	out  chan *meshpb.SchedDown
	done chan struct{}
	once sync.Once

	queued atomic.Int32 // generations that wait for a grant

	local func(*meshpb.SchedDown) // receives decisions in place of out, inside the process

	mu       sync.Mutex
	gens     map[ids.Generation]assignment
	byHandle map[uint32]ids.Generation
}

// assignment is the shard of a generation, and its handle on this stream.
type assignment struct {
	shard  shard.ID
	handle uint32
}

func newSession(h *Host) *session {
	return &session{
		host:     h,
		out:      make(chan *meshpb.SchedDown, maxQueuedDown),
		done:     make(chan struct{}),
		gens:     make(map[ids.Generation]assignment),
		byHandle: make(map[uint32]ids.Generation),
	}
}

// enqueue queues a decision without blocking.
func (s *session) enqueue(d *meshpb.SchedDown) {
	if s.local != nil {
		s.local(d)
		return
	}
	select {
	case s.out <- d:
	default:
		s.stop()
	}
}

func (s *session) stop() { s.once.Do(func() { close(s.done) }) }

// writeTo sends decisions, and periodic Alive messages while the entry waits for one: without them an owner with full
// engines would look like a dead one.
func (s *session) writeTo(st *mesh.Stream) {
	defer st.Close()
	t := time.NewTicker(s.host.opts.KeepaliveInterval)
	defer t.Stop()
	alive := &meshpb.SchedDown{Msg: &meshpb.SchedDown_Alive{Alive: &meshpb.Alive{}}}
	for {
		var d *meshpb.SchedDown
		select {
		case <-s.done:
			return
		case d = <-s.out:
		case <-t.C:
			if s.queued.Load() == 0 {
				continue
			}
			d = alive
		}
		if err := st.Write(d); err != nil {
			return
		}
	}
}

// handle processes one message of the entry.
func (s *session) handle(up *meshpb.SchedUp) {
	switch m := up.GetMsg().(type) {
	case *meshpb.SchedUp_Submit:
		s.submit(m.Submit)
	case *meshpb.SchedUp_Progress:
		s.progress(m.Progress)
	case *meshpb.SchedUp_End:
		s.end(m.End)
	}
}

func (s *session) submit(m *meshpb.Submit) {
	id, r, ok := decodeSubmit(m, s.host.now())
	if !ok {
		return
	}
	h := s.host.findOrHost(id)
	if h == nil {
		// The entry has settings that this process hasn't seen yet, or has already replaced. Without an answer the entry
		// places by itself; a refusal would give the caller a false reason.
		return
	}
	s.assign(r.Gen, assignment{shard: id, handle: m.GetHandle()})
	h.submit(s, r)
}

func (s *session) assign(g ids.Generation, b assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byHandle, s.gens[g].handle)
	s.gens[g] = b
	s.byHandle[b.handle] = g
}

func (s *session) unassign(g ids.Generation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byHandle, s.gens[g].handle)
	delete(s.gens, g)
}

func (s *session) progress(m *meshpb.Progress) {
	for _, it := range m.GetItems() {
		s.mu.Lock()
		g, ok := s.byHandle[it.GetHandle()]
		s.mu.Unlock()
		if h := s.shardOf(g); ok && h != nil {
			h.runner.Progress(g, it.GetAttempt(), int(it.GetTokens()))
		}
	}
}

func (s *session) end(m *meshpb.End) {
	g, err := ids.FromBytes(m.GetGeneration())
	if err != nil {
		return
	}
	h := s.shardOf(g)
	s.unassign(g)
	if h == nil {
		return
	}
	h.end(g, m.GetAttempt(), int(m.GetTokens()), sched.EndReason(m.GetReason()))
}

// shardOf returns the hosted shard of a generation of this entry, or nil.
func (s *session) shardOf(g ids.Generation) *hostedShard {
	s.mu.Lock()
	b, ok := s.gens[g]
	s.mu.Unlock()
	if !ok {
		return nil
	}
	return s.host.lookup(b.shard)
}

// close ends the session. Its generations are kept for GracePeriod: an entry that only lost its connection is back within it, and
// releasing capacity that is still in use would overload the engines.
func (s *session) close() {
	s.stop()
	time.AfterFunc(s.host.opts.GracePeriod, func() {
		for _, h := range s.host.hostedShards() {
			h.dropSession(s)
		}
	})
}
