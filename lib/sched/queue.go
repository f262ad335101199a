package sched

import "math"

// Levels order groups before their shares; the priority of the class is added.
const (
	levelAged   = 1 << 16
	levelUrgent = 1 << 20
)

// maxResumeTries limits the resumes tried in one tick.
const maxResumeTries = 16

// admit grants capacity in this order: urgent work; generations that already produced tokens, whose callers see every
// second of waiting as a stall; the other groups by level and share. Among the groups at the highest level, a request goes
// first to a target that holds its prefix: when engines are full, capacity frees up one slot at a time, and prefilling an
// uncached prompt there would slow down the whole batch.
func (o *Owner) admit(now Time, acts []Action) []Action {
	if o.resumes.n == 0 && o.queued == 0 {
		return acts
	}
	o.clearReservations()
	acts = o.admitGroups(now, levelUrgent, acts)
	acts = o.admitResumes(now, acts)
	if !o.opt.DisableAffinity {
		o.warmOnly = true
		acts = o.admitGroups(now, o.topLevel(now), acts)
		o.warmOnly = false
		o.unblock()
	}
	return o.admitGroups(now, math.MinInt, acts)
}

// topLevel returns the highest level of any group with queued requests.
func (o *Owner) topLevel(now Time) int {
	top := math.MinInt
	for i := range o.groups {
		if gr := &o.groups[i]; gr.queue.n > 0 {
			top = max(top, o.level(now, gr))
		}
	}
	return top
}

// admitGroups serves the groups at or above a level until none has a request that fits.
func (o *Owner) admitGroups(now Time, least int, acts []Action) []Action {
	for range maxGrants {
		gi := o.nextGroup(now, least)
		if gi == none {
			return acts
		}
		var ok bool
		if acts, ok = o.admitFrom(now, gi, acts); !ok {
			o.groups[gi].blocked = true
		}
	}
	return acts
}

func (o *Owner) clearReservations() {
	for i := range o.targets {
		o.targets[i].reserved = false
	}
	o.unblock()
}

func (o *Owner) unblock() {
	for i := range o.groups {
		o.groups[i].blocked = false
	}
}

func (o *Owner) admitResumes(now Time, acts []Action) []Action {
	tries := 0
	for i := o.resumes.head; i != none && tries < maxResumeTries; tries++ {
		next := o.gens[i].next
		if t := o.place(now, i); t != none {
			acts = o.grant(now, i, t, acts)
		} else {
			o.reserveTarget(i)
		}
		i = next
	}
	return acts
}

// admitFrom grants the head of a queue, or one of the Options.Backfill requests behind it.
func (o *Owner) admitFrom(now Time, gi int32, acts []Action) ([]Action, bool) {
	gr := &o.groups[gi]
	aged := o.prioritized(now, gr)
	i := gr.queue.head
	for tries := 0; i != none && tries <= o.opt.Backfill; tries++ {
		if t := o.place(now, i); t != none {
			return o.grant(now, i, t, acts), true
		}
		if gr.policy.Urgent && tries == 0 && now.Sub(o.gens[i].queued) >= o.opt.UrgentPreemptAfter {
			var ok bool
			if acts, ok = o.preemptForUrgent(now, i, acts); ok {
				continue
			}
		}
		if aged && tries == 0 && !o.warmOnly {
			o.reserveTarget(i)
		}
		i = o.gens[i].next
	}
	return acts, false
}

// nextGroup returns the group to serve next: highest level first, then lowest virtual time.
func (o *Owner) nextGroup(now Time, least int) int32 {
	best := none
	bestLevel := least
	bestKey := math.Inf(1)
	for i := range o.groups {
		gr := &o.groups[i]
		if gr.queue.n == 0 || gr.blocked {
			continue
		}
		level := o.level(now, gr)
		key := o.shareKey(gr)
		if level > bestLevel || level == bestLevel && (best == none || key < bestKey) {
			best, bestLevel, bestKey = int32(i), level, key
		}
	}
	return best
}

func (o *Owner) level(now Time, gr *group) int {
	level := gr.policy.Priority
	if gr.policy.Urgent {
		return level + levelUrgent
	}
	if o.prioritized(now, gr) {
		return level + levelAged
	}
	return level
}

func (o *Owner) shareKey(gr *group) float64 {
	if o.opt.DisableShares {
		return float64(o.gens[gr.queue.head].queued)
	}
	return gr.vtime
}

// prioritized reports whether the head of a queue has waited long or is close to its deadline.
func (o *Owner) prioritized(now Time, gr *group) bool {
	if o.opt.DisableAgeing || gr.queue.head == none {
		return false
	}
	g := &o.gens[gr.queue.head]
	if now.Sub(g.queued).Seconds() > o.opt.AgeFraction*gr.policy.MaxWait.Seconds() {
		return true
	}
	if g.deadline == 0 {
		return false
	}
	expected := max(gr.output, 1) * o.opt.StepSeconds
	return g.deadline.Sub(now).Seconds()-expected < o.opt.DeadlineSlack.Seconds()
}

// reserveTarget keeps one target free of other new work until generation i fits. Otherwise a large request starves: small
// requests fill each gap before it is large enough.
func (o *Owner) reserveTarget(i int32) {
	g := &o.gens[i]
	best := none
	var bestFree float64
	for ti := range o.targets {
		t := &o.targets[ti]
		if t.reserved || !o.acceptsWork(t) || g.avoids(int32(ti)) || g.emitted > 0 && t.spec.Software != g.software {
			continue
		}
		free := float64(t.kvTotal) - t.load.Peak(0, o.steps)
		if best == none || free > bestFree {
			best, bestFree = int32(ti), free
		}
	}
	if best != none {
		o.targets[best].reserved = true
	}
}

func (g *gen) avoids(t int32) bool {
	for _, a := range g.avoid {
		if a == t {
			return true
		}
	}
	return false
}

// grant places generation i on a target.
func (o *Owner) grant(now Time, i, ti int32, acts []Action) []Action {
	o.stats.Grants++
	g := &o.gens[i]
	gr := &o.groups[g.group]
	fresh := g.emitted == 0
	o.detach(now, i)
	o.assign(now, i, ti)
	t := &o.targets[ti]
	t.lastGrant = now
	o.addLoad(t, g)
	if t.silent {
		t.nextProbe = now.Add(o.opt.ProbeInterval)
	}
	if fresh {
		gr.drain.recordGrant(now, gr.queue.n)
	}
	o.charge(g, gr)
	return append(acts, Action{
		Kind:     ActGrant,
		Gen:      g.id,
		Attempt:  g.attempt,
		Target:   t.spec.Name,
		Priority: gr.policy.Priority,
	})
}

// charge adds the expected work of a grant to the virtual time of its group.
func (o *Owner) charge(g *gen, gr *group) {
	o.virtualTime = max(o.virtualTime, gr.vtime)
	g.charged = float64(g.prompt) + max(gr.output, 1)
	cost := g.charged / gr.policy.Weight
	gr.vtime += cost
	o.largestCharge = max(o.largestCharge*chargeDecay, cost)
}

// belowShare reports whether a group has recently received so much less than its share that a cold prefix no longer delays it.
// The slack is measured in the largest charge of any group, that of the lowest weight.
func (o *Owner) belowShare(gr *group) bool {
	return gr.vtime+shareSlack*o.largestCharge < o.virtualTime
}

// chargeDecay lets the largest charge decay with each grant.
const chargeDecay = 0.995

// shareSlack is the number of largest charges by which a group may fall behind its share.
const shareSlack = 2
