package replay

import (
	"time"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/enginemodel"
	"anvilwick.example/anvilwick/lib/fleet"
)

type stream struct {
	id       uint64
	inst     *instance
	long     bool
	first    time.Duration // when its caller first came
	arrived  time.Duration // when it last came
	prompt   int
	length   int
	guess    int
	returned bool
	budget   time.Duration // after which its caller leaves, from when it first came; 0: no such time
	next     time.Duration // of its next step while it waits
	asked    *asking       // with Owners

	engine *engine
	sent   time.Duration
	unread int
	made   int
	load   fleet.Load
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
func (s *site) draw(long bool) *stream {
	s.tally.Streams++
	r := &stream{
		id: uint64(s.tally.Streams), long: long, first: s.now, prompt: 1500 + s.rng.IntN(3000), length: 60 + int(s.rng.ExpFloat64()*540),
	}
	if !long {
		r.prompt, r.length = 800+s.rng.IntN(3400), 4+s.rng.IntN(12)
		r.budget = s.load.ShortTimeout
	}
	r.length = min(r.length, 1500)
	off := s.rng.NormFloat64()
	r.guess = max(1, int(float64(r.length)*pow3(off)))
	s.tally.Work += r.work()
	if r.prompt > largePrompt {
		s.tally.Large++
	}
	if long {
		s.tally.Longs++
	}
	return r
}

// largePrompt is passed by about a tenth of the prompts.
const largePrompt = 4100

// answerWork is what a token of an answer costs, against one of a prompt.
const answerWork = 10

func (r *stream) work() int { return r.prompt + answerWork*r.length }

// pow3 is roughly 3 to the power of x.
func pow3(x float64) float64 {
	if x < 0 {
		return 1 / (1 - 2*x)
	}
	return 1 + 2*x
}

func (r *stream) aim() time.Duration {
	if r.long {
		return 1800 * time.Millisecond
	}
	return 1500 * time.Millisecond
}

// keeps is the longest time to stay away that its caller keeps to.
func (r *stream) keeps() time.Duration {
	if r.budget == 0 {
		return keeps
	}
	return max(0, (r.budget-(r.arrived-r.first))/3)
}

func (r *stream) size() fleet.Size {
	return fleet.Size{Held: r.prompt + r.made, Remaining: max(0, r.guess-r.made)}
}

func (r *stream) need() fleet.Need {
	return fleet.Need{Service: service, Tokens: r.prompt + r.guess/2, Unread: r.prompt, Peak: r.size()}
}

// asked is the stream as lib/admit sees it.
func (r *stream) admitted() admit.Stream {
	return admit.Stream{Arrived: start.Add(r.arrived), Objective: r.aim(), MaxRetryAfter: r.keeps(), Need: r.need()}
}

func (s *site) arrive(r *stream) {
	r.inst = s.instances[r.id%uint64(len(s.instances))]
	r.arrived = s.now
	r.next = s.now
	r.asked = nil
	if !s.way.decide(r) {
		r.inst.waiting = append(r.inst.waiting, r)
	}
}

// settle carries a decision out and reports whether the stream waits no longer.
func (s *site) settle(r *stream, d admit.Decision) bool {
	need := r.need()
	if d.Action == admit.RetryLater && s.pol.Force {
		if target, ok := r.inst.fleet.Choose(s.clock(), need); ok {
			d = admit.Decision{Action: admit.Admit, Target: target}
		}
	}
	switch d.Action {
	case admit.Wait:
		r.next = s.now + admit.PollInterval
		return false
	case admit.Admit:
		s.send(r, d.Target.ID, fleet.Load{Tokens: need.Tokens, Unread: need.Unread})
	default:
		s.turnAway(r, d.RetryAfter)
	}
	return true
}

// turnAway lets the caller come back once.
func (s *site) turnAway(r *stream, after time.Duration) {
	if r.returned || after == 0 {
		s.tally.Away++
		return
	}
	r.returned = true
	s.tally.CameBack++
	s.after(after, func() { s.arrive(r) })
}

// send hands a stream to an engine, which its instance counts.
func (s *site) send(r *stream, id string, l fleet.Load) {
	f := r.inst.fleet
	if _, ok := f.AcquireAt(s.clock(), id, fleet.Need{Service: service, Tokens: l.Tokens, Unread: l.Unread}); !ok {
		s.tally.Lost++ // it left a moment ago
		return
	}
	for _, e := range s.engines {
		if e.ID != id {
			continue
		}
		r.engine, r.sent, r.load = e, s.now, l
		r.unread = f.KnownState(s.clock(), id).Load.Unread
		e.runs[r.id] = r
		e.byGen[gen(r.id)] = r
		r.inst.runs[r.id] = r
		faulty := e.faulty && s.chance.IntN(2) == 0
		if faulty || e.model.Add(s.now, enginemodel.Seq{Gen: gen(r.id), Prompt: r.prompt, Length: r.length}) != nil {
			s.end(r, fleet.Failed)
			s.tally.Lost++
			return
		}
		s.way.sent(r)
		return
	}
	f.Release(s.clock(), id, l, fleet.Refused)
	s.tally.Lost++
}

func (s *site) token(r *stream) {
	r.made++
	if r.made > 1 {
		return
	}
	if r.returned {
		s.tally.ServedBack++
	}
	switch took := s.now - r.first; {
	case took <= r.aim():
		s.inTime(r)
	case r.budget > 0 && took > r.budget:
		s.tally.Away++ // its caller has left
	default:
		s.tally.Late++
	}
	r.inst.fleet.AddLoad(r.engine.ID, fleet.Load{Unread: -r.load.Unread})
	r.load.Unread = 0
	if !s.pol.NoReading {
		r.inst.reading.Observe(service, r.unread, s.now-r.sent)
		s.way.read(r)
	}
	s.changed(r.inst)
}

func (s *site) inTime(r *stream) {
	s.tally.InTime++
	s.tally.WorkInTime += r.work()
	if r.long {
		s.tally.LongsInTime++
	}
	if r.prompt > largePrompt {
		s.tally.LargeInTime++
	}
}

// changed lets an instance tell soon what it has.
func (s *site) changed(in *instance) { in.changed = min(in.changed, s.now+changeGap) }

func (s *site) end(r *stream, o fleet.Outcome) {
	delete(r.engine.runs, r.id)
	delete(r.engine.byGen, gen(r.id))
	delete(r.inst.runs, r.id)
	r.inst.fleet.Release(s.clock(), r.engine.ID, r.load, o)
	s.way.ended(r, o)
	s.changed(r.inst)
}
