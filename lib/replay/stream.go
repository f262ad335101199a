package replay

import (
	"cmp"
	"math/rand/v2"
	"time"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/enginemodel"
	"anvilwick.example/anvilwick/lib/fleet"
)

type stream struct {
	id             uint64
	instance       *instance
	long           bool
	workspace      int           // rank of its sender by size, from 1; 0: unknown
	first          time.Duration // time of the caller's first request
	arrived        time.Duration // time of the caller's latest request
	prompt         int
	length         int
	expectedLength int
	retried        bool
	timeout        time.Duration   // the caller's timeout, counted from first; 0: none
	next           time.Duration   // time of the next decision while it waits
	request        *pendingRequest // with Owners

	engine  *engine
	sent    time.Duration
	unread  int
	emitted int
	load    fleet.Load

	lastEvent time.Duration // exact time of the newest event
	longPause bool          // it had a pause beyond the objective
}

func (s *site) arrivals(long bool, rate float64) {
	for p := rate * tick.Seconds(); p > 0; p-- {
		if s.loadRNG.Float64() < p {
			s.arrive(s.draw(s.loadRNG, long, s.sender.draw()))
		}
	}
}

// draw creates a stream like those of users: long ones have about 3,000 prompt and 600 output tokens, short ones about 2,500
// and 10. The length estimate is right at the median and typically off by a factor of three.
func (s *site) draw(rng *rand.Rand, long bool, workspace int) *stream {
	s.tally.Streams++
	r := &stream{
		id: uint64(s.tally.Streams), long: long, first: s.now, prompt: 1500 + rng.IntN(3000), length: 60 + int(rng.ExpFloat64()*540),
	}
	if !long {
		r.prompt, r.length = 800+rng.IntN(3400), 4+rng.IntN(12)
		r.timeout = s.pattern.ShortTimeout
	}
	r.length = min(r.length, 1500)
	if s.pattern.EventLengths {
		s.drawEvents(rng, r)
	}
	deviation := rng.NormFloat64()
	r.expectedLength = max(1, int(float64(r.length)*pow3(deviation)))
	r.workspace = workspace
	s.tally.Work += r.work()
	if s.sender.isSmall(r.workspace) {
		s.tally.Small++
	}
	if r.prompt > largePrompt {
		s.tally.Large++
	}
	if long {
		s.tally.Longs++
	}
	return r
}

// drawEvents gives a stream a length in events: about 190 with a heavy spread, or two or three.
func (s *site) drawEvents(rng *rand.Rand, r *stream) {
	events := 2 + rng.IntN(2)
	if r.long {
		events = min(16+int(rng.ExpFloat64()*174), 800)
	}
	r.length = events * s.pattern.tokensPerEvent()
}

func (p *Pattern) tokensPerEvent() int { return max(1, p.TokensPerEvent) }

func (p *Pattern) engineTokens() int { return cmp.Or(p.EngineTokens, kvTokens) }

// largePrompt is exceeded by about a tenth of the prompts.
const largePrompt = 4100

// answerWork is the cost of an output token relative to a prompt token.
const answerWork = 10

func (r *stream) work() int { return r.prompt + answerWork*r.length }

// pow3 is a rough approximation of 3 to the power of x.
func pow3(x float64) float64 {
	if x < 0 {
		return 1 / (1 - 2*x)
	}
	return 1 + 2*x
}

func (r *stream) objective() time.Duration {
	if r.long {
		return 1800 * time.Millisecond
	}
	return 1500 * time.Millisecond
}

// maxRetryAfter returns the longest retry delay that the stream's caller accepts.
func (r *stream) maxRetryAfter() time.Duration {
	if r.timeout == 0 {
		return maxRetryAfter
	}
	return max(0, (r.timeout-(r.arrived-r.first))/3)
}

func (r *stream) size() fleet.Size {
	return fleet.Size{Held: r.prompt + r.emitted, Remaining: max(0, r.expectedLength-r.emitted)}
}

func (r *stream) need() fleet.Need {
	return fleet.Need{Service: service, Tokens: r.prompt + r.expectedLength/2, Unread: r.prompt, Peak: r.size()}
}

// admitted converts the stream for lib/admit.
func (s *site) admitted(r *stream) admit.Stream {
	out := admit.Stream{Arrived: start.Add(r.arrived), Objective: r.objective(), MaxRetryAfter: r.maxRetryAfter(), Need: r.need()}
	if !s.policy.IgnorePauses {
		out.GapObjective = s.pattern.GapObjective
	}
	if !s.policy.Unfair {
		out.Workspace = uint64(r.workspace)
	}
	return out
}

