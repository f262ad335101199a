package sched

import (
	"time"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/length"
	"anvilwick.example/anvilwick/lib/result"
)

// Submit implements Policy.
func (o *Owner) Submit(now Time, r Request) {
	if i, ok := o.byID[r.Gen]; ok {
		if !o.supersede(now, i, &r) {
			return
		}
	}
	i := o.alloc(r.Gen)
	g := &o.gens[i]
	g.group = o.groupOf(r.Workspace, r.Class)
	g.attempt = r.Attempt
	g.prompt = r.PromptTokens
	g.maxTokens = r.MaxTokens
	g.knownLength = r.KnownTokens
	g.emitted = r.Emitted
	g.tokens = r.Emitted
	g.moves = r.Preemptions
	g.software = r.Software
	g.prefixes = r.Prefixes
	g.deadline = r.Deadline
	g.queued = now
	g.lastUpdate = now
	g.lastProgress = now
	for _, name := range r.Avoid {
		if t, ok := o.byName[name]; ok {
			g.avoid = append(g.avoid, t)
		}
	}
	if r.RunningOn != "" {
		o.adopt(now, i, r.RunningOn)
		return
	}
	o.enqueue(now, i)
}

// supersede removes the existing row of a generation when r is a newer attempt, or when r reports that the queued attempt
// was granted by another owner. It returns false for a repeated Submit of the same attempt, which must change nothing: two
// grants of one attempt would let two targets run it.
func (o *Owner) supersede(now Time, i int32, r *Request) bool {
	g := &o.gens[i]
	runsElsewhere := r.Attempt == g.attempt && r.RunningOn != "" && g.target == none
	if r.Attempt <= g.attempt && !runsElsewhere {
		return false
	}
	o.detach(now, i)
	o.release(i)
	return true
}

// adopt records a generation that already runs, as reported to a new owner. A target that is missing from the owner's
// settings gets a row that accepts no new work.
func (o *Owner) adopt(now Time, i int32, name string) {
	t, ok := o.byName[name]
	if !ok {
		t = o.newTarget(now, name)
	}
	o.assign(now, i, t)
	g := &o.gens[i]
	if g.emitted > 0 {
		o.start(g)
	}
}

// enqueue adds a generation to its queue, or refuses it at once if it could not be served within its limits.
func (o *Owner) enqueue(now Time, i int32) {
	g := &o.gens[i]
	gr := &o.groups[g.group]
	if g.emitted > 0 {
		g.state = stateQueued
		o.pushBack(&o.resumes, i)
		return
	}
	gr.arrivals.add(now)
	updateMean(&gr.prompt, float64(g.prompt))
	if code := o.refusalCode(now, g, gr); code != 0 && g.attempt <= 1 {
		o.refuse(i, code)
		return
	}
	if gr.queue.n == 0 {
		gr.vtime = max(gr.vtime, o.virtualTime)
	}
	g.state = stateQueued
	o.pushBack(&gr.queue, i)
	o.queued++
}

// minDrainSample is the queue length from which the measured drain rate is used to predict the wait.
const minDrainSample = 8

// refusalCode returns the refusal code for a request that can't be served within its limits, or 0.
func (o *Owner) refusalCode(now Time, g *gen, gr *group) result.Code {
	p := &gr.policy
	if p.QueueBound > 0 && gr.queue.n >= p.QueueBound {
		return result.QueueFull
	}
	if g.deadline > 0 && g.deadline <= now {
		return result.DeadlineTooNear
	}
	if gr.queue.n >= minDrainSample && gr.expectedWait(now) > p.MaxWait {
		return result.QueueFull
	}
	return 0
}

// refuse marks a generation that is in no list for refusal in the next tick.
func (o *Owner) refuse(i int32, code result.Code) {
	g := &o.gens[i]
	g.state = stateRefused
	g.refuse = code
	o.pushBack(&o.refused, i)
}

// Progress implements Policy.
func (o *Owner) Progress(now Time, id ids.Generation, attempt uint32, tokens int) {
	o.lastProgress = now
	i, ok := o.byID[id]
	if !ok {
		return
	}
	g := &o.gens[i]
	if g.attempt != attempt || g.target == none {
		return
	}
	g.lastUpdate = now
	if tokens <= g.tokens {
		return
	}
	o.updateStep(now, g, tokens)
	o.lengths.ObserveProgress(o.groups[g.group].length, g.tokens, tokens)
	g.tokens = tokens
	g.lastProgress = now
	o.start(g)
	o.targets[g.target].recordTokens(now)
}

// maxTokenGap is the longest gap between token updates that enters the mean; a longer gap is a fault that has passed.
const maxTokenGap = 2 * time.Second

// recordTokens records a token update from a target.
func (t *target) recordTokens(now Time) {
	gap := now.Sub(max(t.lastToken, t.idleSince))
	if gap > 0 && gap < maxTokenGap {
		updateMean(&t.tokenGap, gap.Seconds())
	}
	t.lastToken = now
	t.silent = false
}

