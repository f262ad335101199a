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
	g.maxTok = r.MaxTokens
	g.known = r.KnownTokens
	g.emitted = r.Emitted
	g.tokens = r.Emitted
	g.moves = r.Preemptions
	g.prefixes = r.Prefixes
	g.deadline = r.Deadline
	g.queued = now
	g.heard = now
	g.advanced = now
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

// supersede makes room for a newer attempt of a generation that is already in the tables, or for the news that the
// attempt that waits here was granted by another owner. A repeated Submit of the same attempt changes nothing: two
// grants of one attempt would let two targets run it.
func (o *Owner) supersede(now Time, i int32, r *Request) bool {
	g := &o.gens[i]
	runsElsewhere := r.Attempt == g.attempt && r.RunningOn != "" && g.target == none
	if r.Attempt <= g.attempt && !runsElsewhere {
		return false
	}
	o.take(now, i)
	o.release(i)
	return true
}

// adopt books a generation that already runs, as a new owner is told of it. The target may not be in the settings that
// the owner knows; it then gets a row without new work.
func (o *Owner) adopt(now Time, i int32, name string) {
	t, ok := o.byName[name]
	if !ok {
		t = o.newTarget(now, name)
	}
	o.hold(now, i, t)
	g := &o.gens[i]
	if g.emitted > 0 {
		o.start(g)
	}
}

// enqueue puts a generation into its queue, or refuses it at once when waiting would be in vain.
func (o *Owner) enqueue(now Time, i int32) {
	g := &o.gens[i]
	gr := &o.groups[g.group]
	if g.emitted > 0 {
		g.state = stateQueued
		o.pushBack(&o.resumes, i)
		return
	}
	gr.arrivals.add(now)
	blendMean(&gr.prompt, float64(g.prompt))
	if code := o.hopeless(now, g, gr); code != 0 && g.attempt <= 1 {
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

// minDrainSample is the queue length from which the measured drain rate foretells a wait.
const minDrainSample = 8

// hopeless returns the code for a request that can't be served within its bounds, or 0.
func (o *Owner) hopeless(now Time, g *gen, gr *group) result.Code {
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
	o.heard = now
	i, ok := o.byID[id]
	if !ok {
		return
	}
	g := &o.gens[i]
	if g.attempt != attempt || g.target == none {
		return
	}
	g.heard = now
	if tokens <= g.tokens {
		return
	}
	o.measure(now, g, tokens)
	o.lengths.ObserveProgress(o.groups[g.group].length, g.tokens, tokens)
	g.tokens = tokens
	g.advanced = now
	o.start(g)
	o.targets[g.target].hear(now)
}

// longestGap is the longest time between news of tokens that is taken as usual; a longer one is a fault that passed.
const longestGap = 2 * time.Second

// hear books news of tokens from a target.
func (t *target) hear(now Time) {
	gap := now.Sub(max(t.lastToken, t.idleSince))
	if gap > 0 && gap < longestGap {
		blendMean(&t.gap, gap.Seconds())
	}
	t.lastToken = now
	t.silent = false
}

// measure learns the target's time for a token.
func (o *Owner) measure(now Time, g *gen, tokens int) {
	if !g.started {
		return
	}
	const weight = 0.02
	t := &o.targets[g.target]
	sample := now.Sub(g.advanced).Seconds() / float64(tokens-g.tokens)
	t.step += weight * (sample - t.step)
}

// start books the end of a generation's prefill.
func (o *Owner) start(g *gen) {
	if g.started {
		return
	}
	g.started = true
	t := &o.targets[g.target]
	t.prefilling--
	t.prefillLeft -= g.prefillTokens()
	t.remember(g.prefixes)
}

// maxCachePrefixes bounds the prefixes believed to be held by a target; a snapshot puts them right.
const maxCachePrefixes = 4096

// remember takes the prefixes of a finished prefill as cached, without waiting for the late events.
func (t *target) remember(prefixes []uint64) {
	if len(t.cache) > maxCachePrefixes {
		clear(t.cache)
	}
	for _, p := range prefixes {
		t.cache[p] = struct{}{}
	}
}

// prefillTokens is what its running attempt prefills.
func (g *gen) prefillTokens() int { return max(g.prompt+g.emitted-g.cached, 1) }

// End implements Policy.
func (o *Owner) End(now Time, id ids.Generation, attempt uint32, tokens int, reason EndReason) {
	i, ok := o.byID[id]
	if !ok || o.gens[i].attempt != attempt {
		return
	}
	g := &o.gens[i]
	if g.target != none {
		o.learn(now, g, tokens, reason)
	}
	o.take(now, i)
	o.release(i)
}

// learn updates estimates from an ended attempt.
func (o *Owner) learn(now Time, g *gen, tokens int, reason EndReason) {
	gr := &o.groups[g.group]
	t := &o.targets[g.target]
	total := max(tokens, g.tokens)
	if total > g.tokens {
		t.hear(now)
	}
	if reason != EndCompleted || g.maxTok > 0 && total >= g.maxTok {
		// Cut short: it would have gone on, so nothing is known but that it came this far.
		o.lengths.ObserveProgress(gr.length, g.tokens, total)
	} else {
		o.lengths.ObserveEnd(gr.length, g.tokens, total)
		blendMean(&gr.output, float64(total))
		blendMean(&gr.residence, now.Sub(g.granted).Seconds())
	}
	if reason == EndTargetDied || reason == EndStalled {
		o.suspect(now, t)
	}
	// Charge what it really took in place of what was expected.
	gr.vtime += (float64(g.prompt+total) - g.charged) / gr.policy.Weight
	g.tokens = total
}

// take removes a generation from the list it is in.
func (o *Owner) take(now Time, i int32) {
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
		o.unhold(now, i)
	}
}

// hold books a generation on a target.
func (o *Owner) hold(now Time, i, ti int32) {
	g := &o.gens[i]
	t := &o.targets[ti]
	if t.run.n == 0 {
		t.idleSince = now
	}
	g.state = stateRunning
	g.target = ti
	g.started = false
	g.granted = now
	g.advanced = now
	g.heard = now
	g.cached = o.cachedTokens(t, g)
	o.pushBack(&t.run, i)
	t.prefilling++
	t.prefillLeft += g.prefillTokens()
	if o.groups[g.group].policy.Urgent {
		t.urgent++
		o.headroom.running++
	}
	t.dirty = true
}

// unhold frees a generation's place on its target.
func (o *Owner) unhold(now Time, i int32) {
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

// curve returns the length distribution of a generation.
func (o *Owner) curve(g *gen, scratch *length.Curve) *length.Curve {
	if g.known > 0 {
		*scratch = length.Fixed(g.known)
		return scratch
	}
	if o.opt.DisableLengths {
		return o.unlearnt.Curve(o.unlearnt.Group("", ""))
	}
	return o.lengths.Curve(o.groups[g.group].length)
}
