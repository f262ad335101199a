package admit

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"anvilwick.example/anvilwick/lib/enginemodel"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/ids"
)

// load is a pattern of traffic and of engines that leave.
type load struct {
	engines, instances int
	longs, shorts      float64                        // streams a second
	shape              func(at time.Duration) float64 // factor on longs and shorts; nil: 1
	shortShape         func(at time.Duration) float64 // factor on shorts alone; nil: 1
	leaveEvery         time.Duration                  // a sixth of the engines leaves; 0: none does
	backAfter          time.Duration                  // as many come, empty
	halfGoneAt         time.Duration                  // half of the instances end with what they serve; 0: none does
	span               time.Duration
}

// policy is what the instances do; the zero value is all of it.
type policy struct {
	slowNews  bool // placements are told after 60 ms in place of 3
	noReading bool // prompts that wait on an engine don't count
	force     bool // what finds no room is sent to the best engine
}

// tally is how the streams fared.
type tally struct {
	streams, inTime, late, away, lost int
	cameBack, servedBack              int // callers that came back, and of these those whose stream began
	longs, longsInTime                int
	large, largeInTime                int // streams with the largest tenth of prompts
}

func (t *tally) add(o tally) {
	t.streams += o.streams
	t.inTime += o.inTime
	t.late += o.late
	t.away += o.away
	t.lost += o.lost
	t.cameBack += o.cameBack
	t.servedBack += o.servedBack
	t.longs += o.longs
	t.large += o.large
	t.largeInTime += o.largeInTime
	t.longsInTime += o.longsInTime
}

// share is the part of the streams that began in time.
func (t tally) share() float64 { return float64(t.inTime) / float64(max(1, t.streams)) }

const (
	tick      = time.Millisecond
	fastNews  = 3 * time.Millisecond
	lateNews  = 60 * time.Millisecond
	newsEvery = 250 * time.Millisecond
	service   = "engine"
)

type simStream struct {
	id       uint64
	inst     *simInstance
	long     bool
	first    time.Duration // when its caller first came
	arrived  time.Duration // when it last came
	prompt   int
	length   int
	guess    int
	returned bool
	next     time.Duration // of its next step while it waits

	engine *simEngine
	sent   time.Duration
	unread int
	made   int
	load   fleet.Load
}

type simEngine struct {
	id    string
	model *enginemodel.Engine
	runs  map[uint64]*simStream
	byGen map[ids.Generation]*simStream
}

type simInstance struct {
	name    string
	placer  Placer
	runs    map[uint64]*simStream
	waiting []*simStream
	changed time.Duration // when its news is due
}

type message struct {
	at    time.Duration
	apply func()
}

// site plays a load in virtual time: instances that decide by the product's own code, engines by lib/enginemodel, and
// news that takes its time.
type site struct {
	load    load
	pol     policy
	rng     *rand.Rand // of the load: the same streams come under each policy
	chance  *rand.Rand // of the instances' decisions
	now     time.Duration
	engines []*simEngine
	insts   []*simInstance
	mail    []message
	comeNow []message // callers that come back
	serial  uint64
	made    int // engines made so far
	tally   tally
}

var start = time.Unix(1_000_000, 0)

func (s *site) clock() time.Time { return start.Add(s.now) }

func play(l load, pol policy, seed uint64) tally {
	s := &site{load: l, pol: pol, rng: rand.New(rand.NewPCG(seed, 7)), chance: rand.New(rand.NewPCG(seed, 8))}
	for i := range l.instances {
		s.addInstance(fmt.Sprintf("i%d", i))
	}
	for range l.engines {
		s.addEngine()
	}
	for ; s.now < l.span; s.now += tick {
		s.step()
	}
	return s.tally
}

func (s *site) addInstance(name string) {
	in := &simInstance{name: name, runs: make(map[uint64]*simStream)}
	f := fleet.New("z")
	f.SetSpecs(map[string]fleet.Spec{service: {KVTokens: kv}})
	f.SetSizes(func(target string) []fleet.Size {
		var out []fleet.Size
		for _, r := range in.runs {
			if r.engine.id == target {
				out = append(out, r.size())
			}
		}
		return out
	})
	f.SetRandom(s.chance.Float64)
	in.placer = Placer{Fleet: f, Reading: new(Readings), Random: s.chance.Int64N}
	s.insts = append(s.insts, in)
}

// keeps is the longest time to stay away that callers keep to: a third of the users' 39 s.
const keeps = 12 * time.Second

// kv is an engine's memory in tokens: some six long streams.
const kv = 22_000

