package gateway

import (
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/moveplan"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/rendezvous"
)

// notifyOwners schedules a report to the owners after a change of this instance's runs or reservations.
func (g *Gateway) notifyOwners() {
	if g.Owners != nil {
		g.Owners.ScheduleReport()
	}
}

// planRun describes the run for the planning of moves.
func (r *run) planRun() moveplan.Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.c.prompt + r.outputTokens
	return moveplan.Run{
		ID: rendezvous.Hash(r.c.id), From: r.target.ID, Tokens: held, Expected: max(0, r.load.Tokens-held), Prefilling: r.outputTokens == 0,
	}
}

// maxStayTokens is the expected output, in tokens, up to which a repeatable run is left on an engine that is leaving. It
// amounts to a tenth of a second up to a second of work, less than the shortest termination notice (1.5 s).
const maxStayTokens = 100

// staysOnLeaving reports whether the run is left on an engine that is leaving. It ends in time or is repeated elsewhere, and
// moving it would take link capacity from runs that are lost with the engine.
func (r *run) staysOnLeaving() bool { return r.c.route.MayRepeat() && r.c.output <= maxStayTokens }

// kvSize returns the memory that the run holds on its engine and is expected to add.
func (r *run) kvSize() fleet.Size {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fleet.Size{Held: r.c.prompt + r.outputTokens, Remaining: max(0, r.c.output-r.outputTokens)}
}

// sizesOn lists the sizes of this instance's runs and copies on an engine.
func (g *Gateway) sizesOn(target string) []fleet.Size {
	var out []fleet.Size
	g.runs.forEach(func(at string, r *run) {
		if at == target {
			out = append(out, r.kvSize())
		}
		if n := r.heldTokens(target); n > 0 {
			out = append(out, fleet.Size{Held: n})
		}
	})
	return out
}

// Runs lists this instance's runs on engines.
func (g *Gateway) Runs() []owner.Run {
	var out []owner.Run
	for target, list := range g.runs.all() {
		for _, r := range list {
			if r.c.engine != nil {
				out = append(out, r.ownerRun(target))
			}
		}
	}
	return out
}

// ownerRun describes the run for reports to owners.
func (r *run) ownerRun(target string) owner.Run {
	m := r.planRun()
	return owner.Run{
		ID: m.ID, Target: target, Tokens: m.Tokens, Expected: m.Expected, Unread: r.currentLoad().Unread, Remaining: r.kvSize().Remaining,
		Pinned: r.staysOnLeaving(), SinceContact: time.Since(r.lastContactAt()),
	}
}

// forEach calls visit for each run and its target. visit must not change the table.
func (t *runTable) forEach(visit func(target string, r *run)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for target, runs := range t.runs {
		for r := range runs {
			visit(target, r)
		}
	}
}

// all returns the runs by target.
func (t *runTable) all() map[string][]*run {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string][]*run, len(t.runs))
	for target, runs := range t.runs {
		for r := range runs {
			out[target] = append(out[target], r)
		}
	}
	return out
}
