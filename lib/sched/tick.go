package sched

import (
	"math"
	"time"

	"anvilwick.example/anvilwick/lib/result"
)

const (
	// maintenanceInterval is the minimum interval between maintenance runs, which scan whole tables. Tick itself may be called
	// after every event, so that an urgent request does not wait for the next period.
	maintenanceInterval = 20 * time.Millisecond
	// maxGrants limits the work of one tick.
	maxGrants = 256
	// sweepRows is the number of rows that each maintenance run checks for stale generations.
	sweepRows = 256

	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Minute
)

// Tick implements Policy: it runs maintenance when due, expires queued requests and admits new ones.
func (o *Owner) Tick(now Time, acts []Action) []Action {
	o.now = now
	if !o.maintainedOnce || now.Sub(o.lastMaintenance) >= maintenanceInterval {
		o.maintainedOnce = true
		o.lastMaintenance = now
		o.removeStale(now)
		o.detectSilence(now)
		o.refreshLoads(now)
		o.sizeHeadroom(now)
		acts = o.evacuate(now, acts)
		acts = o.shedPower(now, acts)
		acts = o.preemptBeforeFull(now, acts)
	}
	o.expire(now)
	acts = o.emitRefusals(now, acts)
	return o.admit(now, acts)
}

// removeStale removes generations that received no update for Options.StaleAfter, because their entry died: they would occupy
// their targets for ever. A generation that is still alive is reported again by its entry, and adopted.
func (o *Owner) removeStale(now Time) {
	for range min(sweepRows, len(o.gens)) {
		if int(o.sweepCursor) >= len(o.gens) {
			o.sweepCursor = 0
		}
		i := o.sweepCursor
		o.sweepCursor++
		g := &o.gens[i]
		if g.target == none || g.state == stateFree || now.Sub(g.lastUpdate) < o.opt.StaleAfter {
			continue
		}
		o.detach(now, i)
		o.release(i)
	}
}

// expire refuses requests that waited up to their limit or passed their deadline. Queues are first in, first out, so their
// heads are the oldest.
func (o *Owner) expire(now Time) {
	for gi := range o.groups {
		gr := &o.groups[gi]
		for gr.queue.head != none {
			i := gr.queue.head
			g := &o.gens[i]
			code := o.expiryCode(now, g, gr)
			if code == 0 {
				break
			}
			o.detach(now, i)
			o.refuse(i, code)
		}
	}
	for i := o.resumes.head; i != none; {
		g := &o.gens[i]
		next := g.next
		if code := o.resumeExpiryCode(now, g); code != 0 {
			o.detach(now, i)
			o.refuse(i, code)
		}
		i = next
	}
}

// resumeExpiryCode returns the code for a generation that can't be resumed any more, or 0. As long as a target may still take it,
// it is kept until its deadline, because its caller already holds a part of the output.
func (o *Owner) resumeExpiryCode(now Time, g *gen) result.Code {
	switch {
	case g.deadline > 0 && now >= g.deadline:
		return result.DeadlinePassed
	case o.usable == 0 && now.Sub(g.queued) >= o.groups[g.group].policy.MaxWait:
		return result.NoTarget
	case o.usable > 0 && o.fitsNoTarget(g):
		return result.NoTarget
	}
	return 0
}

// fitsNoTarget reports whether g fits on none of the targets that accept work.
func (o *Owner) fitsNoTarget(g *gen) bool {
	for i := range o.targets {
		t := &o.targets[i]
		if o.acceptsWork(t) && (t.kvTotal == 0 || g.held() < t.kvTotal) {
			return false
		}
	}
	return true
}

func (o *Owner) expiryCode(now Time, g *gen, gr *group) result.Code {
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

// emitRefusals appends an action for each refused generation and empties the list.
func (o *Owner) emitRefusals(now Time, acts []Action) []Action {
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

// expectedWait returns the predicted wait of a request that joins the queue of gr now; 0 without an estimate.
func (gr *group) expectedWait(now Time) time.Duration {
	seconds := gr.drain.waitSeconds(now, gr.queue.n+1)
	return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second))
}

// retryAfter returns the predicted time until the queue of gr has drained, rounded up to whole seconds.
func retryAfter(now Time, gr *group) time.Duration {
	wait := gr.expectedWait(now)
	if wait <= 0 {
		wait = gr.policy.MaxWait / 2
	}
	wait = (wait + time.Second - 1).Truncate(time.Second)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
