package schedlink

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/placer"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/shard"
)

// Service is a model service under one revision of settings.
type Service struct {
	Name     string
	Targets  []sched.TargetSpec
	Policies sched.PolicyFunc
	Power    map[uint32]ShardPower // by shard index; empty: no cap
}

// ShardPower is the power that settings alone allow the owner of a shard.
type ShardPower struct {
	FallbackWatts float64 // without a share in force
	DrainedWatts  float64 // drawn by targets of the shard that are not in Service.Targets
}

// Site is the part of one revision of settings that Link and Host need.
type Site struct {
	Services      []Service
	ShardTargets  int           // maximum targets per shard; 0: no limit
	ProgressEvery time.Duration // interval of an entry's progress messages to an owner; 0: DefaultProgressEvery
	Tick          time.Duration // interval of policy ticks; 0: HostOptions.Tick
}

// Members provides the membership view. member.Runner implements it.
type Members interface {
	View() *member.View
	Changed() <-chan struct{}
	Digests() []member.Digest
}

// PollFunc starts polling targets of a service for feed, until ctx is done. It returns a function that sets the targets to
// poll by name.
type PollFunc func(ctx context.Context, service string, feed placer.Feed) func(targets []string)

// Default durations.
const (
	DefaultOwnerTimeout      = time.Second
	DefaultKeepaliveInterval = 250 * time.Millisecond
	DefaultProgressEvery     = 50 * time.Millisecond
	DefaultGracePeriod       = 2 * time.Second
	DefaultSettleDelay       = 200 * time.Millisecond
)

// servicePlan is a service with its shards.
type servicePlan struct {
	Service
	shards []shard.Shard
	specs  map[string]sched.TargetSpec
}

// plan is a Site divided into shards, by service name. It is immutable.
type plan map[string]*servicePlan

func newPlan(site Site) plan {
	p := make(plan, len(site.Services))
	for _, svc := range site.Services {
		sp := &servicePlan{Service: svc, specs: make(map[string]sched.TargetSpec, len(svc.Targets))}
		names := make([]string, 0, len(svc.Targets))
		for _, t := range svc.Targets {
			sp.specs[t.Name] = t
			names = append(names, t.Name)
		}
		sp.shards = shard.Split(svc.Name, names, site.ShardTargets)
		p[svc.Name] = sp
	}
	return p
}

// shard returns a shard, or nil if the plan doesn't contain it.
func (p plan) shard(id shard.ID) *shard.Shard {
	sp := p[id.Service]
	if sp == nil || int(id.Index) >= len(sp.shards) {
		return nil
	}
	return &sp.shards[id.Index]
}

// powerOf returns the power settings of a shard; ok is false without a cap.
func (p plan) powerOf(id shard.ID) (sp ShardPower, ok bool) {
	if svc := p[id.Service]; svc != nil {
		sp, ok = svc.Power[id.Index]
	}
	return sp, ok
}

// specsOf returns the targets of a shard.
func (p plan) specsOf(id shard.ID) []sched.TargetSpec {
	s := p.shard(id)
	if s == nil {
		return nil
	}
	out := make([]sched.TargetSpec, 0, len(s.Targets))
	for _, name := range s.Targets {
		out = append(out, p[id.Service].specs[name])
	}
	return out
}

// ids returns the IDs of all shards of the site.
func (p plan) ids() (ids []shard.ID) {
	for _, sp := range p {
		for _, s := range sp.shards {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// owners maps shards to their owners under one plan and view.
type owners struct {
	workers  []member.Member
	assigned map[shard.ID]member.Member
}

func newOwners(p plan, v *member.View) *owners {
	workers := v.Workers()
	return &owners{workers: workers, assigned: shard.Assign(p.ids(), workers)}
}

// ownerOf returns the owner of a shard; ok is false when no member is eligible.
func (o *owners) ownerOf(id shard.ID) (m member.Member, ok bool) {
	if m, ok = o.assigned[id]; ok {
		return m, true
	}
	return shard.Owner(id, o.workers)
}
