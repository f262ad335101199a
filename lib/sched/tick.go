package sched

import (
	"math"
	"time"

	"anvilwick.example/anvilwick/lib/result"
)

const (
	// maintainEvery bounds how often the systems that walk whole tables run; Tick itself may be called after every
	// event, so that an urgent request does not wait for the next period.
	maintainEvery = 20 * time.Millisecond
	// maxGrants bounds the work of one tick.
	maxGrants = 256
	// sweepRows is how many rows each maintenance looks at for what nobody speaks of any more.
	sweepRows = 256

	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Minute
)

// Tick implements Policy: it runs the systems in their order.
func (o *Owner) Tick(now Time, acts []Action) []Action {
	o.now = now
	if !o.started || now.Sub(o.maintained) >= maintainEvery {
		o.started = true
		o.maintained = now
		o.sweep(now)
		o.watch(now)
		o.refreshLoads(now)
		o.sizeHeadroom(now)
		acts = o.evacuate(now, acts)
		acts = o.shedPower(now, acts)
		acts = o.preemptBeforeFull(now, acts)
	}
	o.expire(now)
	acts = o.answerRefused(now, acts)
	return o.admit(now, acts)
}

// sweep forgets generations whose entry died without a word: they would hold their places for ever. A generation
// that is alive after all is told of again by its entry, and adopted.
func (o *Owner) sweep(now Time) {
	for range min(sweepRows, len(o.gens)) {
		if int(o.sweepAt) >= len(o.gens) {
			o.sweepAt = 0
		}
		i := o.sweepAt
		o.sweepAt++
		g := &o.gens[i]
		if g.target == none || g.state == stateFree || now.Sub(g.heard) < o.opt.ForgetAfter {
			continue
		}
		o.take(now, i)
		o.release(i)
	}
}

// expire refuses what has waited to its bound, or past its deadline. Queues are first in, first out, so their heads
// are the oldest.
func (o *Owner) expire(now Time) {
	for gi := range o.groups {
		gr := &o.groups[gi]
		for gr.queue.head != none {
			i := gr.queue.head
			g := &o.gens[i]
			code := o.overdue(now, g, gr)
			if code == 0 {
				break
			}
			o.take(now, i)
			o.refuse(i, code)
		}
	}
	for i := o.resumes.head; i != none; {
		g := &o.gens[i]
		next := g.next
		if code := o.resumeLost(now, g); code != 0 {
			o.take(now, i)
			o.refuse(i, code)
		}
		i = next
	}
}

// resumeLost returns the code for a generation that can't be resumed any more, or 0. While a target may yet take it, it
// is not given up before its deadline: its caller holds a part of the answer.
func (o *Owner) resumeLost(now Time, g *gen) result.Code {
	switch {
	case g.deadline > 0 && now >= g.deadline:
		return result.DeadlinePassed
	case o.usable == 0 && now.Sub(g.queued) >= o.groups[g.group].policy.MaxWait:
		return result.NoTarget
	case o.usable > 0 && o.fitsNone(g):
		return result.NoTarget
	}
	return 0
}

// fitsNone reports whether every target that accepts work is too small for g.
func (o *Owner) fitsNone(g *gen) bool {
	for i := range o.targets {
		t := &o.targets[i]
		if o.accepts(t) && (t.kvTotal == 0 || g.held() < t.kvTotal) {
			return false
		}
	}
	return true
}

func (o *Owner) overdue(now Time, g *gen, gr *group) result.Code {
	switch {
	case g.deadline > 0 && now >= g.deadline:
		return result.DeadlineTooNear
	case now.Sub(g.queued) < gr.policy.MaxWait:
		return 0
	case o.powerBound:
		return result.PowerCap
	case o.usable == 0:
		return result.NoTarget
	}
	return result.QueueFull
}

// answerRefused empties the list of refusals.
func (o *Owner) answerRefused(now Time, acts []Action) []Action {
	for o.refused.head != none {
		i := o.refused.head
		g := &o.gens[i]
		o.stats.Refusals++
		acts = append(acts, Action{
			Kind:       ActRefuse,
			Gen:        g.id,
			Attempt:    g.attempt,
			Code:       g.refuse,
			RetryAfter: retryAfter(now, &o.groups[g.group]),
		})
		o.remove(&o.refused, i)
		o.release(i)
	}
	return acts
}

// expectedWait is how long a request that joined the queue of gr now would wait; 0 while nobody knows.
func (gr *group) expectedWait(now Time) time.Duration {
	seconds := gr.drain.seconds(now, gr.queue.n+1)
	return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second))
}

// retryAfter is when the queue of gr will have drained, rounded up to whole seconds.
func retryAfter(now Time, gr *group) time.Duration {
	wait := gr.expectedWait(now)
	if wait <= 0 {
		wait = gr.policy.MaxWait / 2
	}
	wait = (wait + time.Second - 1).Truncate(time.Second)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
