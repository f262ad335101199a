package sched

import (
	"time"
)

const (
	// evacuateWithin is how long generations on a leaving target wait for a free place elsewhere before they are
	// moved all the same; the notice of a reclaimed engine is short.
	evacuateWithin = 5 * time.Second
	// prefillPatience is how much longer than expected a prefill may take before it counts as silence.
	prefillPatience = 3
	// silentGaps is how many times the usual gap between news of tokens counts as silence, where that is longer than
	// the options say: entries may report seldom, and engines may be slow.
	silentGaps = 10
)

// watch finds engines that run work and give no token: a stalled link looks like this, and so does an engine that
// hangs. New work would only join the stalled.
func (o *Owner) watch(now Time) {
	o.usable = 0
	for i := range o.targets {
		t := &o.targets[i]
		if !t.silent && o.silentFor(now, t) > t.patience(o.opt.SilentAfter) && !o.opt.DisableSilence {
			o.suspect(now, t)
		}
		if o.accepts(t) {
			o.usable++
		}
	}
}

// patience is the silence that is accepted of a target.
func (t *target) patience(least time.Duration) time.Duration {
	return max(least, time.Duration(silentGaps*t.gap*float64(time.Second)))
}

// suspect stops new work on a target until a probe gives a token.
func (o *Owner) suspect(now Time, t *target) {
	if o.opt.DisableSilence {
		return
	}
	t.silent = true
	t.probe = now.Add(o.opt.ProbeInterval)
}

// silentFor returns how long a target has owed a token. It is 0 while the owner itself hears from nobody.
func (o *Owner) silentFor(now Time, t *target) time.Duration {
	if t.run.n == 0 || now.Sub(o.heard) > o.opt.SilentAfter {
		return 0
	}
	since := max(t.lastToken, t.idleSince)
	expected := float64(t.prefillLeft) * o.opt.PrefillSeconds * prefillPatience
	return max(now.Sub(since)-time.Duration(expected*float64(time.Second)), 0)
}

// evacuate moves generations off targets that are gone, leaving or silent.
func (o *Owner) evacuate(now Time, acts []Action) []Action {
	for i := range o.targets {
		t := &o.targets[i]
		switch {
		case t.run.n == t.moving:
		case t.gone:
			acts = o.moveAll(now, t, acts, false)
		case t.leaving:
			acts = o.moveAll(now, t, acts, now.Sub(t.leavingAt) < evacuateWithin)
		case t.silent && o.silentFor(now, t) > t.patience(o.opt.MoveAfter):
			acts = o.moveAll(now, t, acts, true)
		}
	}
	return acts
}

// moveAll preempts what runs on a target; ifPlace limits it to generations that have a place elsewhere now, at most
// one for each maintenance, so that each finds the place that was seen.
func (o *Owner) moveAll(now Time, t *target, acts []Action, ifPlace bool) []Action {
	for i := t.run.head; i != none; i = o.gens[i].next {
		g := &o.gens[i]
		if g.state != stateRunning || g.started && !t.spec.Resumes && !t.gone {
			continue
		}
		if !ifPlace {
			o.stats.MovedEvacuate++
			acts = o.preempt(i, acts)
			continue
		}
		if o.place(now, i) != none {
			o.stats.MovedEvacuate++
			return o.preempt(i, acts)
		}
	}
	return acts
}
