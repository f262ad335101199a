package owner

import (
	"slices"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/moveplan"
)

// stepLife is how long a planned move is told to those who ask for it.
const stepLife = 5 * time.Second

type planned struct {
	moveplan.Step
	at time.Time
}

// Plan plans the moves of all runs that instances have told of on engines which leave. Room at the
// destinations counts from when the moves are told. Runs that are planned already keep their moves.
func (b *Ledger) Plan(now time.Time, s *Shard, leaving []fleet.Info, link moveplan.Link) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ids := make(map[string]bool, len(leaving))
	engines := make([]moveplan.Engine, len(leaving))
	for i, e := range leaving {
		ids[e.ID] = true
		engines[i] = moveplan.Engine{ID: e.ID, Domain: e.Domain}
	}
	var rooms []moveplan.Engine
	for _, r := range b.fleet.MoveCandidates(now, s.Service, s.Engines()) {
		if !ids[r.ID] {
			rooms = append(rooms, moveplan.Engine{ID: r.ID, Domain: r.Domain, Free: r.Free})
		}
	}
	runs := slices.DeleteFunc(b.runs(ids), func(r moveplan.Run) bool {
		_, known := b.steps[r.ID]
		return known
	})
	for _, step := range moveplan.Plan(runs, engines, rooms, link) {
		b.steps[step.Run.ID] = planned{Step: step, at: now}
	}
}

// Moves returns the planned moves of an instance's runs, with their starts from now on, and counts room at the
// destinations for it. A run that is in no plan has none.
func (b *Ledger) Moves(now time.Time, s *Shard, instance string, runs []uint64) []moveplan.Step {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.holder(s.Key, instance)
	var out []moveplan.Step
	for _, id := range runs {
		p, ok := b.steps[id]
		if !ok {
			continue
		}
		step := p.Step
		step.Start = max(0, step.Start-now.Sub(p.at))
		out = append(out, step)
		if h != nil && !h.own && step.To != "" {
			b.reserve(now, h, step)
		}
	}
	if h != nil {
		b.tell(now, h)
	}
	return out
}

// reserve counts a run's room at its destination, once.
func (b *Ledger) reserve(now time.Time, h *holder, step moveplan.Step) {
	for _, g := range h.grants {
		if g.run == step.Run.ID && g.target == step.To {
			return
		}
	}
	b.serial++
	size := step.Run.Tokens + step.Run.Expected
	h.give(now, grant{
		serial: b.serial, run: step.Run.ID, target: step.To, at: now,
		load: fleet.Load{Tokens: size}, size: fleet.Size{Held: step.Run.Tokens, Remaining: step.Run.Expected},
	})
}