func (s *site) addEngine() {
	s.made++
	e := &simEngine{id: fmt.Sprintf("e%d", s.made), runs: make(map[uint64]*simStream), byGen: make(map[ids.Generation]*simStream)}
	e.model = enginemodel.New(enginemodel.Config{
		Seed: uint64(s.made), StepBase: 7 * time.Millisecond, StepPerSeq: 120 * time.Microsecond, StepPerContext: 4 * time.Nanosecond,
		StepPerPrefill: time.Millisecond / 14, PrefillChunk: 112, MaxBatch: 24, QueueBound: 72, KVTokens: kv,
	})
	s.engines = append(s.engines, e)
	for _, in := range s.insts {
		in.placer.Fleet.Apply(s.clock(), []fleet.Info{{ID: e.id, Service: service, Domain: "z", Slots: 24}}, nil, 0)
	}
}

func (s *site) step() {
	s.leaving()
	s.halfGone()
	if s.now%(200*time.Millisecond) == 0 {
		for _, in := range s.insts {
			in.placer.Fleet.Tick(s.clock())
		}
	}
	s.deliver(&s.mail)
	s.deliver(&s.comeNow)
	factor, short := 1.0, 1.0
	if s.load.shape != nil {
		factor = s.load.shape(s.now)
	}
	if s.load.shortShape != nil {
		short = s.load.shortShape(s.now)
	}
	s.arrivals(true, s.load.longs*factor)
	s.arrivals(false, s.load.shorts*factor*short)
	for _, in := range s.insts {
		in.waiting = slices.DeleteFunc(in.waiting, func(r *simStream) bool { return s.now >= r.next && s.decide(r) })
		if s.now >= in.changed {
			s.tell(in)
		}
	}
	for _, e := range s.engines {
		s.run(e)
	}
}

func (s *site) deliver(list *[]message) {
	rest := (*list)[:0:0]
	due := []message{}
	for _, m := range *list {
		if m.at <= s.now {
			due = append(due, m)
		} else {
			rest = append(rest, m)
		}
	}
	*list = rest
	for _, m := range due {
		m.apply()
	}
}

// leaving takes a sixth of the engines away with what runs there, and brings as many back, empty.
func (s *site) leaving() {
	if s.load.leaveEvery == 0 || s.now == 0 || s.now%s.load.leaveEvery != 0 {
		return
	}
	for range s.load.engines / 6 {
		e := s.engines[0]
		s.engines = s.engines[1:]
		for _, in := range s.insts {
			in.placer.Fleet.Leave(s.clock(), e.id, 0)
		}
		for _, r := range sorted(e.runs) {
			s.end(r)
			s.tally.lost++
		}
		s.mail = append(s.mail, message{at: s.now + s.load.backAfter, apply: s.addEngine})
	}
}

func sorted(runs map[uint64]*simStream) []*simStream {
	return slices.SortedFunc(maps.Values(runs), func(a, b *simStream) int { return cmp.Compare(a.id, b.id) })
}

// halfGone ends half of the instances with what they serve. The others learn of it by silence only.
func (s *site) halfGone() {
	if s.load.halfGoneAt == 0 || s.now != s.load.halfGoneAt {
		return
	}
	gone := s.insts[len(s.insts)/2:]
	s.insts = s.insts[:len(s.insts)/2]
	for _, in := range gone {
		for _, r := range sorted(in.runs) {
			r.engine.model.Cancel(s.now, gen(r.id), 0)
			s.end(r)
			s.tally.lost++
		}
	}
}

func (s *site) arrivals(long bool, rate float64) {
	for p := rate * tick.Seconds(); p > 0; p-- {
		if s.rng.Float64() < p {
			s.arrive(s.draw(long))
		}
	}
}

// draw makes a stream like the users': long ones of some 3,000 and 600 tokens, short ones of some 2,500 and 10, with
// guesses of their length that are right at the median and off by a factor of three.
func (s *site) draw(long bool) *simStream {
	s.serial++
	r := &simStream{id: s.serial, long: long, first: s.now, prompt: 1500 + s.rng.IntN(3000), length: 60 + int(s.rng.ExpFloat64()*540)}
	if !long {
		r.prompt, r.length = 800+s.rng.IntN(3400), 4+s.rng.IntN(12)
	}
	r.length = min(r.length, 1500)
	off := s.rng.NormFloat64()
	r.guess = max(1, int(float64(r.length)*pow3(off)))
	s.tally.streams++
	if r.prompt > largePrompt {
		s.tally.large++
	}
	if long {
		s.tally.longs++
	}
	return r
}

// largePrompt is passed by about a tenth of the prompts.
const largePrompt = 4100

// pow3 is roughly 3 to the power of x.
func pow3(x float64) float64 {
	if x < 0 {
		return 1 / (1 - 2*x)
	}
	return 1 + 2*x
}

func (r *simStream) aim() time.Duration {
	if r.long {
		return 1800 * time.Millisecond
	}
	return 1500 * time.Millisecond
}

func (r *simStream) size() fleet.Size {
	return fleet.Size{Now: r.prompt + r.made, Left: max(0, r.guess-r.made)}
}

func (r *simStream) need() fleet.Need {
	return fleet.Need{Service: service, Tokens: r.prompt + r.guess/2, Unread: r.prompt, Peak: r.size()}
}

