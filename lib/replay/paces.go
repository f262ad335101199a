package replay

import (
	"maps"
	"slices"
	"time"

	"anvilwick.example/anvilwick/lib/enginerate"
	"anvilwick.example/anvilwick/lib/owner"
)

// event records the pause before an event for the next report of paces.
func (o *ownerDecider) event(r *stream, pause time.Duration) {
	p := o.pace(r)
	if p.Shortest == 0 || pause < p.Shortest {
		p.Shortest = pause
	}
	p.Longest = max(p.Longest, pause)
}

// pace returns what the stream's instance has observed of its engine since the last report of paces.
func (o *ownerDecider) pace(r *stream) *owner.Pace {
	paces := r.instance.coordinator.paces
	p := paces[r.engine.ID]
	if p == nil {
		p = &owner.Pace{Target: r.engine.ID}
		paces[r.engine.ID] = p
	}
	return p
}

// recordSlowdown records the slowdown that the engine names with its response.
func (o *ownerDecider) recordSlowdown(r *stream) {
	if o.s.pattern.Noise.Share > 0 {
		p := o.pace(r)
		p.Slowdown, p.SlowdownAge = r.engine.model.Slowdown(o.s.now), 0
	}
}

// takePaces returns an instance's paces by shard, once in an interval of reports.
func (o *ownerDecider) takePaces(in *instance, shardOf func(engine string) *owner.Shard) map[string][]owner.Pace {
	d := in.coordinator
	if o.s.now-d.pacesReported < owner.ReportInterval || len(d.paces) == 0 {
		return nil
	}
	d.pacesReported = o.s.now
	out := make(map[string][]owner.Pace)
	for _, id := range slices.Sorted(maps.Keys(d.paces)) {
		if sh := shardOf(id); sh != nil {
			out[sh.Key] = append(out[sh.Key], *d.paces[id])
		}
	}
	clear(d.paces)
	return out
}

// receiveReport applies a report at an instance.
func (o *ownerDecider) receiveReport(in *instance, rep owner.Report) {
	now := o.s.clock()
	if !in.coordinator.Report(now, rep) {
		return
	}
	rates := &in.coordinator.rates
	for _, p := range rep.Paces {
		if p.Slowdown > 0 {
			rates.ObserveSlowdown(now.Add(-p.SlowdownAge), service, p.Target, p.Slowdown)
		}
		if p.Shortest > 0 {
			rates.ObserveEvents(now, service, p.Target, enginerate.Events{Shortest: p.Shortest, Longest: p.Longest, Prefilling: o.prefilled(p.Target)})
		}
	}
	for _, s := range rep.PrefillSamples {
		rates.ObservePrefill(now, s.Service, s.Target, s.Unread, s.Took)
	}
}

// prefilled reports whether an engine has prefilled a prompt in the last interval.
func (o *ownerDecider) prefilled(id string) bool {
	for _, e := range o.s.engines {
		if e.ID != id {
			continue
		}
		if e.prefilledAt > 0 && o.s.now-e.prefilledAt < enginerate.Interval {
			return true
		}
		for _, r := range e.runs {
			if r.load.Unread > 0 {
				return true
			}
		}
	}
	return false
}
