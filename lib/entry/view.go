package entry

import (
	"slices"

	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/settings"
	"anvilwick.example/anvilwick/lib/target"
)

// view is one settings revision with the clients of its targets. A request keeps the view under which it was accepted.
type view struct {
	snapshot *settings.Snapshot
	clients  map[string]*target.Client // by target name, which is unique in a site
}

func newView(snap *settings.Snapshot, shared *target.Clients) *view {
	v := &view{snapshot: snap, clients: make(map[string]*target.Client)}
	for _, svc := range snap.Services {
		for i := range svc.Targets {
			t := &svc.Targets[i]
			v.clients[t.Name] = shared.Client(t.Name, t.Addr)
		}
	}
	return v
}

// softwareOf returns the version of a target's software.
func (v *view) softwareOf(service, name string) string {
	if svc := v.snapshot.Services[service]; svc != nil {
		for i := range svc.Targets {
			if svc.Targets[i].Name == name {
				return svc.Targets[i].Software
			}
		}
	}
	return ""
}

// hasSoftware reports whether a target of a service runs a version.
func (v *view) hasSoftware(service, software string) bool {
	svc := v.snapshot.Services[service]
	return svc != nil && slices.ContainsFunc(svc.Targets, func(t settings.Target) bool { return t.Software == software })
}

// clientsOf returns the clients of a service's targets.
func (v *view) clientsOf(svc *settings.Service) []*target.Client {
	out := make([]*target.Client, 0, len(svc.Targets))
	for i := range svc.Targets {
		out = append(out, v.clients[svc.Targets[i].Name])
	}
	return out
}

// TargetSpecs returns the scheduler's specs of a service's targets that may receive new work.
func TargetSpecs(svc *settings.Service) []sched.TargetSpec {
	specs := make([]sched.TargetSpec, 0, len(svc.Targets))
	for i := range svc.Targets {
		t := &svc.Targets[i]
		if t.Draining {
			continue
		}
		specs = append(specs, sched.TargetSpec{
			Name:          t.Name,
			FailureDomain: t.FailureDomain,
			Instance:      t.Instance,
			KVTotal:       t.KVTokens,
			MaxBatch:      t.MaxBatch,
			IdleWatts:     t.IdleWatts,
			SeqWatts:      t.SeqWatts,
			Resumes:       svc.Resumes,
			Software:      t.Software,
		})
	}
	return specs
}

// minMemoryRisk replaces a memory risk of 0, which the scheduler would treat as unset.
const minMemoryRisk = 1e-12

// ClassPolicies returns a function that maps a service's policies to the scheduler's.
func ClassPolicies(snap *settings.Snapshot, service string) sched.PolicyFunc {
	return func(workspace, class string) sched.ClassPolicy {
		p := snap.Policy(service, workspace, class)
		moves := p.MaxPreemptions
		if moves == 0 {
			moves = sched.NoPreemptions
		}
		return sched.ClassPolicy{
			Priority:       p.Priority,
			Urgent:         p.Urgent,
			Weight:         p.Weight,
			MaxWait:        p.MaxWait,
			QueueBound:     p.QueueBound,
			MaxPreemptions: moves,
			MemoryRisk:     max(p.MemoryRisk, minMemoryRisk),
		}
	}
}
