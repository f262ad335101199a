package sched

import (
	"math"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/forecast"
)

// place returns the target that generation i should run on, or none. It is the chain filter, score, pick.
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

// How much of the forecast's grid a generation has to fit that can't wait for the whole horizon.
const (
	resumeSteps = 8 // 256 steps
	urgentSteps = 4 // 64 steps
)

// prepare fills the candidate with what is the same for each target.
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
		// It is over before what long outputs may grow to matters.
		c.z, c.steps = 0, urgentSteps
	case c.resumed:
		// Its caller sees it stand still: it comes back as soon as there is room on the mean for some while.
		c.z, c.steps = 0, resumeSteps
	}
	c.warmest = 0
	if o.warmOnly && !c.urgent && !o.behind(gr) && !o.raised(o.now, gr) {
		c.warmest = o.warmest(g)
	}
	if c.spare, c.capped = o.budget(o.now); c.capped {
		c.spare = o.draw().spare(c.spare)
	}
	c.load = forecast.Load{}
	c.load.Add(g.foreseen(), o.curve(g, &c.fixed))
}

// fits runs the filters.
func (o *Owner) fits(now Time, ti int32) bool {
	t := &o.targets[ti]
	return o.open(now, t) &&
		!o.gens[o.cand.gen].avoids(ti) &&
		o.batchRoom(t) &&
		o.warmEnough(t) &&
		o.prefillRoom(t) &&
		o.powerRoom(t) &&
		o.memoryRoom(t)
}

// accepts reports whether a target may get new work at all.
func (o *Owner) accepts(t *target) bool {
	return t.listed && !t.gone && !t.leaving && !t.silent
}

// open filters targets that must not, or can't, take the candidate. A silent target without work is tried now and
// then with one request that is not urgent; the first token it gives opens it again.
func (o *Owner) open(now Time, t *target) bool {
	if t.silent {
		return t.listed && !t.gone && !t.leaving && t.run.n == 0 && now >= t.probe && !o.cand.urgent
	}
	if t.reserved && !o.cand.urgent && o.gens[o.cand.gen].emitted == 0 {
		return false
	}
	return o.accepts(t)
}

// warmest returns the most prompt tokens of g that any target holds.
func (o *Owner) warmest(g *gen) int {
	most := 0
	for i := range o.targets {
		if t := &o.targets[i]; o.accepts(t) {
			most = max(most, o.cachedTokens(t, g))
		}
	}
	return most
}

// warmEnough filters targets that would have to prefill what another target holds, in the first pass of a tick.
func (o *Owner) warmEnough(t *target) bool {
	return o.cand.warmest == 0 || o.cachedTokens(t, &o.gens[o.cand.gen]) >= o.cand.warmest
}

// batchRoom bounds the batch: each further sequence lengthens the step of all. Work that is not urgent leaves the
// headroom free.
func (o *Owner) batchRoom(t *target) bool {
	bound := o.batchBound(t)
	if !o.cand.urgent {
		bound -= o.headroom.slots
	}
	return t.run.n+t.foreign < max(bound, 1)
}

// unknownBatch bounds a target that never told its batch size.
const unknownBatch = 8

func (o *Owner) batchBound(t *target) int {
	if t.maxBatch == 0 {
		return unknownBatch
	}
	return max(int(float64(t.maxBatch)*o.opt.BatchBound), 1)
}

// prefillRoom bounds prompts in prefill beside others: a step that prefills lasts longer for the whole batch.
func (o *Owner) prefillRoom(t *target) bool {
	if o.opt.DisablePrefill || t.prefilling == 0 {
		return true
	}
	g := &o.gens[o.cand.gen]
	return t.prefillLeft+max(o.cand.held-o.cachedTokens(t, g), 1) <= o.opt.PrefillBound
}

// memoryRoom asks the forecast. An empty engine takes whatever fits it now, for nothing else will ever be better.
func (o *Owner) memoryRoom(t *target) bool {
	if t.kvTotal == 0 {
		return true
	}
	if t.run.n+t.foreign == 0 {
		return o.cand.held < t.kvTotal
	}
	capacity := float64(t.kvTotal) * o.opt.MemoryFill
	if !o.cand.urgent {
		capacity -= o.headroom.tokens
	}
	if o.opt.DisableForecast {
		return t.load.Mean[0]+float64(o.cand.held) <= capacity
	}
	if g := &o.gens[o.cand.gen]; g.known > 0 {
		// Nothing is left to chance, so the whole future counts and not the horizon alone.
		return t.foreignKV+t.exact.PeakWith(g.foreseen(), g.known) <= capacity
	}
	return t.load.Fits(&o.cand.load, capacity, o.cand.z, o.cand.steps)
}

// Weights of the score, in seconds.
const (
	memoryCost       = 0.5 // of a target whose memory is foreseen to be full
	batchCost        = 0.5 // of a target whose batch is full
	interferenceCost = 0.1 // of a second by which an urgent prefill delays another generation's token
	failedDomainCost = 1.0 // of a target in a failure domain where an attempt failed
	probeScore       = -1  // of a silent target that is due to be tried: before all others, or it would never be tried
)

// score is the cost of placing the candidate on a target, in seconds: its prefill, the prefill it waits for, and how
// little room it leaves.
func (o *Owner) score(t *target) float64 {
	if t.silent {
		return probeScore
	}
	g := &o.gens[o.cand.gen]
	prefill := float64(max(o.cand.held-o.cachedTokens(t, g), 1)) * o.opt.PrefillSeconds
	waiting := float64(t.prefillLeft) * o.opt.PrefillSeconds
	if o.cand.urgent {
		// What counts is the first token: the step in progress, the prefills before it and its own.
		return prefill + waiting + t.step + interferenceCost*prefill*float64(t.run.n-t.prefilling)
	}
	cost := prefill + waiting + o.domainCost(t, g)
	if t.kvTotal > 0 {
		full := (t.load.Mean[0] + float64(o.cand.held)) / float64(t.kvTotal)
		cost += memoryCost * full
	}
	if t.maxBatch > 0 {
		cost += batchCost * float64(t.run.n+t.foreign+1) / float64(t.maxBatch)
	}
	return cost
}

// domainCost keeps a generation out of the failure domains in which an attempt of it failed: what broke there may be a
// switch or a rack and not one target.
func (o *Owner) domainCost(t *target, g *gen) float64 {
	for _, a := range g.avoid {
		if domain := o.targets[a].spec.FailureDomain; domain != "" && domain == t.spec.FailureDomain {
			return failedDomainCost
		}
	}
	return 0
}

// cachedTokens estimates how many prompt tokens of g the target holds already. Cache events come late and with gaps:
// this is a hint for the score, and the filters bound the load that it can draw.
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
