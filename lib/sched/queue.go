package sched

import "math"

// Levels order groups before their shares do; the priority of the class is added.
const (
	levelAged   = 1 << 16
	levelUrgent = 1 << 20
)

// maxResumeTries bounds how many resumes are tried for a place in one tick.
const maxResumeTries = 16

// admit grants places: first to urgent work, then to generations that already gave tokens, for each second that they
// wait is stall time, then to the other groups in their order. Of the groups at the highest level, those whose prefix a
// target holds come first at that target: when engines are full, one place is free at a time, and the prefill of a
// prompt that is not cached there would slow its whole batch down.
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

// topLevel returns the highest level at which something waits.
func (o *Owner) topLevel(now Time) int {
	top := math.MinInt
	for i := range o.groups {
		if gr := &o.groups[i]; gr.queue.n > 0 {
			top = max(top, o.level(now, gr))
		}
	}
	return top
}

// admitGroups serves the groups of at least a level until none has a request that fits.
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
			o.reserve(i)
		}
		i = next
	}
	return acts
}

// admitFrom places the head of a queue, or one of the few behind it.
func (o *Owner) admitFrom(now Time, gi int32, acts []Action) ([]Action, bool) {
	gr := &o.groups[gi]
	aged := o.raised(now, gr)
	i := gr.queue.head
	for tries := 0; i != none && tries <= o.opt.Backfill; tries++ {
		if t := o.place(now, i); t != none {
			return o.grant(now, i, t, acts), true
		}
		if gr.policy.Urgent && tries == 0 && now.Sub(o.gens[i].queued) >= o.opt.UrgentPatience {
			var ok bool
			if acts, ok = o.preemptForUrgent(now, i, acts); ok {
				continue
			}
		}
		if aged && tries == 0 && !o.warmOnly {
			o.reserve(i)
		}
		i = o.gens[i].next
	}
	return acts, false
}

// nextGroup returns the group to serve next: highest level, then least weighted work granted.
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
	if o.raised(now, gr) {
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

// raised reports whether the head of a queue has waited long or has a deadline near.
func (o *Owner) raised(now Time, gr *group) bool {
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

// reserve keeps one target from other new work until generation i fits it. Without it a large request starves: small
// ones fill each gap before it is wide enough.
func (o *Owner) reserve(i int32) {
	g := &o.gens[i]
	best := none
	var bestRoom float64
	for ti := range o.targets {
		t := &o.targets[ti]
		if t.reserved || !o.accepts(t) || g.avoids(int32(ti)) {
			continue
		}
		room := float64(t.kvTotal) - t.load.Peak(0, o.steps)
		if best == none || room > bestRoom {
			best, bestRoom = int32(ti), room
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

// grant gives generation i a place on a target.
func (o *Owner) grant(now Time, i, ti int32, acts []Action) []Action {
	o.stats.Grants++
	g := &o.gens[i]
	gr := &o.groups[g.group]
	fresh := g.emitted == 0
	o.take(now, i)
	o.hold(now, i, ti)
	t := &o.targets[ti]
	t.lastGrant = now
	o.addLoad(t, g)
	if t.silent {
		t.probe = now.Add(o.opt.ProbeInterval)
	}
	if fresh {
		gr.drain.granted(now, gr.queue.n)
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

// charge adds the work that a grant is expected to take to its group's share.
func (o *Owner) charge(g *gen, gr *group) {
	o.virtualTime = max(o.virtualTime, gr.vtime)
	g.charged = float64(g.prompt) + max(gr.output, 1)
	step := g.charged / gr.policy.Weight
	gr.vtime += step
	o.largestStep = max(o.largestStep*stepDecay, step)
}

// behind reports whether a group has had so much less than its share lately that a cold prefix holds it back no more.
// The slack is counted in the largest step of any group, that of the least weight.
func (o *Owner) behind(gr *group) bool {
	return gr.vtime+shareSlack*o.largestStep < o.virtualTime
}

// stepDecay lets the largest step fade with each grant.
const stepDecay = 0.995

// shareSlack is how many of the largest steps a group may fall behind.
const shareSlack = 2
