package owner

import (
	"slices"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/moveplan"
)

// moveTTL is how long a planned move is kept for requests.
const moveTTL = 5 * time.Second

type plannedMove struct {
	moveplan.Step
	at time.Time
}

// Plan plans the moves of all reported runs on engines that leave. Capacity at the destinations is counted once the moves are
// sent to an instance. Runs with a planned move keep it.
func (l *Ledger) Plan(now time.Time, s *Shard, leaving []fleet.Info, link moveplan.Link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ids := make(map[string]bool, len(leaving))
	engines := make([]moveplan.Engine, len(leaving))
	for i, e := range leaving {
		ids[e.ID] = true
		engines[i] = moveplan.Engine{ID: e.ID, Domain: e.Domain, Software: e.Software.ID}
	}
	var destinations []moveplan.Engine
	for _, r := range l.fleet.MoveCandidates(now, s.Service, s.Engines()) {
		if !ids[r.ID] {
			destinations = append(destinations, moveplan.Engine{ID: r.ID, Domain: r.Domain, Free: r.Free, Software: r.Software.ID})
		}
	}
	runs := slices.DeleteFunc(l.runsOn(ids), func(r moveplan.Run) bool {
		_, known := l.moves[r.ID]
		return known
	})
	for _, step := range moveplan.Plan(runs, engines, destinations, link) {
		l.moves[step.Run.ID] = plannedMove{Step: step, at: now}
	}
}

// Moves returns the planned moves of an instance's runs, with their starts relative to now, and reserves capacity at the
// destinations. Runs without a plan are left out.
func (l *Ledger) Moves(now time.Time, s *Shard, instance string, runs []uint64) []moveplan.Step {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.holder(s.Key, instance)
	var out []moveplan.Step
	for _, id := range runs {
		p, ok := l.moves[id]
		if !ok {
			continue
		}
		step := p.Step
		step.Start = max(0, step.Start-now.Sub(p.at))
		out = append(out, step)
		if h != nil && !h.local && step.To != "" {
			l.reserveDestination(now, h, step)
		}
	}
	if h != nil {
		l.publish(now, h)
	}
	return out
}

// reserveDestination counts a run's memory at its destination, once.
func (l *Ledger) reserveDestination(now time.Time, h *holder, step moveplan.Step) {
	for _, g := range h.grants {
		if g.run == step.Run.ID && g.target == step.To {
			return
		}
	}
	l.serial++
	size := step.Run.Tokens + step.Run.Expected
	h.addGrant(now, grant{
		serial: l.serial, run: step.Run.ID, target: step.To, at: now,
		load: fleet.Load{Tokens: size}, size: fleet.Size{Held: step.Run.Tokens, Remaining: step.Run.Expected},
	})
}
