package enginemodel

import (
	"math/rand/v2"
	"slices"
	"time"

	"anvilwick.example/anvilwick/lib/ids"
)

// Prefix is a hash of the first Tokens tokens of a prompt.
type Prefix struct {
	Hash   uint64
	Tokens int
}

// Seq is one attempt of a generation, as submitted to the engine.
type Seq struct {
	Gen      ids.Generation
	Attempt  uint32
	Priority int // higher priorities leave the waiting queue first
	Prompt   int // tokens
	Emitted  int // tokens emitted by earlier attempts; the first token sent has this index
	Length   int // tokens of the complete answer, known only to the engine
	Prefixes []Prefix
}

// EventKind is the type of an Event.
type EventKind uint8

// Values of EventKind.
const (
	EvToken     EventKind = iota + 1 // token Index was decoded
	EvFinished                       // the answer is complete; Index is its count of tokens
	EvPreempted                      // the sequence lost its memory and is waiting again
	EvDropped                        // the sequence lost its memory and was removed from the engine
)

// Event is a state change of one sequence at the end of a step.
type Event struct {
	Kind    EventKind
	Gen     ids.Generation
	Attempt uint32
	Index   int
}

type seq struct {
	Seq
	arrival uint64 // order of arrival
	held    int    // tokens of memory held; 0 while it waits
	prefill int    // tokens still to prefill
}

// Engine is the state of one engine. It is not safe for concurrent use.
type Engine struct {
	cfg         Config
	rng         *rand.Rand
	waiting     []*seq // by priority, then arrival
	running     []*seq // by arrival in the batch
	kvUsed      int
	arrivals    uint64
	preemptions uint64
	busy        bool // a step is in progress
	stepEnd     time.Duration
	prefilled   map[*seq]int // prompt tokens that the step in progress prefills
	stepFactor  float64      // factor on the duration of steps
	leaving     bool
	reports     reports
	cache       prefixCache
}

// New returns an idle engine at time 0.
func New(cfg Config) *Engine {
	e := &Engine{
		cfg:        cfg,
		rng:        rand.New(rand.NewPCG(cfg.Seed, 0x656e67696e65)),
		prefilled:  make(map[*seq]int),
		stepFactor: 1,
	}
	e.cache.init(cfg, e.rng)
	return e
}

// Add queues s and starts a step if the engine was idle.
func (e *Engine) Add(now time.Duration, s Seq) error {
	switch {
	case e.leaving:
		return ErrLeaving
	case len(e.waiting) >= e.cfg.QueueBound:
		return ErrQueueFull
	case s.Prompt+s.Length+1 > e.cfg.KVTokens:
		return ErrTooLarge
	}
	e.arrivals++
	e.enqueue(&seq{Seq: s, arrival: e.arrivals})
	e.sample(now)
	if !e.busy {
		e.begin(now, nil)
	}
	return nil
}

// enqueue inserts s by priority and arrival; a preempted sequence keeps its arrival number.
func (e *Engine) enqueue(s *seq) {
	at, _ := slices.BinarySearchFunc(e.waiting, s, func(a, b *seq) int {
		if a.Priority != b.Priority {
			return b.Priority - a.Priority
		}
		return int(int64(a.arrival) - int64(b.arrival))
	})
	e.waiting = slices.Insert(e.waiting, at, s)
}

// Cancel removes a sequence immediately and reports whether it was known and whether any part of it had run.
func (e *Engine) Cancel(now time.Duration, g ids.Generation, attempt uint32) (known, ran bool) {
	matches := func(s *seq) bool { return s.Gen == g && s.Attempt == attempt }
	if i := slices.IndexFunc(e.running, matches); i >= 0 {
		e.release(e.running[i])
		e.running = slices.Delete(e.running, i, i+1)
		e.sample(now)
		return true, true
	}
	if i := slices.IndexFunc(e.waiting, matches); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		e.sample(now)
		return true, false
	}
	return false, false
}

// release frees the memory of s.
func (e *Engine) release(s *seq) {
	e.kvUsed -= s.held
	s.held = 0
	delete(e.prefilled, s)
}

// Next returns when the step in progress ends; ok is false while the engine is idle.
func (e *Engine) Next() (at time.Duration, ok bool) { return e.stepEnd, e.busy }

// Step completes the step due at now, appends its events to evs, and starts the next step.
func (e *Engine) Step(now time.Duration, evs []Event) []Event {
	if !e.busy || now < e.stepEnd {
		return evs
	}
	e.busy = false
	evs = e.finishStep(now, evs)
	evs = e.begin(now, evs)
	e.sample(now)
	return evs
}

