package control

import (
	"anvilwick.example/anvilwick/lib/power"
	"anvilwick.example/anvilwick/lib/settings"
	"anvilwick.example/anvilwick/lib/shard"
)

// powerPart is a shard of a service as something that draws power.
type powerPart struct {
	name    string
	service string
	targets []settings.Target
	max     float64 // watts with every batch full
}

// powerPlan is what one revision of settings says about power; every process works out the same one.
type powerPlan struct {
	cfg       power.Config
	parts     map[string]*powerPart
	fallbacks map[string]float64
}

// planPower returns nil when the site has no cap or no target's power is known.
func planPower(snap *settings.Snapshot) *powerPlan {
	if snap == nil || snap.Site.PowerCapWatts <= 0 {
		return nil
	}
	plan := &powerPlan{
		cfg:   power.DefaultConfig(snap.Site.PowerCapWatts, snap.Site.PowerGuardWatts),
		parts: map[string]*powerPart{},
	}
	var list []power.Part
	for _, svc := range snap.Services {
		for _, p := range partsOf(svc, snap.Site.ShardTargets) {
			plan.parts[p.name] = p
			list = append(list, power.Part{Name: p.name, MaxWatts: p.max})
		}
	}
	if len(list) == 0 {
		return nil
	}
	plan.fallbacks = plan.cfg.Fallbacks(list)
	return plan
}

func partsOf(svc *settings.Service, shardTargets int) []*powerPart {
	byName := map[string]settings.Target{}
	var names []string
	for _, t := range svc.Targets {
		if t.IdleWatts > 0 || t.SeqWatts > 0 {
			byName[t.Name] = t
			names = append(names, t.Name)
		}
	}
	var parts []*powerPart
	for _, sh := range shard.Split(svc.Name, names, shardTargets) {
		p := &powerPart{name: sh.ID.String(), service: svc.Name}
		for _, name := range sh.Targets {
			t := byName[name]
			p.targets = append(p.targets, t)
			p.max += t.IdleWatts + t.SeqWatts*float64(t.MaxBatch)
		}
		parts = append(parts, p)
	}
	return parts
}

// demand is what a part draws and wants, in watts.
type demand struct {
	wanted   float64
	modelled float64
	measured float64
	ageMS    int64 // of the oldest report in measured
}

// demandOf models the draw from the reports' counts of sequences, and the want from those that wait besides.
func (p *powerPart) demandOf(v tablesView, queued int, age func(report) int64) demand {
	var d demand
	perSeq := 0.0
	for _, t := range p.targets {
		perSeq = max(perSeq, t.SeqWatts)
		d.modelled += t.IdleWatts
		r, ok := v.reports[t.Name]
		if !ok {
			d.measured += t.IdleWatts
			continue
		}
		d.modelled += t.SeqWatts * float64(r.GetRunning())
		d.measured += r.GetWatts()
		d.ageMS = max(d.ageMS, age(r))
	}
	d.wanted = min(p.max, d.modelled+perSeq*float64(queued))
	return d
}
