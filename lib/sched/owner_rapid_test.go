package sched

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/result"
)

// model is the state that a caller of the Owner knows: which attempts wait, run or are being moved, and on which target.
type model struct {
	t        *rapid.T
	o        *Owner
	now      Time
	serial   uint64
	waits    map[ids.Generation]modelWait
	runs     map[ids.Generation]modelRun
	order    []ids.Generation // keys of runs, so that random choices are repeatable
	closed   map[string]bool  // leaving, gone or not in the settings
	watts    float64
	expiry   Time
	fallback float64
}

type modelWait struct {
	since   Time
	attempt uint32
	emitted int
}

type modelRun struct {
	target  string
	attempt uint32
	tokens  int
	length  int
	moves   int
	moving  bool
}

const (
	modelTargets  = 4
	modelMaxWait  = 5 * time.Second
	modelTick     = 20 * time.Millisecond
	modelSeqWatts = 10
)

func modelTarget(i int) string { return fmt.Sprintf("t%d", i) }

func newModel(t *rapid.T) *model {
	m := &model{
		t:      t,
		o:      NewOwner("svc", Options{}),
		now:    1,
		waits:  make(map[ids.Generation]modelWait),
		runs:   make(map[ids.Generation]modelRun),
		closed: make(map[string]bool),
	}
	m.o.SetPolicy(func(_, class string) ClassPolicy {
		return ClassPolicy{Urgent: class == "urgent", MaxWait: modelMaxWait, QueueBound: 20}
	})
	m.setTargets(modelTargets)
	return m
}

func (m *model) setTargets(n int) {
	var specs []TargetSpec
	for i := range modelTargets {
		m.closed[modelTarget(i)] = i >= n
		if i < n {
			specs = append(specs, TargetSpec{Name: modelTarget(i), KVTotal: 2000, MaxBatch: 8, SeqWatts: modelSeqWatts, Resumes: true})
		}
	}
	m.o.SetTargets(m.now, specs)
}

func (m *model) submit() {
	m.serial++
	id := ids.From(1, m.serial)
	class := rapid.SampledFrom([]string{"urgent", "batch"}).Draw(m.t, "class")
	m.waits[id] = modelWait{since: m.now, attempt: 1}
	m.o.Submit(m.now, Request{
		Gen:          id,
		Workspace:    rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "workspace"),
		Class:        class,
		Attempt:      1,
		PromptTokens: rapid.IntRange(1, 600).Draw(m.t, "prompt"),
	})
	if rapid.IntRange(0, 9).Draw(m.t, "again") == 0 {
		// Repeat the Submit, as after a lost answer.
		m.o.Submit(m.now, Request{Gen: id, Workspace: "a", Class: class, Attempt: 1, PromptTokens: 1})
	}
}

// resubmit submits the rest of a generation, as an entry does after an attempt ended before the output was complete.
func (m *model) resubmit(id ids.Generation, r modelRun) {
	m.waits[id] = modelWait{since: m.now, attempt: r.attempt + 1, emitted: r.tokens}
	m.o.Submit(m.now, Request{
		Gen: id, Workspace: "a", Class: "batch", Attempt: r.attempt + 1,
		PromptTokens: 10, Emitted: r.tokens, Preemptions: r.moves + 1,
	})
}

func (m *model) drop(id ids.Generation) {
	delete(m.runs, id)
	for i, g := range m.order {
		if g == id {
			m.order = append(m.order[:i], m.order[i+1:]...)
			return
		}
	}
}

func (m *model) end(id ids.Generation, reason EndReason) {
	r := m.runs[id]
	m.drop(id)
	m.o.End(m.now, id, r.attempt, r.tokens, reason)
	if reason != EndCompleted && reason != EndCancelled {
		m.resubmit(id, r)
	}
}

// advance adds a token to every running generation, ends those that are complete and ends moved attempts.
func (m *model) advance() {
	for _, id := range append([]ids.Generation(nil), m.order...) {
		r := m.runs[id]
		if r.moving {
			m.end(id, EndMoved)
			continue
		}
		r.tokens++
		m.runs[id] = r
		if r.tokens >= r.length {
			m.end(id, EndCompleted)
			continue
		}
		m.o.Progress(m.now, id, r.attempt, r.tokens)
	}
}

