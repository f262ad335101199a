package gateway

import (
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/moveplan"
	"anvilwick.example/anvilwick/lib/newspb"
	"anvilwick.example/anvilwick/lib/rendezvous"
)

// Changed tells that what runs here has changed, so that peers should hear of it.
func (g *Gateway) Changed() {
	if g.OnChange != nil {
		g.OnChange()
	}
}

// added tells peers at once of what has come to an engine, before others send theirs there.
func (g *Gateway) added(n *newspb.News) {
	if g.OnAdd != nil {
		g.OnAdd(n)
	}
}

// news is the run as moves and peers see it.
func (r *run) news() moveplan.Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.c.prompt + r.made
	return moveplan.Run{
		ID: rendezvous.Hash(r.c.id), From: r.target.ID, Tokens: held, Expected: max(0, r.counted.Tokens-held), Unread: r.made == 0,
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
	return fleet.Size{Now: r.c.prompt + r.made, Left: max(0, r.c.output-r.made)}
}

// sizesOn lists the sizes of this instance's runs and copies on an engine.
func (g *Gateway) sizesOn(target string) []fleet.Size {
	var out []fleet.Size
	for at, runs := range g.runs.all() {
		for _, r := range runs {
			if at == target {
				out = append(out, r.grows())
			}
			if n := r.holds(target); n > 0 {
				out = append(out, fleet.Size{Now: n})
			}
		}
	}
	return out
}

// News lists the runs and open calls of this instance.
func (g *Gateway) News() ([]*newspb.Run, []*newspb.Calls, []*newspb.Held) {
	var runs []*newspb.Run
	engines := make(map[string]bool)
	for target, list := range g.runs.all() {
		for _, r := range list {
			if r.c.engine == nil {
				continue
			}
			engines[target] = true
			runs = append(runs, r.told(target))
		}
	}
	var calls []*newspb.Calls
	for id, load := range g.Fleet.Own() {
		if !engines[id] && load.Runs > 0 && load.Tokens == 0 {
			calls = append(calls, &newspb.Calls{Target: id, Open: uint32(load.Runs)})
		}
	}
	return runs, calls, g.held()
}

// told is the run as it is told to peers.
func (r *run) told(target string) *newspb.Run {
	m := r.news()
	return &newspb.Run{
		Id: m.ID, Target: target, Tokens: uint32(m.Tokens), Expected: uint32(m.Expected), Unread: uint32(r.size().Unread),
		Left: uint32(r.grows().Left), Stays: r.stays(), SilentMs: uint32(time.Since(r.lastHeard()).Milliseconds()),
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
