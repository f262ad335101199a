package sched

import (
	"math"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/forecast"
)

// place returns the target that generation i should run on, or none: it filters the targets and picks the lowest score.
func (o *Owner) place(now Time, i int32) int32 {
	o.prepare(i)
	best := none
	bestScore := math.Inf(1)
	for ti := range o.targets {
		if !o.fits(now, int32(ti)) {
			continue
		}
		if s := o.score(&o.targets[ti]); s < bestScore {
			best, bestScore = int32(ti), s
		}
	}
	return best
}

// Grid steps of the forecast that a generation has to fit when it can't wait until it fits the whole horizon.
const (
	resumeSteps = 8 // 256 steps
	urgentSteps = 4 // 64 steps
)

// prepare fills in the part of the candidate that is the same for all targets.
func (o *Owner) prepare(i int32) {
	g := &o.gens[i]
	gr := &o.groups[g.group]
	c := &o.cand
	c.gen = i
	c.held = g.held()
	c.resumed = max(g.tokens, g.emitted) > 0
	c.urgent = gr.policy.Urgent
	c.z, c.steps = gr.deviation, o.steps
	switch {
	case c.urgent:
		// It ends before the growth of long outputs matters.
		c.z, c.steps = 0, urgentSteps
	case c.resumed:
		// Its caller sees a stalled stream, so it resumes as soon as the mean forecast fits for a shorter horizon.
		c.z, c.steps = 0, resumeSteps
	}
	c.minCached = 0
	if o.warmOnly && !c.urgent && !o.belowShare(gr) && !o.prioritized(o.now, gr) {
		c.minCached = o.maxCachedTokens(g)
	}
	if c.spare, c.capped = o.budget(o.now); c.capped {
		c.spare = o.draw().spare(c.spare)
	}
	c.load = forecast.Load{}
	c.load.Add(g.forecastInput(), o.curve(g, &c.fixed))
}

// fits reports whether the candidate passes all filters for a target.
func (o *Owner) fits(now Time, ti int32) bool {
	t := &o.targets[ti]
	return o.eligible(now, t) &&
		!o.gens[o.cand.gen].avoids(ti) &&
		(!o.cand.resumed || t.spec.Software == o.gens[o.cand.gen].software) &&
		o.fitsBatch(t) &&
		o.fitsCache(t) &&
		o.fitsPrefill(t) &&
		o.fitsPower(t) &&
		o.fitsMemory(t)
}

// acceptsWork reports whether a target may get new work.
func (o *Owner) acceptsWork(t *target) bool {
	return t.listed && !t.gone && !t.leaving && !t.silent
}

// eligible reports whether a target is eligible for the candidate. A silent target that is idle is probed at intervals with one
// request that is not urgent; its first token makes the target eligible again.
func (o *Owner) eligible(now Time, t *target) bool {
	if t.silent {
		return t.listed && !t.gone && !t.leaving && t.run.n == 0 && now >= t.nextProbe && !o.cand.urgent
	}
	if t.reserved && !o.cand.urgent && o.gens[o.cand.gen].emitted == 0 {
		return false
	}
	return o.acceptsWork(t)
}

// mayContinueElsewhere reports whether a target other than its own could continue a generation. One that has tokens is not taken off the last
// target of its software: it could go nowhere.
func (o *Owner) mayContinueElsewhere(t *target, g *gen) bool {
	if !g.started && g.emitted == 0 {
		return true
	}
	if !t.spec.Resumes {
		return false
	}
	for i := range o.targets {
		if other := &o.targets[i]; other != t && o.acceptsWork(other) && other.spec.Software == g.software {
			return true
		}
	}
	return false
}

// maxCachedTokens returns the largest number of prompt tokens of g that any target has cached.
func (o *Owner) maxCachedTokens(g *gen) int {
	most := 0
	for i := range o.targets {
		if t := &o.targets[i]; o.acceptsWork(t) {
			most = max(most, o.cachedTokens(t, g))
		}
	}
	return most
}

// fitsCache excludes targets with fewer cached prompt tokens than the best one, in the first pass of a tick.
func (o *Owner) fitsCache(t *target) bool {
	return o.cand.minCached == 0 || o.cachedTokens(t, &o.gens[o.cand.gen]) >= o.cand.minCached
}

