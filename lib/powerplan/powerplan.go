// Package powerplan derives the power plan from one revision of settings: the parts that draw power, one per shard, and the
// fallback of each. Entries and control processes compute the same plan without exchanging messages.
package powerplan

import (
	"anvilwick.example/anvilwick/lib/power"
	"anvilwick.example/anvilwick/lib/settings"
	"anvilwick.example/anvilwick/lib/shard"
)

// Part is a shard of a service as a consumer of power.
type Part struct {
	ID        shard.ID
	Targets   []settings.Target
	IdleWatts float64 // with nothing running
	MaxWatts  float64 // with every batch full
}

// Plan is the power plan of one revision of settings.
type Plan struct {
	Config    power.Config
	Parts     map[string]*Part   // by shard name
	Fallbacks map[string]float64 // watts, by shard name
}

// FromSnapshot returns the plan of a revision. It returns nil when the site has no cap or no target's power is known.
func FromSnapshot(snap *settings.Snapshot) *Plan {
	if snap == nil || snap.Site.PowerCapWatts <= 0 {
		return nil
	}
	plan := &Plan{
		Config: power.DefaultConfig(snap.Site.PowerCapWatts, snap.Site.PowerGuardWatts),
		Parts:  map[string]*Part{},
	}
	var list []power.Part
	for _, svc := range snap.Services {
		for _, p := range partsOf(svc, snap.Site.ShardTargets) {
			plan.Parts[p.ID.String()] = p
			list = append(list, power.Part{Name: p.ID.String(), IdleWatts: p.IdleWatts, MaxWatts: p.MaxWatts})
		}
	}
	if len(list) == 0 {
		return nil
	}
	plan.Fallbacks = plan.Config.Fallbacks(list)
	return plan
}

// partsOf splits all targets of a service, including drained ones and those of unknown power, so that a shard's index, and
// with it its fallback, stays the same while targets are drained and returned to service.
func partsOf(svc *settings.Service, shardTargets int) []*Part {
	byName := map[string]settings.Target{}
	var names []string
	for _, t := range svc.Targets {
		byName[t.Name] = t
		names = append(names, t.Name)
	}
	var parts []*Part
	for _, sh := range shard.Split(svc.Name, names, shardTargets) {
		p := &Part{ID: sh.ID}
		for _, name := range sh.Targets {
			t := byName[name]
			p.Targets = append(p.Targets, t)
			p.IdleWatts += t.IdleWatts
			p.MaxWatts += t.IdleWatts + t.SeqWatts*float64(t.MaxBatch)
		}
		if p.MaxWatts > 0 {
			parts = append(parts, p)
		}
	}
	return parts
}

// DrainedWatts returns the idle draw of a part's drained targets. Owners are not given these targets, so this power has to
// be subtracted from what they may use.
func (p *Part) DrainedWatts() float64 {
	sum := 0.0
	for _, t := range p.Targets {
		if t.Draining {
			sum += t.IdleWatts
		}
	}
	return sum
}
