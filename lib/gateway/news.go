package gateway

import (
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/moveplan"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/rendezvous"
)

// changed tells that what runs here has changed, so that owners should hear of it.
func (g *Gateway) changed() {
	if g.Owners != nil {
		g.Owners.ScheduleReport()
	}
}

// moving is the run as plans of moves see it.
func (r *run) moving() moveplan.Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.c.prompt + r.made
	return moveplan.Run{
		ID: rendezvous.Hash(r.c.id), From: r.target.ID, Tokens: held, Expected: max(0, r.counted.Tokens-held), Prefilling: r.made == 0,
	}
}

// staysTokens is the most output that a run which may be repeated is expected to have, in tokens, for it to stay on an
// engine that leaves: a tenth of a second to a second of work, over before the shortest notices (1.5 s).
const staysTokens = 100

// stays reports whether the run is left on an engine that leaves. It ends in time, or is repeated elsewhere if it does
// not, and moving it would keep the link from runs that are lost with the engine.
func (r *run) stays() bool { return r.c.route.MayRepeat() && r.c.output <= staysTokens }

// grows is the run's part of its engine's memory.
func (r *run) grows() fleet.Size {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fleet.Size{Held: r.c.prompt + r.made, Remaining: max(0, r.c.output-r.made)}
}

// sizesOn lists the sizes of this instance's runs and copies on an engine.
func (g *Gateway) sizesOn(target string) []fleet.Size {
	var out []fleet.Size
	g.runs.each(func(at string, r *run) {
		if at == target {
			out = append(out, r.grows())
		}
		if n := r.holds(target); n > 0 {
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
				out = append(out, r.told(target))
			}
		}
	}
	return out
}

// told is the run as it is told to owners.
func (r *run) told(target string) owner.Run {
	m := r.moving()
	return owner.Run{
		ID: m.ID, Target: target, Tokens: m.Tokens, Expected: m.Expected, Unread: r.size().Unread, Remaining: r.grows().Remaining,
		Pinned: r.stays(), SinceContact: time.Since(r.lastHeard()),
	}
}

// each calls visit for each run and its target, which must not change the table.
func (t *runTable) each(visit func(target string, r *run)) {
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