func (m *model) tick() {
	m.now = m.now.Add(modelTick)
	for _, a := range m.o.Tick(m.now, nil) {
		switch a.Kind {
		case ActGrant:
			m.granted(a)
		case ActRefuse:
			w, ok := m.waits[a.Gen]
			if !ok || a.Attempt != w.attempt {
				m.t.Fatalf("refused %v attempt %d, which does not wait", a.Gen, a.Attempt)
			}
			if a.RetryAfter <= 0 || a.Code == 0 {
				m.t.Fatalf("refusal without code or Retry-After: %+v", a)
			}
			if w.emitted > 0 && (a.Code != result.NoTarget || m.now.Sub(w.since) < modelMaxWait) {
				m.t.Fatalf("refused a generation with %d tokens of output with %d after %v", w.emitted, a.Code, m.now.Sub(w.since))
			}
			delete(m.waits, a.Gen)
		case ActPreempt:
			r, ok := m.runs[a.Gen]
			if !ok || r.moving || a.Attempt != r.attempt {
				m.t.Fatalf("preempted %v, which does not run", a.Gen)
			}
			r.moving = true
			m.runs[a.Gen] = r
		}
	}
	m.check()
}

func (m *model) granted(a Action) {
	w, ok := m.waits[a.Gen]
	if !ok || a.Attempt != w.attempt {
		m.t.Fatalf("granted %v attempt %d, which does not wait", a.Gen, a.Attempt)
	}
	if _, ok := m.runs[a.Gen]; ok {
		m.t.Fatalf("granted %v while an attempt runs", a.Gen)
	}
	if m.closed[a.Target] {
		m.t.Fatalf("granted on %s, which takes no new work", a.Target)
	}
	delete(m.waits, a.Gen)
	m.order = append(m.order, a.Gen)
	m.runs[a.Gen] = modelRun{
		target:  a.Target,
		attempt: a.Attempt,
		tokens:  w.emitted,
		length:  w.emitted + rapid.IntRange(1, 200).Draw(m.t, "length"),
		moves:   int(a.Attempt) - 1,
	}
	if m.watts > 0 {
		limit := m.watts
		if m.now > m.expiry {
			limit = min(limit, m.fallback)
		}
		if drawn := float64(len(m.runs)) * modelSeqWatts; drawn > limit {
			m.t.Fatalf("granted up to %v W over the cap of %v W", drawn, limit)
		}
	}
}

// check asserts the invariants that hold after every tick.
func (m *model) check() {
	m.checkRows()
	for id, w := range m.waits {
		if w.emitted == 0 && m.now.Sub(w.since) > modelMaxWait+modelTick {
			m.t.Fatalf("%v waits for %v, neither granted nor refused", id, m.now.Sub(w.since))
		}
	}
}

// checkRows asserts that each row is in exactly the list that its state requires, and that the counters match the lists.
func (m *model) checkRows() {
	o := m.o
	seen := make(map[int32]string)
	walk := func(name string, l *list, states ...state) {
		n := 0
		for i := l.head; i != none; i = o.gens[i].next {
			if where, ok := seen[i]; ok {
				m.t.Fatalf("row %d is in %s and %s", i, where, name)
			}
			seen[i] = name
			n++
			ok := false
			for _, s := range states {
				ok = ok || o.gens[i].state == s
			}
			if !ok {
				m.t.Fatalf("row %d in %s has state %d", i, name, o.gens[i].state)
			}
		}
		if n != l.n {
			m.t.Fatalf("%s counts %d, holds %d", name, l.n, n)
		}
	}
	walk("resumes", &o.resumes, stateQueued)
	walk("refused", &o.refused, stateRefused)
	queued, urgent := 0, 0
	for i := range o.groups {
		walk("queue", &o.groups[i].queue, stateQueued)
		queued += o.groups[i].queue.n
	}
	for i := range o.targets {
		t := &o.targets[i]
		walk(t.spec.Name, &t.run, stateRunning, stateMoving)
		urgent += t.urgent
		prefilling, left := 0, 0
		for j := t.run.head; j != none; j = o.gens[j].next {
			if !o.gens[j].started {
				prefilling++
				left += o.gens[j].prefillTokens()
			}
		}
		if prefilling != t.prefilling || left != t.prefillLeft {
			m.t.Fatalf("%s counts %d prefills of %d tokens, has %d of %d", t.spec.Name, t.prefilling, t.prefillLeft, prefilling, left)
		}
	}
	if queued != o.queued || urgent != o.headroom.running {
		m.t.Fatalf("counts %d queued, %d urgent; has %d, %d", o.queued, o.headroom.running, queued, urgent)
	}
	if len(seen) != len(o.byID) || len(o.byID) != len(m.waits)+len(m.runs) {
		m.t.Fatalf("%d rows in lists, %d in the index, %d wait, %d run", len(seen), len(o.byID), len(m.waits), len(m.runs))
	}
}

