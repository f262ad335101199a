package replay

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/enginemodel"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/ids"
)

const service = "engine"

// keeps is the longest time to stay away that callers keep to: a third of the users' 39 s.
const keeps = 12 * time.Second

// kv is an engine's memory in tokens: some six long streams.
const kv = 22_000

type engine struct {
	fleet.Info
	model  *enginemodel.Engine
	runs   map[uint64]*stream
	byGen  map[ids.Generation]*stream
	faulty bool
}

type instance struct {
	name, domain string
	fleet        *fleet.Fleet
	reading      *admit.PrefillRates
	runs         map[uint64]*stream
	waiting      []*stream
	changed      time.Duration // when it next tells what it has
	gone         bool
	desk         *desk // with Owners
}

// site plays a load.
type site struct {
	load      Pattern
	pol       Policy
	rng       *rand.Rand // of the load: the same streams come under each policy
	chance    *rand.Rand // of the instances' decisions
	now       time.Duration
	engines   []*engine
	instances []*instance
	mail      mailbox
	serial    uint64
	made      int // engines made so far
	tally     Tally
	way       way
}

// way is a mechanism by which instances know of each other's streams.
type way interface {
	// listed says that the list of engines has changed.
	listed()
	// decide makes a step of a stream and reports whether it waits no longer.
	decide(r *stream) bool
	// sent says that a stream was sent to its engine.
	sent(r *stream)
	// step does what is due at each tick.
	step()
	// read says that the first event of a stream has come.
	read(r *stream)
	// ended says how a stream ended at its engine.
	ended(r *stream, o fleet.Outcome)
}

var start = time.Unix(1_000_000, 0)

func (s *site) clock() time.Time { return start.Add(s.now) }

// Simulate plays a load under a policy.
func Simulate(l Pattern, pol Policy, seed uint64) Tally {
	l.Domains = max(1, l.Domains)
	s := &site{load: l, pol: pol, rng: rand.New(rand.NewPCG(seed, 7)), chance: rand.New(rand.NewPCG(seed, 8))}
	if pol.Way == Owners {
		s.way = newOwned(s)
	} else {
		s.way = &apart{s: s}
	}
	for i := range l.Instances {
		s.addInstance(i)
	}
	for range l.Engines {
		s.addEngine()
	}
	for ; s.now < l.Duration; s.now += tick {
		s.step()
	}
	return s.tally
}

func (s *site) domain(i int) string { return fmt.Sprint("z", i%s.load.Domains) }

func (s *site) addInstance(i int) {
	in := &instance{name: fmt.Sprint("i", i), domain: s.domain(i), runs: make(map[uint64]*stream), reading: new(admit.PrefillRates)}
	f := fleet.New(in.domain)
	f.SetSpecs(map[string]fleet.Spec{service: {KVTokens: kv}})
	f.SetSizes(in.sizesOn)
	f.SetRandom(s.chance.Float64)
	in.fleet = f
	s.instances = append(s.instances, in)
}

func (in *instance) sizesOn(target string) []fleet.Size {
	var out []fleet.Size
	for _, r := range in.runs {
		if r.engine.ID == target {
			out = append(out, r.size())
		}
	}
	return out
}

func (s *site) addEngine() {
	s.made++
	info := fleet.Info{ID: fmt.Sprint("e", s.made), Service: service, Domain: s.domain(s.made), Slots: 24}
	e := &engine{Info: info, runs: make(map[uint64]*stream), byGen: make(map[ids.Generation]*stream), faulty: s.made <= s.load.FaultyEngines}
	e.model = enginemodel.New(enginemodel.Config{
		Seed: uint64(s.made), StepBase: 7 * time.Millisecond, StepPerSeq: 120 * time.Microsecond, StepPerContext: 4 * time.Nanosecond,
		StepPerPrefill: time.Millisecond / 14, PrefillChunk: 112, MaxBatch: 24, QueueBound: 72, KVTokens: kv,
	})
	s.engines = append(s.engines, e)
	for _, in := range s.instances {
		in.fleet.Apply(s.clock(), []fleet.Info{info}, nil, 0)
	}
	s.way.listed()
}

