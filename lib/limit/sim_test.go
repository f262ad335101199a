package limit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// sim runs instances in virtual time, each with its own clock rate, over links that lose, delay and cut messages.
type sim struct {
	cfg       Config
	rng       *rand.Rand
	limit     Limit
	now       time.Duration // true time
	instances []*simInstance
	inFlight  []simMessage
	views     [][]string
	loss      float64
	delay     time.Duration
	viewDelay time.Duration // mean time until an instance adopts a new view
	cutLinks  map[[2]int]bool
	admits    []time.Duration // true times of admissions
	sent      int
}

type simInstance struct {
	id         int
	name       string
	rate       float64 // of its clock
	offset     time.Duration
	epoch      uint64
	node       *Node
	alive      bool
	paused     time.Duration // until
	next       time.Duration // next tick
	view       int
	viewFrozen bool // adopts no new view
	inbox      []simMessage
	endTimes   []time.Duration // of requests in progress, true time
}

type simMessage struct {
	at       time.Duration
	from, to int
	up       *Up
	down     *Down
}

var simBase = time.Unix(1_700_000_000, 0)

func newSim(cfg Config, seed uint64, n int, lim Limit) *sim {
	s := &sim{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 7)), limit: lim,
		delay: 5 * time.Millisecond, viewDelay: 500 * time.Millisecond, cutLinks: make(map[[2]int]bool),
	}
	var members []string
	for i := range n {
		in := &simInstance{id: i, name: fmt.Sprintf("entry-%d", i), rate: 1 + (s.rng.Float64()-0.5)*cfg.ClockSkew}
		in.offset = time.Duration(s.rng.Int64N(int64(time.Hour)))
		s.instances = append(s.instances, in)
		members = append(members, in.name)
	}
	s.views = [][]string{members}
	for _, in := range s.instances {
		s.start(in)
	}
	return s
}

func (s *sim) start(in *simInstance) {
	in.alive, in.epoch, in.view = true, in.epoch+1, len(s.views)-1
	in.inbox, in.endTimes, in.paused = nil, nil, 0
	in.node = NewNode(s.clock(in), s.cfg, in.name, in.epoch, func(Key) Limit { return s.limit })
	in.node.SetView(s.clock(in), s.views[in.view])
	in.next = s.now + time.Duration(s.rng.Int64N(int64(s.cfg.Interval)))
}

// kill ends an instance with its requests, and reports it dead to the other nodes.
func (s *sim) kill(in *simInstance) {
	in.alive, in.endTimes = false, nil
	for _, other := range s.instances {
		if other.alive {
			other.node.MarkDead(in.name)
		}
	}
}

func (s *sim) clock(in *simInstance) time.Time {
	return simBase.Add(in.offset + time.Duration(float64(s.now)*in.rate))
}

// addView adds a view that differs by one member, once all instances have the previous view.
func (s *sim) addView() {
	last := len(s.views) - 1
	for _, in := range s.instances {
		if in.alive && in.view != last {
			return
		}
	}
	i := s.rng.IntN(len(s.instances))
	name := s.instances[i].name
	v := slices.Clone(s.views[last])
	if at := slices.Index(v, name); at >= 0 && len(v) > 2 {
		v = slices.Delete(v, at, at+1)
	} else if at < 0 {
		v = append(v, name)
	} else {
		return
	}
	s.views = append(s.views, v)
}

const simStep = 5 * time.Millisecond

func (s *sim) run(d time.Duration, each func()) {
	for end := s.now + d; s.now < end; s.now += simStep {
		s.deliver()
		for _, in := range s.instances {
			s.runInst(in)
		}
		if each != nil {
			each()
		}
	}
}

func (s *sim) runInst(in *simInstance) {
	if !in.alive {
		return
	}
	if s.now < in.paused { // its requests keep running and end at their targets; it notices once it resumes
		return
	}
	for i := 0; i < len(in.endTimes); i++ {
		if in.endTimes[i] <= s.now {
			in.endTimes = slices.Delete(in.endTimes, i, i+1)
			in.node.Release(simKey)
			i--
		}
	}
	for _, m := range in.inbox {
		s.receive(in, m)
	}
	in.inbox = in.inbox[:0]
	if !in.viewFrozen && in.view < len(s.views)-1 && s.rng.Int64N(int64(s.viewDelay)) < int64(simStep) {
		in.view++
		in.node.SetView(s.clock(in), s.views[in.view])
	}
	if s.now >= in.next {
		in.next = s.now + s.cfg.Interval
		for _, o := range in.node.Tick(s.clock(in)) {
			s.send(in.id, s.index(o.To), &o.Up, nil)
		}
	}
}

var simKey = Key{Workspace: "roads", Class: "urgent"}

// request makes one request at in that runs for d if admitted. It reports whether it was admitted at once.
func (s *sim) request(in *simInstance, d time.Duration) bool {
	if !in.alive || s.now < in.paused {
		return false
	}
	a := in.node.Acquire(s.clock(in), simKey)
	if a.Verdict == Pending {
		if out, ok := in.node.RequestMore(s.clock(in), simKey); ok {
			s.send(in.id, s.index(out.To), &out.Up, nil)
		}
		return false
	}
	if a.Verdict != Admitted {
		return false
	}
	in.endTimes = append(in.endTimes, s.now+d)
	s.admits = append(s.admits, s.now)
	return true
}

func (s *sim) receive(in *simInstance, m simMessage) {
	from := s.instances[m.from]
	if m.down != nil {
		in.node.HandleDown(s.clock(in), from.name, *m.down)
		return
	}
	if d, ok := in.node.HandleUp(s.clock(in), from.name, *m.up); ok {
		s.send(in.id, m.from, nil, &d)
	}
}

func (s *sim) send(from, to int, up *Up, down *Down) {
	if to < 0 || s.rng.Float64() < s.loss {
		return
	}
	s.sent++
	at := s.now + s.delay/2 + time.Duration(s.rng.Int64N(int64(s.delay)))
	s.inFlight = append(s.inFlight, simMessage{at: at, from: from, to: to, up: up, down: down})
}

func (s *sim) deliver() {
	kept := s.inFlight[:0]
	for _, m := range s.inFlight {
		switch {
		case m.at > s.now || s.cutLinks[[2]int{m.from, m.to}]: // a cut link holds back the messages in it
			kept = append(kept, m)
		case s.instances[m.to].alive:
			s.instances[m.to].inbox = append(s.instances[m.to].inbox, m)
		}
	}
	s.inFlight = kept
}

func (s *sim) index(name string) int {
	return slices.IndexFunc(s.instances, func(in *simInstance) bool { return in.name == name })
}

func (s *sim) inProgress() int {
	n := 0
	for _, in := range s.instances {
		for _, end := range in.endTimes {
			if end > s.now {
				n++
			}
		}
	}
	return n
}