// Each request must be granted or refused within its limit, and never run twice at once, whichever targets die, leave or
// freeze and whatever is preempted in between. The test draws these events in random order, because faults in the owner's
// tables come from unusual interleavings.
func TestOwnerKeepsInvariantsInRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":  func(*rapid.T) { m.submit() },
			"submit2": func(*rapid.T) { m.submit(); m.submit() },
			"advance": func(*rapid.T) { m.advance() },
			"tick":    func(*rapid.T) { m.tick() },
			"silence": func(t *rapid.T) {
				for range rapid.IntRange(1, 100).Draw(t, "ticks") {
					m.tick()
				}
			},
			"run": func(t *rapid.T) {
				for range rapid.IntRange(1, 50).Draw(t, "ticks") {
					m.advance()
					m.tick()
				}
			},
			"end": func(t *rapid.T) {
				if len(m.order) == 0 {
					return
				}
				id := rapid.SampledFrom(m.order).Draw(t, "gen")
				m.end(id, EndReason(rapid.IntRange(int(EndCompleted), int(EndMoved)).Draw(t, "reason")))
			},
			"late": func(t *rapid.T) {
				if len(m.order) == 0 {
					return
				}
				// End and Progress of an older attempt arrive late.
				id := rapid.SampledFrom(m.order).Draw(t, "gen")
				m.o.End(m.now, id, m.runs[id].attempt-1, 3, EndCompleted)
				m.o.Progress(m.now, id, m.runs[id].attempt-1, 1000)
			},
			"report": func(t *rapid.T) {
				name := modelTarget(rapid.IntRange(0, modelTargets-1).Draw(t, "target"))
				leaving := rapid.IntRange(0, 5).Draw(t, "leaving") == 0
				named := false
				for i := range m.o.targets {
					named = named || m.o.targets[i].spec.Name == name && m.o.targets[i].listed
				}
				m.o.Report(m.now, Report{
					Target:  name,
					Age:     time.Duration(rapid.IntRange(0, 2000).Draw(t, "age")) * time.Millisecond,
					Running: rapid.IntRange(0, 8).Draw(t, "running"),
					KVUsed:  rapid.IntRange(0, 2000).Draw(t, "used"),
					Leaving: leaving,
				})
				i := m.o.byName[name]
				m.closed[name] = !named || leaving || m.o.targets[i].gone
			},
			"gone": func(t *rapid.T) {
				name := modelTarget(rapid.IntRange(0, modelTargets-1).Draw(t, "target"))
				m.o.TargetGone(m.now, name)
				m.closed[name] = true
			},
			"targets": func(t *rapid.T) {
				m.setTargets(rapid.IntRange(1, modelTargets).Draw(t, "n"))
				for i := range m.o.targets {
					r := &m.o.targets[i]
					m.closed[r.spec.Name] = m.closed[r.spec.Name] || r.gone || r.leaving
				}
			},
			"power": func(t *rapid.T) {
				m.watts = float64(rapid.IntRange(1, 40).Draw(t, "watts")) * modelSeqWatts
				m.fallback = m.watts / 2
				m.expiry = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "valid")) * time.Millisecond)
				m.o.SetPower(m.now, m.watts, m.expiry, m.fallback)
			},
		})
	})
}