// finishStep applies the prefill and emits one token for each decoding sequence.
func (e *Engine) finishStep(now time.Duration, evs []Event) []Event {
	kept := e.running[:0]
	for _, s := range e.running {
		if !e.advance(now, s) {
			kept = append(kept, s)
			continue
		}
		evs = append(evs, Event{Kind: EvToken, Gen: s.Gen, Attempt: s.Attempt, Index: s.Emitted})
		s.Emitted++
		s.held++
		e.kvUsed++
		if s.Emitted < s.Length {
			kept = append(kept, s)
			continue
		}
		e.release(s)
		evs = append(evs, Event{Kind: EvFinished, Gen: s.Gen, Attempt: s.Attempt, Index: s.Emitted})
	}
	clear(e.running[len(kept):])
	e.running = kept
	clear(e.prefilled)
	return evs
}

// advance applies the prefill of s and reports whether s decoded a token in this step.
func (e *Engine) advance(now time.Duration, s *seq) bool {
	if s.prefill == 0 {
		return true
	}
	n := e.prefilled[s]
	s.prefill -= n
	if s.prefill > 0 || n == 0 {
		return false
	}
	e.cache.store(now, s.Prefixes)
	return true
}

// begin preempts if memory is short, admits waiting sequences and starts a step. Without running sequences the engine stays
// idle.
func (e *Engine) begin(now time.Duration, evs []Event) []Event {
	evs = e.preemptUntilFit(evs)
	e.admit()
	if len(e.running) == 0 {
		return evs
	}
	e.busy = true
	e.stepEnd = now + time.Duration(float64(e.plan())*e.factor(now))
	return evs
}

// preemptUntilFit preempts sequences until each one left in the batch can grow by one token.
func (e *Engine) preemptUntilFit(evs []Event) []Event {
	for e.kvUsed+len(e.running) > e.cfg.KVTokens {
		i := e.victim()
		s := e.running[i]
		e.running = slices.Delete(e.running, i, i+1)
		e.release(s)
		e.preemptions++
		kind := EvPreempted
		if e.cfg.DropPreempted {
			kind = EvDropped
		} else {
			e.enqueue(s)
		}
		evs = append(evs, Event{Kind: kind, Gen: s.Gen, Attempt: s.Attempt, Index: s.Emitted})
	}
	return evs
}

// victim selects the sequence of lowest priority and, among equals, of latest arrival.
func (e *Engine) victim() int {
	victim := 0
	for i, s := range e.running {
		b := e.running[victim]
		if s.Priority < b.Priority || s.Priority == b.Priority && s.arrival > b.arrival {
			victim = i
		}
	}
	return victim
}

// admit moves waiting sequences into the batch in queue order until one does not fit.
func (e *Engine) admit() {
	n := 0
	for _, s := range e.waiting {
		need := s.Prompt + s.Emitted
		free := e.cfg.KVTokens - e.kvUsed - len(e.running) - 1
		if len(e.running) >= e.cfg.MaxBatch || need > free {
			break
		}
		s.held = need
		s.prefill = max(1, need-e.cache.match(s.Prefixes))
		e.kvUsed += need
		e.running = append(e.running, s)
		n++
	}
	e.waiting = slices.Delete(e.waiting, 0, n)
}

// plan distributes the prefill chunk and returns the duration of the step at normal speed.
func (e *Engine) plan() time.Duration {
	left := e.cfg.PrefillChunk
	decoding, context, prefilled := 0, 0, 0
	for _, s := range e.running {
		if s.prefill == 0 {
			decoding++
			context += s.held
			continue
		}
		n := min(left, s.prefill)
		if n == 0 {
			continue
		}
		e.prefilled[s] = n
		left -= n
		prefilled += n
	}
	return e.cfg.StepBase +
		time.Duration(decoding)*e.cfg.StepPerSeq +
		time.Duration(context)*e.cfg.StepPerContext +
		time.Duration(prefilled)*e.cfg.StepPerPrefill
}

// factor returns the factor on the duration of a step that starts now.
func (e *Engine) factor(now time.Duration) float64 {
	f := e.stepFactor * e.Slowdown(now)
	if e.cfg.Speed > 0 {
		f *= e.cfg.Speed
	}
	return f
}

// SetStepFactor multiplies the duration of later steps, besides Config.Speed and Config.Noise; 1 is normal speed.
func (e *Engine) SetStepFactor(factor float64) { e.stepFactor = factor }

// SetLeaving makes Add refuse new sequences; running ones continue.
func (e *Engine) SetLeaving(v bool) { e.leaving = v }

// Watts returns the actual power draw.
func (e *Engine) Watts() float64 {
	return e.cfg.IdleWatts + e.cfg.SeqWatts*float64(len(e.running))
}

// Active returns the sizes of the batch and of the waiting queue.
func (e *Engine) Active() (running, waiting int) { return len(e.running), len(e.waiting) }

// Preemptions returns the number of preemptions since the start.
func (e *Engine) Preemptions() uint64 { return e.preemptions }
