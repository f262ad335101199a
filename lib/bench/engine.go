package bench

import (
	"strconv"
	"strings"
	"time"

	"anvilwick.example/anvilwick/lib/enginemodel"
	"anvilwick.example/anvilwick/lib/sched"
)

// engine is one engine with its link.
type engine struct {
	model     *enginemodel.Engine
	born      time.Duration // the model's time 0
	life      int           // grows when the engine is replaced
	dead      bool
	scheduled time.Duration // end of the step that is in the timeline
	stalled   time.Duration // the link carries nothing before this time
	heard     time.Duration // last tokens at an entry
	cacheSeq  uint64        // cache events read so far
	lost      uint64        // preemptions of earlier lives
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
		s.bear(i)
		phase := pollEvery * time.Duration(i) / time.Duration(len(s.engines))
		s.line.add(event{at: phase, kind: atEnginePoll, engine: int32(i)})
	}
}

// bear starts an empty engine.
func (s *sim) bear(i int) {
	e := &s.engines[i]
	if e.model != nil {
		e.lost += e.model.Preemptions()
	}
	cfg := s.plant.engine
	cfg.Seed = uint64(i + 1)
	e.model = enginemodel.New(cfg)
	e.model.FreezeReports(s.frozen)
	e.born = s.now
	e.life++
	e.dead = false
	e.scheduled = 0
	e.cacheSeq = 0
}

// arrives is when a message between an engine and an entry gets there.
func (s *sim) arrives(e *engine) time.Duration { return max(s.now, e.stalled) + s.delay }

func (s *sim) engineAdd(ev *event) {
	e := &s.engines[ev.engine]
	if s.heldBack(e, ev) {
		return
	}
	f := &s.flows[ev.flow]
	err := enginemodel.ErrLeaving
	if !e.dead {
		err = e.model.Add(s.now-e.born, enginemodel.Seq{
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
		s.line.add(event{
			at: s.arrives(e), kind: atEntryRefused,
			flow: ev.flow, attempt: ev.attempt, engine: ev.engine,
		})
		return
	}
	s.scheduleStep(int(ev.engine))
}

// heldBack puts a message to an engine off until its link carries again. A grant whose attempt is over by then must not
// run: its cancel follows it on the same link.
func (s *sim) heldBack(e *engine, ev *event) bool {
	if s.now >= e.stalled {
		return false
	}
	later := *ev
	later.at = e.stalled
	s.line.add(later)
	return true
}

func (s *sim) engineCancel(ev *event) {
	e := &s.engines[ev.engine]
	if s.heldBack(e, ev) || e.dead {
		return
	}
	e.model.Cancel(s.now-e.born, genID(int(ev.flow)), ev.attempt)
}

// scheduleStep puts the end of the engine's step into the timeline, once.
func (s *sim) scheduleStep(i int) {
	e := &s.engines[i]
	at, busy := e.model.Next()
	if !busy || at == e.scheduled {
		return
	}
	e.scheduled = at
	s.line.add(event{at: e.born + at, kind: atEngineStep, engine: int32(i), n: e.life})
}

func (s *sim) engineStep(ev *event) {
	e := &s.engines[ev.engine]
	if e.dead || ev.n != e.life {
		return
	}
	evs := e.model.Step(s.now-e.born, nil)
	if len(evs) > 0 {
		s.line.add(event{at: s.arrives(e), kind: atEntryTokens, engine: ev.engine, tokens: evs})
	}
	s.scheduleStep(int(ev.engine))
}

// enginePoll reads load and cache events, as an entry does; a dead or stalled engine gives none.
func (s *sim) enginePoll(i int) {
	e := &s.engines[i]
	s.line.add(event{at: s.now + pollEvery, kind: atEnginePoll, engine: int32(i)})
	if e.dead || s.now < e.stalled {
		return
	}
	now := s.now - e.born
	r := e.model.Report(now)
	s.line.add(event{at: s.now + s.delay, kind: atOwnerReport, report: sched.Report{
		Target:      targetName(i),
		Age:         now - r.At + s.delay,
		Running:     r.Running,
		Waiting:     r.Waiting,
		KVUsed:      r.KVUsed,
		KVTotal:     r.KVTotal,
		MaxBatch:    r.MaxBatch,
		Watts:       r.Watts,
		Leaving:     r.Leaving,
		Incarnation: uint64(e.life),
	}})
	s.pollCache(i, now)
}

// pollCache sends new cache events, or a snapshot when one is missing.
func (s *sim) pollCache(i int, now time.Duration) {
	e := &s.engines[i]
	evs := e.model.CacheEvents(now, e.cacheSeq)
	if len(evs) == 0 {
		return
	}
	page := &cachePage{}
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
	s.line.add(event{at: s.now + s.delay, kind: atOwnerCache, engine: int32(i), cache: page})
}

func (s *sim) tellCache(now sched.Time, ev *event) {
	name := targetName(int(ev.engine))
	if ev.cache.snapshot {
		s.policy.CacheSnapshot(now, name, ev.cache.prefixes)
		return
	}
	for _, c := range ev.cache.events {
		s.policy.CacheStored(now, name, c.Prefix.Hash, c.Stored)
	}
}

// draw is the true power of all engines.
func (s *sim) draw() float64 {
	sum := 0.0
	for i := range s.engines {
		if !s.engines[i].dead {
			sum += s.engines[i].model.Watts()
		}
	}
	return sum
}

// preemptions sums up what the engines did.
func (s *sim) preemptions() uint64 {
	var sum uint64
	for i := range s.engines {
		sum += s.engines[i].lost + s.engines[i].model.Preemptions()
	}
	return sum
}
