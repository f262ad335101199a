package sched

import (
	"time"
)

const (
	// evacuateTimeout is how long generations on a leaving target wait for free capacity elsewhere before they are moved
	// unconditionally. A reclaimed engine gives short notice.
	evacuateTimeout = 5 * time.Second
	// prefillTimeoutFactor is the multiple of the expected prefill time after which a prefill counts as silence.
	prefillTimeoutFactor = 3
	// silenceGapFactor is the multiple of the mean gap between token updates that counts as silence, where it exceeds
	// Options.SilentAfter: entries may report rarely, and engines may be slow.
	silenceGapFactor = 10
)

// detectSilence marks targets as silent that run work but yield no tokens, because the connection stalled or the engine hangs.
// New work placed there would stall as well.
func (o *Owner) detectSilence(now Time) {
	o.usable = 0
	for i := range o.targets {
		t := &o.targets[i]
		if !t.silent && o.silentFor(now, t) > t.silenceTimeout(o.opt.SilentAfter) && !o.opt.DisableSilence {
			o.markSilent(now, t)
		}
		if o.acceptsWork(t) {
			o.usable++
		}
	}
}

// silenceTimeout returns the time without tokens after which the target counts as silent; it is at least floor.
func (t *target) silenceTimeout(floor time.Duration) time.Duration {
	return max(floor, time.Duration(silenceGapFactor*t.tokenGap*float64(time.Second)))
}

// markSilent marks a target as silent: it gets no new work until a probe yields a token.
func (o *Owner) markSilent(now Time, t *target) {
	if o.opt.DisableSilence {
		return
	}
	t.silent = true
	t.nextProbe = now.Add(o.opt.ProbeInterval)
}

// silentFor returns how long a token has been overdue. It returns 0 while the owner receives no progress from any entry.
func (o *Owner) silentFor(now Time, t *target) time.Duration {
	if t.run.n == 0 || now.Sub(o.lastProgress) > o.opt.SilentAfter {
		return 0
	}
	since := max(t.lastToken, t.idleSince)
	expected := float64(t.prefillLeft) * o.opt.PrefillSeconds * prefillTimeoutFactor
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
			acts = o.moveAll(now, t, acts, now.Sub(t.leavingAt) < evacuateTimeout)
		case t.silent && o.silentFor(now, t) > t.silenceTimeout(o.opt.MoveAfter):
			acts = o.moveAll(now, t, acts, true)
		}
	}
	return acts
}

// moveAll preempts the generations on a target. With ifFits it preempts only one that fits on another target now, at most
// one per maintenance run, so that the capacity found is still free for it.
func (o *Owner) moveAll(now Time, t *target, acts []Action, ifFits bool) []Action {
	for i := t.run.head; i != none; i = o.gens[i].next {
		g := &o.gens[i]
		if g.state != stateRunning || !t.gone && !o.mayContinueElsewhere(t, g) {
			continue
		}
		if !ifFits {
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
