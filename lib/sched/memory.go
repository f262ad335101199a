package sched

import (
	"time"

	"anvilwick.example/anvilwick/lib/forecast"
)

// loadAge is how long a forecast stands without a change on its target.
const loadAge = 200 * time.Millisecond

// refreshLoads renews the forecasts of targets that changed, or that are old.
func (o *Owner) refreshLoads(now Time) {
	for i := range o.targets {
		t := &o.targets[i]
		if t.dirty || now.Sub(t.loadAt) >= loadAge {
			o.refreshLoad(now, t)
		}
	}
}

func (o *Owner) refreshLoad(now Time, t *target) {
	t.load = forecast.Load{}
	t.exact.Reset()
	t.dirty = false
	t.loadAt = now
	for i := t.run.head; i != none; i = o.gens[i].next {
		if o.gens[i].state == stateRunning {
			o.addLoad(t, &o.gens[i])
		}
	}
	t.load.AddConstant(t.foreignKV)
}

// addLoad adds one running generation to its target's forecast.
func (o *Owner) addLoad(t *target, g *gen) {
	t.load.Add(g.foreseen(), o.curve(g, &o.scratch))
	if g.known > 0 {
		t.exact.Add(g.foreseen(), g.known)
	}
}

func (g *gen) foreseen() forecast.Generation {
	return forecast.Generation{Held: g.held(), Output: max(g.tokens, g.emitted), Max: g.maxTok}
}

// peakSoon is the memory that target t is foreseen to need within the victims' horizon.
func (o *Owner) peakSoon(t *target) float64 {
	return max(t.load.Peak(0, o.victimSteps), t.exact.Peak(o.opt.VictimSteps))
}

// preemptBeforeFull moves generations off engines that would run out of memory within a few steps, where another
// engine has room. The engine would stop one of them anyway, of its own choice, and keep it waiting.
func (o *Owner) preemptBeforeFull(now Time, acts []Action) []Action {
	if o.opt.DisableVictims {
		return acts
	}
	for ti := range o.targets {
		t := &o.targets[ti]
		if t.kvTotal == 0 || t.moving > 0 || o.peakSoon(t) <= float64(t.kvTotal) {
			continue
		}
		v := o.victim(t)
		if v == none || o.place(now, v) == none {
			continue
		}
		o.stats.MovedFull++
		acts = o.preempt(v, acts)
	}
	return acts
}

// victim picks the generation with the least lost work for each token of memory it would free. None is moved more
// often than its policy allows, and urgent work is left alone.
func (o *Owner) victim(t *target) int32 {
	best := none
	var bestCost float64
	for i := t.run.head; i != none; i = o.gens[i].next {
		g := &o.gens[i]
		gr := &o.groups[g.group]
		if !o.movable(t, g, gr) {
			continue
		}
		cost := o.lostWork(t, g) / o.freed(g)
		if best == none || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

func (o *Owner) movable(t *target, g *gen, gr *group) bool {
	return g.state == stateRunning &&
		!gr.policy.Urgent &&
		g.moves < gr.policy.MaxPreemptions &&
		(t.spec.Resumes || !g.started)
}

// lostWork is what a move costs, in tokens to prefill again; a shorter rest counts for more, for it would soon have
// freed its memory by itself.
func (o *Owner) lostWork(t *target, g *gen) float64 {
	return float64(max(g.held()-o.cachedTokens(t, g), 1))
}

// freed is the memory that a move frees over the victim horizon, in tokens.
func (o *Owner) freed(g *gen) float64 {
	ahead := o.curve(g, &o.scratch).Mean(g.tokens, g.maxTok)
	return float64(g.held()) + min(ahead, float64(o.opt.HorizonTokens))
}

// preempt asks the entry to stop generation i and submit its rest. Its place in the batch and its power count as taken
// until the entry says that the attempt has ended; its memory counts as free at once, for the engine frees it before
// it could take in what is granted from now on.
func (o *Owner) preempt(i int32, acts []Action) []Action {
	g := &o.gens[i]
	t := &o.targets[g.target]
	g.state = stateMoving
	t.moving++
	o.refreshLoad(o.now, t)
	return append(acts, Action{
		Kind:    ActPreempt,
		Gen:     g.id,
		Attempt: g.attempt,
		Target:  t.spec.Name,
	})
}

// preemptForUrgent makes room for an urgent request that no target has memory or power for: it moves the victim, over
// all targets, with the least lost work for each token freed. It reports false when no single victim would do.
func (o *Owner) preemptForUrgent(now Time, i int32, acts []Action) ([]Action, bool) {
	if o.opt.DisableVictims {
		return acts, false
	}
	starved := o.powerStarved()
	if starved && o.movingTotal() > 0 {
		// The power of a victim is free only when its attempt has ended: one at a time.
		return acts, false
	}
	best := none
	var bestCost float64
	for ti := range o.targets {
		t := &o.targets[ti]
		if !o.open(now, t) || o.gens[i].avoids(int32(ti)) {
			continue
		}
		v := o.victim(t)
		if v == none || !starved && !o.relieves(t, v) {
			continue
		}
		g := &o.gens[v]
		if cost := o.lostWork(t, g) / o.freed(g); best == none || cost < bestCost {
			best, bestCost = v, cost
		}
	}
	if best == none {
		return acts, false
	}
	o.stats.MovedUrgent++
	return o.preempt(best, acts), true
}

// relieves reports whether memory alone keeps the candidate out of target t, and that of victim v is enough.
func (o *Owner) relieves(t *target, v int32) bool {
	if o.memoryRoom(t) || !o.batchRoom(t) || !o.prefillRoom(t) {
		return false
	}
	over := t.load.Mean[0] + float64(o.cand.held) - float64(t.kvTotal)*o.opt.MemoryFill
	return over <= float64(o.gens[v].held())
}

func (o *Owner) movingTotal() int {
	n := 0
	for i := range o.targets {
		n += o.targets[i].moving
	}
	return n
}