// fitsBatch limits the batch, because each further sequence lengthens the step of all. Non-urgent work leaves the headroom
// free.
func (o *Owner) fitsBatch(t *target) bool {
	bound := o.batchBound(t)
	if !o.cand.urgent {
		bound -= o.headroom.slots
	}
	return t.run.n+t.remote < max(bound, 1)
}

// defaultBatch is the batch limit of a target that has not reported one.
const defaultBatch = 8

func (o *Owner) batchBound(t *target) int {
	if t.maxBatch == 0 {
		return defaultBatch
	}
	return max(int(float64(t.maxBatch)*o.opt.BatchBound), 1)
}

// fitsPrefill limits concurrent prefill, because a step that prefills takes longer for the whole batch.
func (o *Owner) fitsPrefill(t *target) bool {
	if o.opt.DisablePrefill || t.prefilling == 0 {
		return true
	}
	g := &o.gens[o.cand.gen]
	return t.prefillLeft+max(o.cand.held-o.cachedTokens(t, g), 1) <= o.opt.PrefillBound
}

// fitsMemory checks the memory forecast. An empty engine takes whatever fits now: waiting can't improve on that.
func (o *Owner) fitsMemory(t *target) bool {
	if t.kvTotal == 0 {
		return true
	}
	if t.run.n+t.remote == 0 {
		return o.cand.held < t.kvTotal
	}
	capacity := float64(t.kvTotal) * o.opt.MemoryFill
	if !o.cand.urgent {
		capacity -= o.headroom.tokens
	}
	if o.opt.DisableForecast {
		return t.load.Mean[0]+float64(o.cand.held) <= capacity
	}
	if g := &o.gens[o.cand.gen]; g.knownLength > 0 {
		// The length is certain, so the whole future is checked and not the horizon alone.
		return t.remoteKV+t.exact.PeakWith(g.forecastInput(), g.knownLength) <= capacity
	}
	return t.load.Fits(&o.cand.load, capacity, o.cand.z, o.cand.steps)
}

// Weights of the score, in seconds.
const (
	memoryCost       = 0.5 // of a target whose memory is forecast to be full
	batchCost        = 0.5 // of a target whose batch is full
	interferenceCost = 0.1 // per second by which an urgent prefill delays another generation's token
	failedDomainCost = 1.0 // of a target in a failure domain where an attempt failed
	probeScore       = -1  // of a silent target that is due for a probe; below all others, or it would never be probed
)

// score returns the cost of placing the candidate on a target, in seconds: its own prefill, the prefill queued before it,
// and how full the target becomes.
func (o *Owner) score(t *target) float64 {
	if t.silent {
		return probeScore
	}
	g := &o.gens[o.cand.gen]
	prefill := float64(max(o.cand.held-o.cachedTokens(t, g), 1)) * o.opt.PrefillSeconds
	waiting := float64(t.prefillLeft) * o.opt.PrefillSeconds
	if o.cand.urgent {
		// Time to first token: the step in progress, the prefills before it and its own.
		return prefill + waiting + t.stepSeconds + interferenceCost*prefill*float64(t.run.n-t.prefilling)
	}
	cost := prefill + waiting + o.domainCost(t, g)
	if t.kvTotal > 0 {
		full := (t.load.Mean[0] + float64(o.cand.held)) / float64(t.kvTotal)
		cost += memoryCost * full
	}
	if t.maxBatch > 0 {
		cost += batchCost * float64(t.run.n+t.remote+1) / float64(t.maxBatch)
	}
	return cost
}

// domainCost steers a generation away from failure domains in which one of its attempts failed, as the cause may be a
// switch or a rack rather than a single target.
func (o *Owner) domainCost(t *target, g *gen) float64 {
	for _, a := range g.avoid {
		if domain := o.targets[a].spec.FailureDomain; domain != "" && domain == t.spec.FailureDomain {
			return failedDomainCost
		}
	}
	return 0
}

// cachedTokens estimates how many prompt tokens of g are cached on the target. Cache events are delayed and may be lost, so
// this is only a hint for the score; the filters limit the load that it can attract.
func (o *Owner) cachedTokens(t *target, g *gen) int {
	if o.opt.DisableAffinity {
		return 0
	}
	n := len(g.prefixes)
	for k := n - 1; k >= 0; k-- {
		if _, ok := t.cache[g.prefixes[k]]; ok {
			return min(engineapi.PrefixTokens(k), g.prompt)
		}
	}
	return 0
}
