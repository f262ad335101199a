package sched

// power is the budget in force.
type power struct {
	set        bool
	watts      float64
	validUntil Time
	fallback   float64
}

// SetPower implements Policy. After validUntil without news the fallback holds: the fallback shares of all owners
// together are under the site's cap, so a lost budget holder can't lead to more than the cap.
func (o *Owner) SetPower(_ Time, watts float64, validUntil Time, fallbackWatts float64) {
	o.power = power{set: true, watts: watts, validUntil: validUntil, fallback: fallbackWatts}
}

// budget returns the watts that may be drawn now; ok is false without a cap.
func (o *Owner) budget(now Time) (watts float64, ok bool) {
	if !o.power.set || o.opt.DisablePower {
		return 0, false
	}
	watts = o.power.watts
	if now > o.power.validUntil {
		watts = min(watts, o.power.fallback)
	}
	return watts * (1 - o.opt.PowerGuard), true
}

// draw is the modelled power of all targets, in watts.
type draw struct {
	total  float64
	own    float64 // of the sequences that this owner placed
	others float64 // of sequences that others placed
}

// draw models the power of all targets: readings lag and may be frozen, so they only ever raise the model.
func (o *Owner) draw() draw {
	var d draw
	for i := range o.targets {
		t := &o.targets[i]
		if t.run.n == 0 && (t.gone || !t.listed) {
			// A target that is told to be gone may still draw power for what is not known to have ended there.
			continue
		}
		own, others := t.spec.SeqWatts*float64(t.run.n), t.spec.SeqWatts*float64(t.foreign)
		d.own += own
		d.others += others
		d.total += t.spec.IdleWatts + own + others + t.watts
	}
	return d
}

// roomToGrow is how much beside what others draw is left to them, as a multiple of it. A few sequences that a late report
// takes for those of others then cost little.
const roomToGrow = 2

// spare is what a budget leaves for new work. It leaves others room to grow, and to this owner half of what there is for
// sequences.
//
// Failure: two owners of one shard, cut off from each other, each fill it between two reports. Both then see twice the
// budget, move all that they run, see an idle shard and fill it again, for as long as the cut lasts: the cap is passed
// half of the time. Keeping half each, they pass it before the first report alone and come to rest.
func (d draw) spare(watts float64) float64 {
	spare := watts - d.total
	if d.others > 0 {
		spare = min(spare, max(d.half(watts)-d.own, spare-roomToGrow*d.others))
	}
	return spare
}

// excess is what must be moved to get under a budget. What runs within the half that is this owner's own stays.
func (d draw) excess(watts float64) float64 {
	excess := d.total - watts
	if d.others > 0 {
		excess = min(excess, d.own-d.half(watts))
	}
	return excess
}

func (d draw) half(watts float64) float64 {
	fixed := d.total - d.own - d.others
	return max(0, watts-fixed) / 2
}

// powerRoom filters by the cap. Work that is not urgent leaves the power of the headroom.
func (o *Owner) powerRoom(t *target) bool {
	spare := o.cand.spare
	if !o.cand.urgent {
		spare -= o.headroom.free * t.spec.SeqWatts
	}
	if !o.cand.capped || t.spec.SeqWatts <= spare {
		return true
	}
	o.powerBound = true
	return false
}

// shedPower moves generations into the queue while the model is over the budget: after a cut of the budget, holding
// new work back alone would take as long as the longest output. Long work is held back first.
func (o *Owner) shedPower(now Time, acts []Action) []Action {
	o.powerBound = false
	watts, ok := o.budget(now)
	if !ok {
		return acts
	}
	d := o.draw()
	for i := range o.targets {
		t := &o.targets[i]
		moving := float64(t.moving) * t.spec.SeqWatts
		d.total -= moving
		d.own -= moving
	}
	excess := d.excess(watts)
	for excess > 0 {
		v := o.powerVictim()
		if v == none {
			return acts
		}
		excess -= o.targets[o.gens[v].target].spec.SeqWatts
		o.stats.MovedPower++
		acts = o.preempt(v, acts)
	}
	return acts
}

// powerVictim picks, over all targets, the lowest priority, and of these the generation that holds least.
func (o *Owner) powerVictim() int32 {
	best := none
	var bestGen *gen
	for ti := range o.targets {
		t := &o.targets[ti]
		if t.spec.SeqWatts <= 0 {
			continue
		}
		for i := t.run.head; i != none; i = o.gens[i].next {
			g := &o.gens[i]
			if g.state != stateRunning || g.started && !t.spec.Resumes {
				continue
			}
			if best == none || o.shedsBefore(g, bestGen) {
				best, bestGen = i, g
			}
		}
	}
	return best
}

// shedsBefore orders victims of the power cap: urgent work last, then by priority, then by lost work.
func (o *Owner) shedsBefore(a, b *gen) bool {
	pa, pb := &o.groups[a.group].policy, &o.groups[b.group].policy
	if pa.Urgent != pb.Urgent {
		return pb.Urgent
	}
	if pa.Priority != pb.Priority {
		return pa.Priority < pb.Priority
	}
	return a.held() < b.held()
}

// powerStarved reports whether the cap leaves the candidate no power on any target.
func (o *Owner) powerStarved() bool {
	if !o.cand.capped {
		return false
	}
	for i := range o.targets {
		t := &o.targets[i]
		if o.accepts(t) && t.spec.SeqWatts <= o.cand.spare {
			return false
		}
	}
	return true
}
