package bench

import (
	"time"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/enginemodel"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/workload"
)

type flowState uint8

const (
	flowQueued flowState = iota // submitted, no grant yet
	flowGranted
	flowCompleted
	flowRefused
	flowFailed // given up after tokens were delivered; counts as lost
)

// noEngine marks a flow without a place.
const noEngine = -1

// flow is one generation at its entry.
type flow struct {
	req       *workload.Request
	prefixes  []enginemodel.Prefix
	hashes    []uint64
	state     flowState
	attempt   uint32
	engine    int
	tokens    int // delivered to the caller
	told      int // tokens of the last progress sent
	moves     int
	fruitless int // attempts in a row that were given up without a token
	avoid     []string
	last      time.Duration // of the last token
	grantedAt time.Duration
}

func (s *sim) startFlow(i int) {
	f := &s.flows[i]
	f.req = &s.cfg.Arrivals[i]
	f.attempt = 1
	f.engine = noEngine
	f.hashes = engineapi.PrefixHashes(f.req.Text())
	for k, h := range f.hashes {
		f.prefixes = append(f.prefixes, enginemodel.Prefix{Hash: h, Tokens: engineapi.PrefixTokens(k)})
	}
	s.line.add(event{at: f.req.At, kind: atEntryArrive, flow: int32(i)})
}

// submit asks the owner for a place for the current attempt.
func (s *sim) submit(i int) {
	s.metrics.messages++
	s.line.add(event{at: s.now + s.delay, kind: atOwnerSubmit, flow: int32(i), attempt: s.flows[i].attempt})
}

// request builds what the owner is told.
func (s *sim) request(i int, attempt uint32) sched.Request {
	f := &s.flows[i]
	r := sched.Request{
		Gen:          genID(i),
		Workspace:    f.req.Workspace,
		Class:        f.req.Class.Name,
		Attempt:      attempt,
		PromptTokens: f.req.Prompt,
		MaxTokens:    s.cfg.Mix.MaxTokens,
		Emitted:      f.tokens,
		Preemptions:  f.moves,
		Prefixes:     f.hashes,
		Avoid:        f.avoid,
		Fingerprint:  uint64(i),
	}
	if f.req.Class.Deadline > 0 {
		r.Deadline = sched.Time(f.req.At + f.req.Class.Deadline)
	}
	if s.cfg.Oracle {
		r.KnownTokens = f.req.Length
	}
	return r
}

// carryOut obeys the owner, unless the action is about an attempt that is over.
func (s *sim) carryOut(a *sched.Action) {
	i := flowOf(a.Gen)
	f := &s.flows[i]
	if a.Attempt != f.attempt {
		return
	}
	switch {
	case a.Kind == sched.ActGrant && f.state == flowQueued:
		s.granted(i, a)
	case a.Kind == sched.ActPreempt && f.state == flowGranted:
		f.moves++
		s.metrics.moves++
		s.leaveEngine(i, sched.EndMoved)
	case a.Kind == sched.ActRefuse && f.state == flowQueued && f.tokens > 0:
		s.over(i, flowFailed)
	case a.Kind == sched.ActRefuse && f.state == flowQueued:
		s.over(i, flowRefused)
	}
}

func (s *sim) granted(i int, a *sched.Action) {
	f := &s.flows[i]
	f.state = flowGranted
	f.engine = engineIndex(a.Target)
	f.told = f.tokens
	f.grantedAt = s.now
	s.line.add(event{
		at: s.now + s.delay, kind: atEngineAdd,
		flow: int32(i), attempt: a.Attempt, engine: int32(f.engine), n: a.Priority,
	})
}

// over ends a flow for good.
func (s *sim) over(i int, state flowState) {
	s.flows[i].state = state
	s.open--
}

// end tells the owner that the current attempt is over.
func (s *sim) end(i int, reason sched.EndReason) {
	s.metrics.messages++
	f := &s.flows[i]
	s.line.add(event{
		at: s.now + s.delay, kind: atOwnerEnd,
		flow: int32(i), attempt: f.attempt, n: f.tokens, reason: reason,
	})
}

// leaveEngine cancels the current attempt and asks for a place for the rest.
func (s *sim) leaveEngine(i int, reason sched.EndReason) {
	f := &s.flows[i]
	s.line.add(event{
		at: s.now + s.delay, kind: atEngineCancel,
		flow: int32(i), attempt: f.attempt, engine: int32(f.engine),
	})
	s.again(i, reason)
}

// again ends the attempt and submits the next.
func (s *sim) again(i int, reason sched.EndReason) {
	f := &s.flows[i]
	s.end(i, reason)
	f.state = flowQueued
	f.engine = noEngine
	f.attempt++
	s.submit(i)
}

// receive takes the tokens of one step. Frames of an older attempt are dropped, as the entry does.
func (s *sim) receive(ev *event) {
	s.engines[ev.engine].heard = s.now
	for _, t := range ev.tokens {
		i := flowOf(t.Gen)
		f := &s.flows[i]
		if f.state != flowGranted || t.Attempt != f.attempt {
			continue
		}
		switch t.Kind {
		case enginemodel.EvToken:
			s.token(f, t.Index)
		case enginemodel.EvFinished:
			s.end(i, sched.EndCompleted)
			s.over(i, flowCompleted)
		case enginemodel.EvDropped:
			s.again(i, sched.EndPreempted)
		}
	}
}

func (s *sim) token(f *flow, index int) {
	if index != f.tokens {
		return
	}
	if index == 0 {
		s.metrics.first(f, s.now)
	} else {
		s.metrics.gap(s.now - f.last)
	}
	f.last = s.now
	f.tokens++
	s.metrics.token(f, s.now)
}

// refusedByEngine asks for another place: the engine ran nothing of the attempt.
func (s *sim) refusedByEngine(ev *event) {
	i := int(ev.flow)
	f := &s.flows[i]
	if f.state != flowGranted || f.attempt != ev.attempt {
		return
	}
	f.avoid = []string{targetName(int(ev.engine))}
	s.again(i, sched.EndTargetRefused)
}

// broken handles the death of an engine: each stream on it breaks, and a connection attempt tells that it is gone.
func (s *sim) broken(engine int) {
	s.line.add(event{at: s.now + s.delay, kind: atOwnerGone, engine: int32(engine)})
	s.leaveAll(engine, sched.EndTargetDied, false)
}

// leaveAll moves every flow away from an engine.
func (s *sim) leaveAll(engine int, reason sched.EndReason, cancel bool) {
	for i := range s.flows {
		f := &s.flows[i]
		if f.state != flowGranted || f.engine != engine {
			continue
		}
		f.avoid = []string{targetName(engine)}
		if cancel {
			s.leaveEngine(i, reason)
		} else {
			s.again(i, reason)
		}
	}
}

// flush sends the progress of one entry's flows, and looks for engines that fell silent.
func (s *sim) flush(entry int) {
	var items []progressItem
	for i := entry; i < len(s.flows); i += entries {
		f := &s.flows[i]
		s.giveUp(i)
		if f.state == flowGranted && f.tokens > f.told {
			f.told = f.tokens
			items = append(items, progressItem{int32(i), f.attempt, f.tokens})
		}
	}
	if len(items) > 0 {
		s.metrics.messages += min(len(items), s.owners)
		s.metrics.items += len(items)
		s.line.add(event{at: s.now + s.delay, kind: atOwnerProgress, progress: items})
	}
	s.line.add(event{at: s.now + progressEvery, kind: atEntryFlush, n: entry})
}
