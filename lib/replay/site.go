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

// maxRetryAfter is the longest retry delay that callers accept: a third of their 39 s timeout.
const maxRetryAfter = 12 * time.Second

// kvTokens is the KV memory of an engine in tokens, enough for about six long streams.
const kvTokens = 22_000

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
	prefillRates *admit.PrefillRates
	runs         map[uint64]*stream
	waiting      []*stream
	nextUpdate   time.Duration // when it sends its next update
	failed       bool
	coordinator  *coordinator // with Owners
}

// site is the state of a simulation.
type site struct {
	pattern     Pattern
	policy      Policy
	loadRNG     *rand.Rand // for the load, so that each policy gets the same streams
	decisionRNG *rand.Rand // for the decisions of instances
	now         time.Duration
	engines     []*engine
	instances   []*instance
	queue       eventQueue
	serial      uint64
	engineCount int // engines created so far
	tally       Tally
	decider     decider
	sender      *sender
}

// decider places streams according to a Strategy and keeps the state shared by instances up to date.
type decider interface {
	// engineListChanged is called after engines have joined or left.
	engineListChanged()
	// decide tries to place a stream and reports whether it has stopped waiting.
	decide(r *stream) bool
	// streamSent is called after a stream was sent to its engine.
	streamSent(r *stream)
	// step does the periodic work due at a tick.
	step()
	// firstEvent is called when a stream produces its first event.
	firstEvent(r *stream)
	// event is called when a stream produces a further event, after a pause.
	event(r *stream, pause time.Duration)
	// streamEnded is called with the outcome of a stream at its engine.
	streamEnded(r *stream, o fleet.Outcome)
}

var start = time.Unix(1_000_000, 0)

func (s *site) clock() time.Time { return start.Add(s.now) }

// Simulate runs a load pattern under a policy.
func Simulate(pattern Pattern, policy Policy, seed uint64) Tally {
	pattern.Domains = max(1, pattern.Domains)
	s := &site{pattern: pattern, policy: policy, loadRNG: rand.New(rand.NewPCG(seed, 7)), decisionRNG: rand.New(rand.NewPCG(seed, 8))}
	s.sender = newSender(pattern.Workspaces, seed)
	if policy.Strategy == Owners {
		s.decider = newOwnerDecider(s)
	} else {
		s.decider = &localDecider{s: s}
	}
	for i := range pattern.Instances {
		s.addInstance(i)
	}
	for range pattern.Engines {
		s.addEngine()
	}
	for ; s.now < pattern.Duration; s.now += tick {
		s.step()
	}
	return s.tally
}

func (s *site) domain(i int) string { return fmt.Sprint("z", i%s.pattern.Domains) }

func (s *site) addInstance(i int) {
	in := &instance{name: fmt.Sprint("i", i), domain: s.domain(i), runs: make(map[uint64]*stream), prefillRates: new(admit.PrefillRates)}
	f := fleet.New(in.domain)
	f.SetSpecs(map[string]fleet.Spec{service: {
		KVTokens: s.pattern.engineTokens(), GapObjective: s.pattern.GapObjective, TokensPerEvent: s.pattern.tokensPerEvent(),
	}})
	f.SetSizes(in.sizesOn)
	f.SetRandom(s.decisionRNG.Float64)
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
	s.engineCount++
	info := fleet.Info{ID: fmt.Sprint("e", s.engineCount), Service: service, Domain: s.domain(s.engineCount), Slots: 24}
	e := &engine{
		Info: info, runs: make(map[uint64]*stream), byGen: make(map[ids.Generation]*stream),
		faulty: s.engineCount <= s.pattern.FaultyEngines,
	}
	speed := 1.0
	if s.pattern.Speed != nil {
		speed = s.pattern.Speed(s.engineCount)
	}
	e.model = enginemodel.New(enginemodel.Config{
		Speed: speed, Noise: s.pattern.Noise,
		Seed: uint64(s.engineCount), StepBase: 7 * time.Millisecond, StepPerSeq: 120 * time.Microsecond, StepPerContext: 4 * time.Nanosecond,
		StepPerPrefill: time.Millisecond / 14, PrefillChunk: 112, MaxBatch: 24, QueueBound: 72, KVTokens: s.pattern.engineTokens(),
	})
	s.engines = append(s.engines, e)
	for _, in := range s.instances {
		in.fleet.Apply(s.clock(), []fleet.Info{info}, nil, 0)
	}
	s.decider.engineListChanged()
}

