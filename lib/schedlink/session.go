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

// downBound is how many decisions wait for a slow entry. Over it the stream is cut: the entry asks again for all it
// has, so nothing is lost but time, and a stalled entry can't fill the owner's memory.
const downBound = 4096

// session is one entry's conversation with a Host, over a stream or inside the process.
type session struct {
	host *Host
	out  chan *meshpb.SchedDown
	done chan struct{}
	once sync.Once

	queued atomic.Int32 // generations that wait for a grant

	local func(*meshpb.SchedDown) // instead of out, inside the process

	mu       sync.Mutex
	gens     map[ids.Generation]booking
	byHandle map[uint32]ids.Generation
}

// booking is where a generation of the entry is decided for, and its short name on this stream.
type booking struct {
	shard  shard.ID
	handle uint32
}

func newSession(h *Host) *session {
	return &session{
		host:     h,
		out:      make(chan *meshpb.SchedDown, downBound),
		done:     make(chan struct{}),
		gens:     make(map[ids.Generation]booking),
		byHandle: make(map[uint32]ids.Generation),
	}
}

// push queues a decision and returns at once.
func (s *session) push(d *meshpb.SchedDown) {
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

// writeTo sends decisions, and Alive now and then while the entry waits for one: without it a full owner and a dead one
// would look the same.
func (s *session) writeTo(st *mesh.Stream) {
	defer st.Close()
	t := time.NewTicker(s.host.opts.AliveEvery)
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

// handle takes one message of the entry.
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
	id, r, ok := requestOf(m, s.host.now())
	if !ok {
		return
	}
	h := s.host.find(id)
	if h == nil {
		// The entry has settings that this process hasn't seen, or has seen replaced. Silence makes the entry decide
		// alone; a refusal would tell a caller something untrue.
		return
	}
	s.book(r.Gen, booking{shard: id, handle: m.GetHandle()})
	h.submit(s, r)
}

func (s *session) book(g ids.Generation, b booking) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byHandle, s.gens[g].handle)
	s.gens[g] = b
	s.byHandle[b.handle] = g
}

func (s *session) unbook(g ids.Generation) {
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
		if h := s.booked(g); ok && h != nil {
			h.runner.Progress(g, it.GetAttempt(), int(it.GetTokens()))
		}
	}
}

func (s *session) end(m *meshpb.End) {
	g, err := ids.FromBytes(m.GetGeneration())
	if err != nil {
		return
	}
	h := s.booked(g)
	s.unbook(g)
	if h == nil {
		return
	}
	h.end(g, m.GetAttempt(), int(m.GetTokens()), sched.EndReason(m.GetReason()))
}

// booked finds the shard of a generation of this entry.
func (s *session) booked(g ids.Generation) *hosted {
	s.mu.Lock()
	b, ok := s.gens[g]
	s.mu.Unlock()
	if !ok {
		return nil
	}
	return s.host.lookup(b.shard)
}

// close ends the session. What it booked is kept for Grace: a link that only broke comes back within it, and freeing
// places that are still used would let the engines overflow.
func (s *session) close() {
	s.stop()
	time.AfterFunc(s.host.opts.Grace, func() {
		for _, h := range s.host.all() {
			h.dropSession(s)
		}
	})
}