func (s *site) step() {
	s.leaving()
	s.instancesGone()
	if s.now%(200*time.Millisecond) == 0 {
		for _, in := range s.instances {
			in.fleet.Tick(s.clock())
		}
	}
	s.deliver()
	factor, short := 1.0, 1.0
	if s.load.RateFactor != nil {
		factor = s.load.RateFactor(s.now)
	}
	if s.load.ShortRateFactor != nil {
		short = s.load.ShortRateFactor(s.now)
	}
	s.arrivals(true, s.load.LongRate*factor)
	s.arrivals(false, s.load.ShortRate*factor*short)
	for _, in := range s.instances {
		in.waiting = slices.DeleteFunc(in.waiting, func(r *stream) bool { return s.now >= r.next && s.way.decide(r) })
	}
	s.way.step()
	for _, e := range s.engines {
		s.run(e)
	}
}

// message is something that happens later.
type message struct {
	at    time.Duration
	order uint64
	apply func()
}

// mailbox is a heap of messages by time, then by when they were sent.
type mailbox []message

func (m mailbox) Len() int { return len(m) }
func (m mailbox) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(m[i].at, m[j].at), cmp.Compare(m[i].order, m[j].order)) < 0
}
func (m mailbox) Swap(i, j int) { m[i], m[j] = m[j], m[i] }

// Push implements heap.Interface.
func (m *mailbox) Push(x any) { *m = append(*m, x.(message)) }

// Pop implements heap.Interface.
func (m *mailbox) Pop() any {
	last := len(*m) - 1
	x := (*m)[last]
	*m = (*m)[:last]
	return x
}

// after does something later.
func (s *site) after(d time.Duration, apply func()) {
	s.serial++
	heap.Push(&s.mail, message{at: s.now + d, order: s.serial, apply: apply})
}

// tell is after for a message between instances.
func (s *site) tell(d time.Duration, apply func()) {
	s.tally.Messages++
	s.after(d, apply)
}

func (s *site) deliver() {
	for len(s.mail) > 0 && s.mail[0].at <= s.now {
		heap.Pop(&s.mail).(message).apply()
	}
}

// leaving takes a sixth of the engines away with what runs there, and brings as many back, empty.
func (s *site) leaving() {
	if s.load.LeaveEvery == 0 || s.now == 0 || s.now%s.load.LeaveEvery != 0 {
		return
	}
	for range s.load.Engines / 6 {
		i := s.nextToLeave()
		e := s.engines[i]
		s.engines = slices.Delete(s.engines, i, i+1)
		for _, in := range s.instances {
			in.fleet.MarkLeaving(s.clock(), e.ID, 0)
		}
		for _, r := range sorted(e.runs) {
			s.end(r, fleet.Abandoned)
			s.tally.Lost++
		}
		s.after(s.load.ReplaceAfter, s.addEngine)
	}
	s.way.listed()
}

// nextToLeave is the oldest engine, or the oldest of the failure domain whose turn it is.
func (s *site) nextToLeave() int {
	if !s.load.LeaveByDomain {
		return 0
	}
	domain := s.domain(int(s.now / s.load.LeaveEvery))
	return max(0, slices.IndexFunc(s.engines, func(e *engine) bool { return e.Domain == domain }))
}

func sorted(runs map[uint64]*stream) []*stream {
	return slices.SortedFunc(maps.Values(runs), func(a, b *stream) int { return cmp.Compare(a.id, b.id) })
}

// instancesGone ends instances with what they serve. The others learn of it by silence only.
func (s *site) instancesGone() {
	switch {
	case s.now == 0:
	case s.now == s.load.HalfInstancesFailAt:
		for _, in := range s.instances[len(s.instances)/2:] {
			s.endInstance(in)
		}
	case s.now == s.load.OwnersFailAt:
		for _, in := range s.firstInRank() {
			s.endInstance(in)
		}
	}
	s.instances = slices.DeleteFunc(s.instances, func(in *instance) bool { return in.gone })
}

func (s *site) endInstance(in *instance) {
	in.gone = true
	for _, r := range sorted(in.runs) {
		r.engine.model.Cancel(s.now, gen(r.id), 0)
		s.end(r, fleet.Abandoned)
		s.tally.Lost++
	}
}

// run lets an engine make its steps.
func (s *site) run(e *engine) {
	for {
		at, busy := e.model.Next()
		if !busy || at > s.now {
			return
		}
		for _, ev := range e.model.Step(at, nil) {
			s.happened(e, ev)
		}
	}
}

func (s *site) happened(e *engine, ev enginemodel.Event) {
	r := e.byGen[ev.Gen]
	if r == nil {
		return
	}
	switch ev.Kind {
	case enginemodel.EvToken:
		s.token(r)
	case enginemodel.EvFinished:
		s.end(r, fleet.Served)
	case enginemodel.EvPreempted:
		s.tally.Preempted++
	}
}

func gen(id uint64) ids.Generation { return ids.From(0, id) }
