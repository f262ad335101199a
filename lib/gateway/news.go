package gateway

import (
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/moveplan"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/rendezvous"
)

// notifyOwners tells that what runs here has changed, so that owners should hear of it.
func (g *Gateway) notifyOwners() {
	if g.Owners != nil {
		g.Owners.Changed()
	}
}

// planRun is the run as plans of moves see it.
func (r *run) planRun() moveplan.Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.c.prompt + r.outputTokens
	return moveplan.Run{
		ID: rendezvous.Hash(r.c.id), From: r.target.ID, Tokens: held, Expected: max(0, r.load.Tokens-held), Prefilling: r.outputTokens == 0,
	}
}

// maxStayTokens is the most output that a run which may be repeated is expected to have, in tokens, for it to stay on an
// engine that leaves: a tenth of a second to a second of work, over before the shortest notices (1.5 s).
const maxStayTokens = 100

// staysOnLeaving reports whether the run is left on an engine that leaves. It ends in time, or is repeated elsewhere if it does
// not, and moving it would keep the link from runs that are lost with the engine.
func (r *run) staysOnLeaving() bool { return r.c.route.MayRepeat() && r.c.output <= maxStayTokens }

// kvSize is the run's part of its engine's memory.
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

// ownerRun is the run as it is told to owners.
func (r *run) ownerRun(target string) owner.Run {
	m := r.planRun()
	return owner.Run{
		ID: m.ID, Target: target, Tokens: m.Tokens, Expected: m.Expected, Unread: r.currentLoad().Unread, Left: r.kvSize().Remaining,
		Stays: r.staysOnLeaving(), Silent: time.Since(r.lastContactAt()),
	}
}

// forEach calls visit for each run and its target, which must not change the table.
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
