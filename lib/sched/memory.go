package sched

import (
	"time"

	"anvilwick.example/anvilwick/lib/forecast"
)

// maxLoadAge is how long a forecast is reused while its target is unchanged.
const maxLoadAge = 200 * time.Millisecond

// refreshLoads recomputes the forecasts of targets that changed and those older than maxLoadAge.
func (o *Owner) refreshLoads(now Time) {
	for i := range o.targets {
		t := &o.targets[i]
		if t.dirty || now.Sub(t.loadAt) >= maxLoadAge {
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
	t.load.AddConstant(t.remoteKV)
}

// addLoad adds one running generation to its target's forecast.
func (o *Owner) addLoad(t *target, g *gen) {
	t.load.Add(g.forecastInput(), o.curve(g, &o.scratch))
	if g.knownLength > 0 {
		t.exact.Add(g.forecastInput(), g.knownLength)
	}
}

func (g *gen) forecastInput() forecast.Generation {
	return forecast.Generation{Held: g.held(), Output: max(g.tokens, g.emitted), Max: g.maxTokens}
}

// peakWithinHorizon returns the peak memory that target t is forecast to need within the preemption horizon.
func (o *Owner) peakWithinHorizon(t *target) float64 {
	return max(t.load.Peak(0, o.victimSteps), t.exact.Peak(o.opt.VictimSteps))
}

// preemptBeforeFull moves a generation off each engine that is forecast to run out of memory within a few steps, if
// another engine has capacity. Otherwise the engine would preempt one of its own choice and keep it waiting.
func (o *Owner) preemptBeforeFull(now Time, acts []Action) []Action {
	if o.opt.DisableVictims {
		return acts
	}
	for ti := range o.targets {
		t := &o.targets[ti]
		if t.kvTotal == 0 || t.moving > 0 || o.peakWithinHorizon(t) <= float64(t.kvTotal) {
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

// victim returns the generation with the lowest move cost per token of memory freed. Urgent generations, and those that
// reached their limit of preemptions, are excluded.
func (o *Owner) victim(t *target) int32 {
	best := none
	var bestCost float64
	for i := t.run.head; i != none; i = o.gens[i].next {
		g := &o.gens[i]
		gr := &o.groups[g.group]
		if !o.movable(t, g, gr) {
			continue
		}
		cost := o.moveCost(t, g) / o.freedMemory(g)
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

// moveCost returns the cost of a move: the number of tokens that have to be prefilled again.
func (o *Owner) moveCost(t *target, g *gen) float64 {
	return float64(max(g.held()-o.cachedTokens(t, g), 1))
}

// freedMemory returns the memory in tokens that a move frees over the preemption horizon. A generation with a short expected
// remainder is a poor victim, because it would soon free its memory by itself.
func (o *Owner) freedMemory(g *gen) float64 {
	ahead := o.curve(g, &o.scratch).Mean(g.tokens, g.maxTokens)
	return float64(g.held()) + min(ahead, float64(o.opt.HorizonTokens))
}

// preempt asks the entry to stop generation i and submit the rest. Its batch slot and power stay reserved until the entry
// reports the end of the attempt. Its memory counts as free at once, because the engine frees it before it could admit
// anything granted from now on.
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

// preemptForUrgent frees capacity for an urgent request for which no target has memory or power: it preempts the
// generation with the lowest move cost per token freed over all targets. It returns false if no single victim suffices.
func (o *Owner) preemptForUrgent(now Time, i int32, acts []Action) ([]Action, bool) {
	if o.opt.DisableVictims {
		return acts, false
	}
	starved := o.powerStarved()
	if starved && o.movingTotal() > 0 {
		// A victim's power is released only when its attempt has ended, so victims are preempted one at a time.
		return acts, false
	}
	best := none
	var bestCost float64
	for ti := range o.targets {
		t := &o.targets[ti]
		if !o.eligible(now, t) || o.gens[i].avoids(int32(ti)) {
			continue
		}
		v := o.victim(t)
		if v == none || !starved && !o.freesEnough(t, v) {
			continue
		}
		g := &o.gens[v]
		if cost := o.moveCost(t, g) / o.freedMemory(g); best == none || cost < bestCost {
			best, bestCost = v, cost
		}
	}
	if best == none {
		return acts, false
	}
	o.stats.MovedUrgent++
	return o.preempt(best, acts), true
}

// freesEnough reports whether target t lacks only memory for the candidate and victim v frees enough of it.
func (o *Owner) freesEnough(t *target, v int32) bool {
	if o.fitsMemory(t) || !o.fitsBatch(t) || !o.fitsPrefill(t) {
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
