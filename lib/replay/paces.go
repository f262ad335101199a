package replay

import (
	"maps"
	"slices"
	"time"

	"anvilwick.example/anvilwick/lib/owner"
)

// observedPace is what an instance has observed of an engine since the last regular report of paces.
type observedPace struct {
	owner.Pace
	slowdownAt   time.Duration // when Slowdown was received
	slowdownSent bool          // it was reported already
}

// pace returns what the stream's instance has observed of its engine.
func (o *ownerDecider) pace(r *stream) *observedPace {
	paces := r.instance.coordinator.paces
	p := paces[r.engine.ID]
	if p == nil {
		p = &observedPace{Pace: owner.Pace{Target: r.engine.ID}}
		paces[r.engine.ID] = p
	}
	return p
}

// event records the pause before an event.
func (o *ownerDecider) event(r *stream, pause time.Duration) {
	p := o.pace(r)
	if p.Shortest == 0 || pause < p.Shortest {
		p.Shortest = pause
	}
	p.Longest = max(p.Longest, pause)
}

// recordSlowdown records the slowdown that the engine names with its response.
func (o *ownerDecider) recordSlowdown(r *stream) {
	if o.s.pattern.Noise.Share > 0 {
		p := o.pace(r)
		p.Slowdown, p.slowdownAt, p.slowdownSent = r.engine.model.Slowdown(o.s.now), o.s.now, false
	}
}

// takePaces returns an instance's paces by shard: all of them once in an interval of reports, otherwise new slowdowns only.
func (o *ownerDecider) takePaces(in *instance, shardOf func(engine string) *owner.Shard) map[string][]owner.Pace {
	d := in.coordinator
	regular := o.s.now-d.pacesReported >= owner.ReportInterval
	out := make(map[string][]owner.Pace)
	for _, id := range slices.Sorted(maps.Keys(d.paces)) {
		p := d.paces[id]
		sh := shardOf(id)
		if sh == nil || !regular && (p.Slowdown == 0 || p.slowdownSent) {
			continue
		}
		p.slowdownSent = true
		pace := p.Pace
		pace.SlowdownAge = o.s.now - p.slowdownAt
		if !regular {
			pace.Shortest, pace.Longest = 0, 0
		}
		out[sh.Key] = append(out[sh.Key], pace)
	}
	if regular {
		d.pacesReported = o.s.now
		clear(d.paces)
	}
	return out
}
