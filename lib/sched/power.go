package sched

// power is the power budget in force.
type power struct {
	set        bool
	watts      float64
	validUntil Time
	fallback   float64
}

// SetPower implements Policy. After validUntil the fallback applies. The fallback shares of all owners together are below
// the site's cap, so the loss of the power allocator can't lead to a draw above the cap.
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

// draw is the modelled power draw of all targets, in watts.
type draw struct {
	total  float64
	local  float64 // by sequences that this owner placed
	remote float64 // by sequences that others placed
}

// draw models the power draw of all targets. Readings lag and may be frozen, so they only ever raise the model.
func (o *Owner) draw() draw {
	var d draw
	for i := range o.targets {
		t := &o.targets[i]
		if t.run.n == 0 && (t.gone || !t.listed) {
			// A target reported as gone may still draw power for sequences that are not known to have ended.
			continue
		}
		local, remote := t.spec.SeqWatts*float64(t.run.n), t.spec.SeqWatts*float64(t.remote)
		d.local += local
		d.remote += remote
		d.total += t.spec.IdleWatts + local + remote + t.wattsExcess
	}
	return d
}

// remoteGrowth is the capacity left to others beyond their draw, as a multiple of that draw. It keeps the effect small when
// a delayed report attributes a few of this owner's sequences to others.
const remoteGrowth = 2

// spare returns the part of a budget that is left for new work. It leaves others capacity to grow, and guarantees this
// owner half of the power available to sequences.
//
// Failure: two owners of one shard, partitioned from each other, each fill the budget between two reports. Both then see
// twice the budget drawn, preempt all they run, see an idle shard and fill it again. As long as the partition lasts, the
// cap is exceeded half of the time. With half each, they exceed it only before the first report and then settle.
func (d draw) spare(watts float64) float64 {
	spare := watts - d.total
	if d.remote > 0 {
		spare = min(spare, max(d.localHalf(watts)-d.local, spare-remoteGrowth*d.remote))
	}
	return spare
}

// excess returns the watts to shed to get below a budget. This owner's sequences within its half are kept.
func (d draw) excess(watts float64) float64 {
	excess := d.total - watts
	if d.remote > 0 {
		excess = min(excess, d.local-d.localHalf(watts))
	}
	return excess
}

func (d draw) localHalf(watts float64) float64 {
	fixed := d.total - d.local - d.remote
	return max(0, watts-fixed) / 2
}

// fitsPower checks the power cap. Non-urgent work leaves the power of the headroom free.
func (o *Owner) fitsPower(t *target) bool {
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

// shedPower preempts generations while the modelled draw exceeds the budget. After a cut of the budget, only holding back
// new work would take as long as the longest output. The order of victims is that of shedsBefore.
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
		d.local -= moving
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

// powerVictim returns the running generation that shedsBefore orders first over all targets, or none.
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

// shedsBefore orders victims of the power cap: urgent work last, then lower priority first, then fewer tokens held.
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

// powerStarved reports whether no target has power for the candidate under the cap.
func (o *Owner) powerStarved() bool {
	if !o.cand.capped {
		return false
	}
	for i := range o.targets {
		t := &o.targets[i]
		if o.acceptsWork(t) && t.spec.SeqWatts <= o.cand.spare {
			return false
		}
	}
	return true
}
