package bench

import (
	"strconv"
	"strings"
	"time"

	"anvilwick.example/anvilwick/lib/enginemodel"
	"anvilwick.example/anvilwick/lib/sched"
)

// engine is one engine model with its network link.
type engine struct {
	model              *enginemodel.Engine
	startedAt          time.Duration // time 0 of the model
	incarnation        int           // incarnation, increased when the engine is replaced
	dead               bool
	scheduledStep      time.Duration // end of the step that is in the timeline
	stalledUntil       time.Duration // the link delivers nothing before this time
	lastTokens         time.Duration // when an entry last received tokens
	cacheSeq           uint64        // sequence number of the last cache event read
	earlierPreemptions uint64        // preemptions of earlier incarnations
}

func engineIndex(target string) int {
	n, err := strconv.Atoi(strings.TrimPrefix(target, "engine-"))
	if err != nil {
		return noEngine
	}
	return n
}

func (s *sim) startEngines() {
	s.engines = make([]engine, s.cfg.Mix.Engines)
	for i := range s.engines {
		s.startEngine(i)
		phase := pollEvery * time.Duration(i) / time.Duration(len(s.engines))
		s.timeline.add(event{at: phase, kind: atEnginePoll, engine: int32(i)})
	}
}

// startEngine starts an empty engine.
func (s *sim) startEngine(i int) {
	e := &s.engines[i]
	if e.model != nil {
		e.earlierPreemptions += e.model.Preemptions()
	}
	cfg := s.cluster.engine
	cfg.Seed = uint64(i + 1)
	e.model = enginemodel.New(cfg)
	e.model.FreezeReports(s.reportsFrozen)
	e.startedAt = s.now
	e.incarnation++
	e.dead = false
	e.scheduledStep = 0
	e.cacheSeq = 0
}

// arrivalTime returns when a message sent now between an engine and an entry arrives.
func (s *sim) arrivalTime(e *engine) time.Duration { return max(s.now, e.stalledUntil) + s.delay }

func (s *sim) engineAdd(ev *event) {
	e := &s.engines[ev.engine]
	if s.postpone(e, ev) {
		return
	}
	f := &s.flows[ev.flow]
	err := enginemodel.ErrLeaving
	if !e.dead {
		err = e.model.Add(s.now-e.startedAt, enginemodel.Seq{
			Gen:      genID(int(ev.flow)),
			Attempt:  ev.attempt,
			Priority: ev.n,
			Prompt:   f.req.Prompt,
			Emitted:  f.tokens,
			Length:   f.req.Length,
			Prefixes: f.prefixes,
		})
	}
	if err != nil {
		s.timeline.add(event{
			at: s.arrivalTime(e), kind: atEntryRefused,
			flow: ev.flow, attempt: ev.attempt, engine: ev.engine,
		})
		return
	}
	s.scheduleStep(int(ev.engine))
}

// postpone delays a message to an engine until its link works again, and reports whether it did. If the attempt of a delayed
// grant has ended by then, its cancel follows it on the same link, so the engine must not run it.
func (s *sim) postpone(e *engine, ev *event) bool {
	if s.now >= e.stalledUntil {
		return false
	}
	postponed := *ev
	postponed.at = e.stalledUntil
	s.timeline.add(postponed)
	return true
}

func (s *sim) engineCancel(ev *event) {
	e := &s.engines[ev.engine]
	if s.postpone(e, ev) || e.dead {
		return
	}
	e.model.Cancel(s.now-e.startedAt, genID(int(ev.flow)), ev.attempt)
}

// scheduleStep adds the end of the engine's current step to the timeline, once.
func (s *sim) scheduleStep(i int) {
	e := &s.engines[i]
	at, busy := e.model.Next()
	if !busy || at == e.scheduledStep {
		return
	}
	e.scheduledStep = at
	s.timeline.add(event{at: e.startedAt + at, kind: atEngineStep, engine: int32(i), n: e.incarnation})
}

func (s *sim) engineStep(ev *event) {
	e := &s.engines[ev.engine]
	if e.dead || ev.n != e.incarnation {
		return
	}
	evs := e.model.Step(s.now-e.startedAt, nil)
	if len(evs) > 0 {
		s.timeline.add(event{at: s.arrivalTime(e), kind: atEntryTokens, engine: ev.engine, tokens: evs})
	}
	s.scheduleStep(int(ev.engine))
}

// enginePoll reads load and cache events as an entry does; a dead or stalled engine returns nothing.
func (s *sim) enginePoll(i int) {
	e := &s.engines[i]
	s.timeline.add(event{at: s.now + pollEvery, kind: atEnginePoll, engine: int32(i)})
	if e.dead || s.now < e.stalledUntil {
		return
	}
	now := s.now - e.startedAt
	r := e.model.Report(now)
	s.timeline.add(event{at: s.now + s.delay, kind: atOwnerReport, report: sched.Report{
		Target:      targetName(i),
		Age:         now - r.At + s.delay,
		Running:     r.Running,
		Waiting:     r.Waiting,
		KVUsed:      r.KVUsed,
		KVTotal:     r.KVTotal,
		MaxBatch:    r.MaxBatch,
		Watts:       r.Watts,
		Leaving:     r.Leaving,
		Incarnation: uint64(e.incarnation),
	}})
	s.pollCache(i, now)
}

// pollCache sends new cache events, or a snapshot if events were lost.
func (s *sim) pollCache(i int, now time.Duration) {
	e := &s.engines[i]
	evs := e.model.CacheEvents(now, e.cacheSeq)
	if len(evs) == 0 {
		return
	}
	page := &cacheUpdate{}
	if last := evs[len(evs)-1].Seq; last-e.cacheSeq == uint64(len(evs)) {
		e.cacheSeq = last
		page.events = append(page.events, evs...)
	} else {
		seq, held := e.model.CacheSnapshot()
		e.cacheSeq = seq
		page.snapshot = true
		for _, p := range held {
			page.prefixes = append(page.prefixes, p.Hash)
		}
	}
	s.timeline.add(event{at: s.now + s.delay, kind: atOwnerCache, engine: int32(i), cache: page})
}

func (s *sim) updateCache(now sched.Time, ev *event) {
	name := targetName(int(ev.engine))
	if ev.cache.snapshot {
		s.policy.CacheSnapshot(now, name, ev.cache.prefixes)
		return
	}
	for _, c := range ev.cache.events {
		s.policy.CacheStored(now, name, c.Prefix.Hash, c.Stored)
	}
}

// totalWatts returns the actual power draw of all engines.
func (s *sim) totalWatts() float64 {
	sum := 0.0
	for i := range s.engines {
		if !s.engines[i].dead {
			sum += s.engines[i].model.Watts()
		}
	}
	return sum
}

// preemptions returns the number of preemptions by all engines.
func (s *sim) preemptions() uint64 {
	var sum uint64
	for i := range s.engines {
		sum += s.engines[i].earlierPreemptions + s.engines[i].model.Preemptions()
	}
	return sum
}