func (s *site) arrive(r *simStream) {
	r.inst = s.insts[r.id%uint64(len(s.insts))]
	r.arrived = s.now
	if !s.decide(r) {
		r.inst.waiting = append(r.inst.waiting, r)
		r.inst.changed = min(r.inst.changed, s.now+15*time.Millisecond)
	}
}

// decide makes one step of a stream and reports whether it waits no longer.
func (s *site) decide(r *simStream) bool {
	need := r.need()
	d := r.inst.placer.Step(s.clock(), Stream{Arrived: start.Add(r.arrived), Aim: r.aim(), Keeps: keeps, Need: need})
	if d.Action == Away && s.pol.force {
		if target, ok := r.inst.placer.Fleet.Acquire(s.clock(), need); ok {
			d = Decision{Action: Go, Target: target}
		}
	}
	switch d.Action {
	case Wait:
		r.next = s.now + Poll
		return false
	case Go:
		s.send(r, d.Target.ID, fleet.Load{Tokens: need.Tokens, Unread: need.Unread})
	default:
		s.turnAway(r, d.After)
	}
	return true
}

// turnAway lets the caller come back once.
func (s *site) turnAway(r *simStream, after time.Duration) {
	if r.returned || after == 0 {
		s.tally.away++
		return
	}
	r.returned = true
	s.tally.cameBack++
	s.comeNow = append(s.comeNow, message{at: s.now + after, apply: func() { s.arrive(r) }})
}

func (s *site) send(r *simStream, id string, l fleet.Load) {
	for _, e := range s.engines {
		if e.id != id {
			continue
		}
		r.engine, r.sent, r.load = e, s.now, l
		r.unread = r.inst.placer.Fleet.Believe(s.clock(), id).Load.Unread
		e.runs[r.id] = r
		e.byGen[gen(r.id)] = r
		r.inst.runs[r.id] = r
		if e.model.Add(s.now, enginemodel.Seq{Gen: gen(r.id), Prompt: r.prompt, Length: r.length}) != nil {
			s.end(r)
			s.tally.lost++
		}
		s.tellAt(r.inst, s.delay())
		return
	}
	// It left a moment ago.
	r.inst.placer.Fleet.Release(s.clock(), id, l, fleet.Refused)
	s.tally.lost++
}

func gen(id uint64) ids.Generation { return ids.From(0, id) }

func (s *site) delay() time.Duration {
	if s.pol.slowNews {
		return lateNews
	}
	return fastNews
}

// run lets an engine make its steps.
func (s *site) run(e *simEngine) {
	for {
		at, busy := e.model.Next()
		if !busy || at > s.now {
			return
		}
		for _, ev := range e.model.Step(at, nil) {
			r := e.byGen[ev.Gen]
			if r == nil {
				continue
			}
			switch ev.Kind {
			case enginemodel.EvToken:
				s.token(r)
			case enginemodel.EvFinished:
				s.end(r)
			}
		}
	}
}

func (s *site) token(r *simStream) {
	r.made++
	if r.made > 1 {
		return
	}
	if r.returned {
		s.tally.servedBack++
	}
	if s.now-r.first <= r.aim() {
		s.tally.inTime++
		if r.long {
			s.tally.longsInTime++
		}
		if r.prompt > largePrompt {
			s.tally.largeInTime++
		}
	} else {
		s.tally.late++
	}
	r.inst.placer.Fleet.Grow(r.engine.id, fleet.Load{Unread: -r.load.Unread})
	r.load.Unread = 0
	if !s.pol.noReading {
		r.inst.placer.Reading.Saw(service, r.unread, s.now-r.sent)
	}
	r.inst.changed = min(r.inst.changed, s.now+15*time.Millisecond)
}

func (s *site) end(r *simStream) {
	delete(r.engine.runs, r.id)
	delete(r.engine.byGen, gen(r.id))
	delete(r.inst.runs, r.id)
	r.inst.placer.Fleet.Release(s.clock(), r.engine.id, r.load, fleet.Served)
	r.inst.changed = min(r.inst.changed, s.now+15*time.Millisecond)
}

// tell sends an instance's whole news.
func (s *site) tell(in *simInstance) {
	in.changed = s.now + newsEvery
	s.tellAt(in, s.delay())
}

func (s *site) tellAt(in *simInstance, delay time.Duration) {
	loads, sizes := make(map[string]fleet.Load), make(map[string][]fleet.Size)
	for _, r := range in.runs {
		l := loads[r.engine.id]
		l.Runs++
		l.Tokens += r.load.Tokens
		l.Unread += r.load.Unread
		loads[r.engine.id] = l
		sizes[r.engine.id] = append(sizes[r.engine.id], r.size())
	}
	s.mail = append(s.mail, message{at: s.now + delay, apply: func() {
		for _, other := range s.insts {
			if other != in {
				other.placer.Fleet.Tell(s.clock(), in.name, loads, sizes)
			}
		}
	}})
}