func (s *site) step() {
	s.replaceEngines()
	s.failInstances()
	if s.now%(200*time.Millisecond) == 0 {
		for _, in := range s.instances {
			in.fleet.Tick(s.clock())
		}
	}
	s.deliver()
	factor, short := 1.0, 1.0
	if s.pattern.RateFactor != nil {
		factor = s.pattern.RateFactor(s.now)
	}
	if s.pattern.ShortRateFactor != nil {
		short = s.pattern.ShortRateFactor(s.now)
	}
	s.arrivals(true, s.pattern.LongRate*factor)
	s.arrivals(false, s.pattern.ShortRate*factor*short)
	s.burst(true, s.pattern.LongRate*factor)
	s.burst(false, s.pattern.ShortRate*factor*short)
	for _, in := range s.instances {
		in.waiting = slices.DeleteFunc(in.waiting, func(r *stream) bool { return s.now >= r.next && s.decider.decide(r) })
	}
	s.decider.step()
	for _, e := range s.engines {
		s.runEngine(e)
	}
}

// callback is a function to call at a virtual time.
type callback struct {
	at    time.Duration
	order uint64
	apply func()
}

// eventQueue is a heap of callbacks ordered by due time, then by creation.
type eventQueue []callback

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].order, q[j].order)) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(callback)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// after schedules a callback after a delay.
func (s *site) after(d time.Duration, apply func()) {
	s.serial++
	heap.Push(&s.queue, callback{at: s.now + d, order: s.serial, apply: apply})
}

// sendMessage schedules the delivery of a message between instances and counts it.
func (s *site) sendMessage(d time.Duration, apply func()) {
	s.tally.Messages++
	s.after(d, apply)
}

func (s *site) deliver() {
	for len(s.queue) > 0 && s.queue[0].at <= s.now {
		heap.Pop(&s.queue).(callback).apply()
	}
}

// replaceEngines removes a sixth of the engines with their runs when due, and schedules as many empty ones to join.
func (s *site) replaceEngines() {
	if s.pattern.LeaveEvery == 0 || s.now == 0 || s.now%s.pattern.LeaveEvery != 0 {
		return
	}
	for range s.pattern.Engines / 6 {
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
		s.after(s.pattern.ReplaceAfter, s.addEngine)
	}
	s.decider.engineListChanged()
}

// nextToLeave returns the index of the oldest engine, or of the oldest one in the failure domain whose turn it is.
func (s *site) nextToLeave() int {
	if !s.pattern.LeaveByDomain {
		return 0
	}
	domain := s.domain(int(s.now / s.pattern.LeaveEvery))
	return max(0, slices.IndexFunc(s.engines, func(e *engine) bool { return e.Domain == domain }))
}

func sorted(runs map[uint64]*stream) []*stream {
	return slices.SortedFunc(maps.Values(runs), func(a, b *stream) int { return cmp.Compare(a.id, b.id) })
}

// failInstances removes failing instances with their streams. The others are not notified and detect it by missing messages.
func (s *site) failInstances() {
	switch {
	case s.now == 0:
	case s.now == s.pattern.HalfInstancesFailAt:
		for _, in := range s.instances[len(s.instances)/2:] {
			s.failInstance(in)
		}
	case s.now == s.pattern.OwnersFailAt:
		for _, in := range s.firstRanked() {
			s.failInstance(in)
		}
	}
	s.instances = slices.DeleteFunc(s.instances, func(in *instance) bool { return in.failed })
}

func (s *site) failInstance(in *instance) {
	in.failed = true
	for _, r := range sorted(in.runs) {
		r.engine.model.Cancel(s.now, gen(r.id), 0)
		s.end(r, fleet.Abandoned)
		s.tally.Lost++
	}
}

// runEngine executes the engine's steps that are due.
func (s *site) runEngine(e *engine) {
	for {
		at, busy := e.model.Next()
		if !busy || at > s.now {
			return
		}
		for _, ev := range e.model.Step(at, nil) {
			s.handleEvent(e, ev, at)
		}
	}
}

func (s *site) handleEvent(e *engine, ev enginemodel.Event, at time.Duration) {
	r := e.byGen[ev.Gen]
	if r == nil {
		return
	}
	switch ev.Kind {
	case enginemodel.EvToken:
		s.token(r, at)
	case enginemodel.EvFinished:
		s.end(r, fleet.Served)
	case enginemodel.EvPreempted:
		s.tally.Preempted++
	}
}

func gen(id uint64) ids.Generation { return ids.From(0, id) }