func (s *site) arrive(r *stream) {
	r.instance = s.instances[r.id%uint64(len(s.instances))]
	r.arrived = s.now
	r.next = s.now
	r.request = nil
	s.countRetry(r)
	if !s.decider.decide(r) {
		r.instance.waiting = append(r.instance.waiting, r)
	}
}

// apply carries out a decision and reports whether the stream has stopped waiting.
func (s *site) apply(r *stream, d admit.Decision) bool {
	need := r.need()
	if d.Action == admit.RetryLater && s.policy.ForceAdmit {
		if target, ok := r.instance.fleet.Choose(s.clock(), need); ok {
			d = admit.Decision{Action: admit.Admit, Target: target}
		}
	}
	switch d.Action {
	case admit.Wait:
		r.next = s.now + admit.PollInterval
		return false
	case admit.Admit:
		s.countPlaced(r)
		s.send(r, d.Target.ID, fleet.Load{Tokens: need.Tokens, Unread: need.Unread})
	default:
		s.refuse(r, d.RetryAfter)
	}
	return true
}

// refuse lets the caller retry once after a delay.
func (s *site) refuse(r *stream, after time.Duration) {
	if r.retried || after == 0 {
		s.tally.Refused++
		return
	}
	r.retried = true
	s.tally.Retried++
	s.countRefusal(r, after)
	s.after(after, func() { s.arrive(r) })
}

// send starts a stream on an engine and reserves its load at the instance.
func (s *site) send(r *stream, id string, l fleet.Load) {
	f := r.instance.fleet
	if _, ok := f.AcquireAt(s.clock(), id, fleet.Need{Service: service, Tokens: l.Tokens, Unread: l.Unread}); !ok {
		s.tally.Lost++ // the engine has just left
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
		r.instance.runs[r.id] = r
		faulty := e.faulty && s.decisionRNG.IntN(2) == 0
		if faulty || e.model.Add(s.now, enginemodel.Seq{Gen: gen(r.id), Prompt: r.prompt, Length: r.length}) != nil {
			s.end(r, fleet.Failed)
			s.tally.Lost++
			return
		}
		s.decider.streamSent(r)
		return
	}
	f.Release(s.clock(), id, l, fleet.Refused)
	s.tally.Lost++
}

// token handles a token that an engine has emitted at the given time.
func (s *site) token(r *stream, at time.Duration) {
	r.emitted++
	per := s.pattern.tokensPerEvent()
	if r.emitted%per != 0 && r.emitted < r.length {
		return
	}
	last := r.lastEvent
	r.lastEvent = at
	if last > 0 {
		s.laterEvent(r, at-last)
		return
	}
	if r.retried {
		s.tally.RetriedServed++
	}
	switch took := s.now - r.first; {
	case took <= r.objective():
		s.inTime(r)
	case r.timeout > 0 && took > r.timeout:
		s.tally.Refused++ // its caller has timed out
	default:
		s.tally.Late++
	}
	r.instance.fleet.AddLoad(r.engine.ID, fleet.Load{Unread: -r.load.Unread})
	r.load.Unread = 0
	if !s.policy.IgnorePrefill {
		r.instance.prefillRates.Observe(service, r.unread, s.now-r.sent)
		s.decider.firstEvent(r)
	}
	s.scheduleUpdate(r.instance)
}

// laterEvent handles an event after the first, and the pause before it.
func (s *site) laterEvent(r *stream, pause time.Duration) {
	s.decider.event(r, pause)
	if s.pattern.GapObjective == 0 || pause <= s.pattern.GapObjective || r.longPause {
		return
	}
	r.longPause = true
	if r.long {
		s.tally.PauseLate++
	} else {
		s.tally.ShortPauseLate++
	}
}

func (s *site) inTime(r *stream) {
	s.tally.InTime++
	s.tally.WorkInTime += r.work()
	if s.sender.isSmall(r.workspace) {
		s.tally.SmallInTime++
	}
	if r.long {
		s.tally.LongsInTime++
	}
	if r.prompt > largePrompt {
		s.tally.LargeInTime++
	}
}

// scheduleUpdate makes an instance send its loads soon.
func (s *site) scheduleUpdate(in *instance) { in.nextUpdate = min(in.nextUpdate, s.now+updateDelay) }

func (s *site) end(r *stream, o fleet.Outcome) {
	delete(r.engine.runs, r.id)
	delete(r.engine.byGen, gen(r.id))
	delete(r.instance.runs, r.id)
	r.instance.fleet.Release(s.clock(), r.engine.ID, r.load, o)
	s.decider.streamEnded(r, o)
	s.scheduleUpdate(r.instance)
}
