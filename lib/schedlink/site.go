package schedlink

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/placer"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/shard"
)

// Service is a model service as one revision of settings has it.
type Service struct {
	Name     string
	Targets  []sched.TargetSpec
	Policies sched.PolicyFunc
}

// Site is what Link and Host need of one revision of settings.
type Site struct {
	Services      []Service
	ShardTargets  int           // targets of one shard at most; 0: no limit
	ProgressEvery time.Duration // between an entry's messages of progress to an owner; 0: DefaultProgressEvery
	Tick          time.Duration // of a policy; 0: HostOptions.Tick
}

// Members tells who is live. member.Runner implements it.
type Members interface {
	View() *member.View
	Changed() <-chan struct{}
	Digests() []member.Digest
}

// PollFunc starts polling targets of a service for feed, until ctx is done. It returns what sets the names of the
// targets to poll.
type PollFunc func(ctx context.Context, service string, feed placer.Feed) func(targets []string)

// Defaults of times.
const (
	DefaultSilence       = time.Second
	DefaultAliveEvery    = 250 * time.Millisecond
	DefaultProgressEvery = 50 * time.Millisecond
	DefaultGrace         = 2 * time.Second
	DefaultSettle        = 200 * time.Millisecond
)

// servicePlan is a service with its shards.
type servicePlan struct {
	Service
	shards []shard.Shard
	specs  map[string]sched.TargetSpec
}

// plan is a Site with shards worked out. It is immutable.
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

// shard finds a shard, or nil when the plan doesn't have it.
func (p plan) shard(id shard.ID) *shard.Shard {
	sp := p[id.Service]
	if sp == nil || int(id.Index) >= len(sp.shards) {
		return nil
	}
	return &sp.shards[id.Index]
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

// ids returns all shards of the site.
func (p plan) ids() (ids []shard.ID) {
	for _, sp := range p {
		for _, s := range sp.shards {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// owners knows the owner of each shard under one plan and view.
type owners struct {
	workers  []member.Member
	assigned map[shard.ID]member.Member
}

func newOwners(p plan, v *member.View) *owners {
	workers := v.Workers()
	return &owners{workers: workers, assigned: shard.Assign(p.ids(), workers)}
}

// of returns the owner; ok is false when no member may own anything.
func (o *owners) of(id shard.ID) (m member.Member, ok bool) {
	if m, ok = o.assigned[id]; ok {
		return m, true
	}
	return shard.Owner(id, o.workers)
}