// updateStep updates the target's time per token.
func (o *Owner) updateStep(now Time, g *gen, tokens int) {
	if !g.started {
		return
	}
	const weight = 0.02
	t := &o.targets[g.target]
	sample := now.Sub(g.lastProgress).Seconds() / float64(tokens-g.tokens)
	t.stepSeconds += weight * (sample - t.stepSeconds)
}

// start records that a generation's prefill has finished.
func (o *Owner) start(g *gen) {
	if g.started {
		return
	}
	g.started = true
	t := &o.targets[g.target]
	t.prefilling--
	t.prefillLeft -= g.prefillTokens()
	t.addCached(g.prefixes)
}

// maxCachePrefixes limits the prefixes assumed to be cached on a target; a snapshot corrects them.
const maxCachePrefixes = 4096

// addCached records the prefixes of a finished prefill as cached, without waiting for the target's delayed cache events.
func (t *target) addCached(prefixes []uint64) {
	if len(t.cache) > maxCachePrefixes {
		clear(t.cache)
	}
	for _, p := range prefixes {
		t.cache[p] = struct{}{}
	}
}

// prefillTokens returns the number of tokens that the running attempt prefills.
func (g *gen) prefillTokens() int { return max(g.prompt+g.emitted-g.cached, 1) }

// End implements Policy.
func (o *Owner) End(now Time, id ids.Generation, attempt uint32, tokens int, reason EndReason) {
	i, ok := o.byID[id]
	if !ok || o.gens[i].attempt != attempt {
		return
	}
	g := &o.gens[i]
	if g.target != none {
		o.updateEstimates(now, g, tokens, reason)
	}
	o.detach(now, i)
	o.release(i)
}

// updateEstimates updates estimates from an ended attempt.
func (o *Owner) updateEstimates(now Time, g *gen, tokens int, reason EndReason) {
	gr := &o.groups[g.group]
	t := &o.targets[g.target]
	total := max(tokens, g.tokens)
	if total > g.tokens {
		t.recordTokens(now)
	}
	if reason != EndCompleted || g.maxTokens > 0 && total >= g.maxTokens {
		// Truncated: it would have continued, so only the length reached is known.
		o.lengths.ObserveProgress(gr.length, g.tokens, total)
	} else {
		o.lengths.ObserveEnd(gr.length, g.tokens, total)
		updateMean(&gr.output, float64(total))
		updateMean(&gr.residence, now.Sub(g.granted).Seconds())
	}
	if reason == EndTargetDied || reason == EndStalled {
		o.markSilent(now, t)
	}
	// Replace the expected work charged at the grant by the actual work.
	gr.vtime += (float64(g.prompt+total) - g.charged) / gr.policy.Weight
	g.tokens = total
}

// detach removes a generation from the list it is in.
func (o *Owner) detach(now Time, i int32) {
	g := &o.gens[i]
	switch g.state {
	case stateQueued:
		if g.emitted > 0 {
			o.remove(&o.resumes, i)
			break
		}
		gr := &o.groups[g.group]
		o.remove(&gr.queue, i)
		o.queued--
		if gr.queue.n == 0 {
			gr.drain.backlogged = false
		}
	case stateRefused:
		o.remove(&o.refused, i)
	case stateRunning, stateMoving:
		o.unassign(now, i)
	}
}

// assign assigns a generation to a target.
func (o *Owner) assign(now Time, i, ti int32) {
	g := &o.gens[i]
	t := &o.targets[ti]
	if t.run.n == 0 {
		t.idleSince = now
	}
	g.state = stateRunning
	g.target = ti
	g.started = false
	g.granted = now
	g.lastProgress = now
	g.lastUpdate = now
	g.cached = o.cachedTokens(t, g)
	if g.emitted == 0 {
		g.software = t.spec.Software
	}
	o.pushBack(&t.run, i)
	t.prefilling++
	t.prefillLeft += g.prefillTokens()
	if o.groups[g.group].policy.Urgent {
		t.urgent++
		o.headroom.running++
	}
	t.dirty = true
}

// unassign releases a generation's capacity on its target.
func (o *Owner) unassign(now Time, i int32) {
	g := &o.gens[i]
	t := &o.targets[g.target]
	o.remove(&t.run, i)
	if !g.started {
		t.prefilling--
		t.prefillLeft -= g.prefillTokens()
	}
	if o.groups[g.group].policy.Urgent {
		t.urgent--
		o.headroom.running--
	}
	if g.state == stateMoving {
		t.moving--
	}
	held := 0
	if g.started {
		held = g.held()
	}
	t.ends.add(endItem{granted: g.granted, ended: now, held: held})
	t.dirty = true
	g.target = none
}

// curve returns the output length distribution of a generation.
func (o *Owner) curve(g *gen, scratch *length.Curve) *length.Curve {
	if g.knownLength > 0 {
		*scratch = length.Fixed(g.knownLength)
		return scratch
	}
	if o.opt.DisableLengths {
		return o.priorLengths.Curve(o.priorLengths.Group("", ""))
	}
	return o.lengths.Curve(o.groups[g.group].length)
}
