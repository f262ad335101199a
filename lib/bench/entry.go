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
	flowFailed // aborted after tokens were delivered; counts as lost
)

// noEngine marks a flow that is not placed on an engine.
const noEngine = -1

// flow is the state of one generation at its entry.
type flow struct {
	req                  *workload.Request
	prefixes             []enginemodel.Prefix
	hashes               []uint64
	state                flowState
	attempt              uint32
	engine               int
	tokens               int // delivered to the caller
	reported             int // tokens in the last progress message
	moves                int
	attemptsWithoutToken int // consecutive attempts that were aborted without a token
	avoid                []string
	lastToken            time.Duration // time of the last token
	grantedAt            time.Duration
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
	s.timeline.add(event{at: f.req.At, kind: atEntryArrive, flow: int32(i)})
}

// submit requests a placement of the current attempt from the owner.
func (s *sim) submit(i int) {
	s.metrics.messages++
	s.timeline.add(event{at: s.now + s.delay, kind: atOwnerSubmit, flow: int32(i), attempt: s.flows[i].attempt})
}

// placementRequest builds the placement request sent to the owner.
func (s *sim) placementRequest(i int, attempt uint32) sched.Request {
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

// apply applies an action of the owner, unless the action is about an attempt that has ended.
func (s *sim) apply(a *sched.Action) {
	i := flowOf(a.Gen)
	f := &s.flows[i]
	if a.Attempt != f.attempt {
		return
	}
	switch {
	case a.Kind == sched.ActGrant && f.state == flowQueued:
		s.applyGrant(i, a)
	case a.Kind == sched.ActPreempt && f.state == flowGranted:
		f.moves++
		s.metrics.moves++
		s.leaveEngine(i, sched.EndMoved)
	case a.Kind == sched.ActRefuse && f.state == flowQueued && f.tokens > 0:
		s.finish(i, flowFailed)
	case a.Kind == sched.ActRefuse && f.state == flowQueued:
		s.finish(i, flowRefused)
	}
}

func (s *sim) applyGrant(i int, a *sched.Action) {
	f := &s.flows[i]
	f.state = flowGranted
	f.engine = engineIndex(a.Target)
	f.reported = f.tokens
	f.grantedAt = s.now
	s.timeline.add(event{
		at: s.now + s.delay, kind: atEngineAdd,
		flow: int32(i), attempt: a.Attempt, engine: int32(f.engine), n: a.Priority,
	})
}

// finish ends a flow permanently.
func (s *sim) finish(i int, state flowState) {
	s.flows[i].state = state
	s.openFlows--
}

// endAttempt notifies the owner that the current attempt has ended.
func (s *sim) endAttempt(i int, reason sched.EndReason) {
	s.metrics.messages++
	f := &s.flows[i]
	s.timeline.add(event{
		at: s.now + s.delay, kind: atOwnerEnd,
		flow: int32(i), attempt: f.attempt, n: f.tokens, reason: reason,
	})
}

// leaveEngine cancels the current attempt and requests a placement for the remaining tokens.
func (s *sim) leaveEngine(i int, reason sched.EndReason) {
	f := &s.flows[i]
	s.timeline.add(event{
		at: s.now + s.delay, kind: atEngineCancel,
		flow: int32(i), attempt: f.attempt, engine: int32(f.engine),
	})
	s.resubmit(i, reason)
}

// resubmit ends the attempt and submits the next.
func (s *sim) resubmit(i int, reason sched.EndReason) {
	f := &s.flows[i]
	s.endAttempt(i, reason)
	f.state = flowQueued
	f.engine = noEngine
	f.attempt++
	s.submit(i)
}

// receiveTokens processes the tokens of one step. Tokens of earlier attempts are dropped, as by the real entry.
func (s *sim) receiveTokens(ev *event) {
	s.engines[ev.engine].lastTokens = s.now
	for _, t := range ev.tokens {
		i := flowOf(t.Gen)
		f := &s.flows[i]
		if f.state != flowGranted || t.Attempt != f.attempt {
			continue
		}
		switch t.Kind {
		case enginemodel.EvToken:
			s.deliverToken(f, t.Index)
		case enginemodel.EvFinished:
			s.endAttempt(i, sched.EndCompleted)
			s.finish(i, flowCompleted)
		case enginemodel.EvDropped:
			s.resubmit(i, sched.EndPreempted)
		}
	}
}

func (s *sim) deliverToken(f *flow, index int) {
	if index != f.tokens {
		return
	}
	if index == 0 {
		s.metrics.firstToken(f, s.now)
	} else {
		s.metrics.gap(s.now - f.lastToken)
	}
	f.lastToken = s.now
	f.tokens++
	s.metrics.token(f, s.now)
}

// engineRefused requests another placement; the engine ran no part of the attempt.
func (s *sim) engineRefused(ev *event) {
	i := int(ev.flow)
	f := &s.flows[i]
	if f.state != flowGranted || f.attempt != ev.attempt {
		return
	}
	f.avoid = []string{targetName(int(ev.engine))}
	s.resubmit(i, sched.EndTargetRefused)
}

// engineDied handles the death of an engine: all its streams break, and a failed connection attempt reports it to the owner.
func (s *sim) engineDied(engine int) {
	s.timeline.add(event{at: s.now + s.delay, kind: atOwnerGone, engine: int32(engine)})
	s.evacuate(engine, sched.EndTargetDied, false)
}

// evacuate moves all flows away from an engine.
func (s *sim) evacuate(engine int, reason sched.EndReason, cancel bool) {
	for i := range s.flows {
		f := &s.flows[i]
		if f.state != flowGranted || f.engine != engine {
			continue
		}
		f.avoid = []string{targetName(engine)}
		if cancel {
			s.leaveEngine(i, reason)
		} else {
			s.resubmit(i, reason)
		}
	}
}

// flushProgress sends the progress of one entry's flows and aborts stalled streams.
func (s *sim) flushProgress(entry int) {
	var items []progressItem
	for i := entry; i < len(s.flows); i += entries {
		f := &s.flows[i]
		s.abortStalled(i)
		if f.state == flowGranted && f.tokens > f.reported {
			f.reported = f.tokens
			items = append(items, progressItem{int32(i), f.attempt, f.tokens})
		}
	}
	if len(items) > 0 {
		s.metrics.messages += min(len(items), s.owners)
		s.metrics.items += len(items)
		s.timeline.add(event{at: s.now + s.delay, kind: atOwnerProgress, progress: items})
	}
	s.timeline.add(event{at: s.now + progressEvery, kind: atEntryFlush, n: entry})
}
