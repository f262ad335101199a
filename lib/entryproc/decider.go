package entryproc

import (
	"cmp"
	"context"
	"math"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/baseline"
	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/entry"
	"anvilwick.example/anvilwick/lib/loadpoll"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/placer"
	"anvilwick.example/anvilwick/lib/powerplan"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/schedlink"
	"anvilwick.example/anvilwick/lib/settings"
	"anvilwick.example/anvilwick/lib/shard"
	"anvilwick.example/anvilwick/lib/target"
)

// decider says where generations run.
type decider interface {
	placer.Placer
	// apply takes up a revision of settings.
	apply(snap *settings.Snapshot, clients func(*settings.Service) []*target.Client)
}

// reportFunc sees each whole load report of an engine.
type reportFunc func(name string, rep *engineapi.LoadReport)

// Values of Config.Scheduler. The baselines are there to compare the owner with, in real processes: they don't keep
// urgent work, fair shares or a moving power share the way that settings promise.
const (
	SchedulerOwner       = "owner"
	SchedulerLeastLoaded = "least-loaded"
	SchedulerRoundRobin  = "round-robin"
)

// policyFunc makes the policy of one shard of a service.
type policyFunc func(service string) sched.Policy

// newPolicy returns the maker that Scheduler names, or nil; an empty name is the owner.
func (c *Config) newPolicy() policyFunc { return newPolicies[cmp.Or(c.Scheduler, SchedulerOwner)] }

var newPolicies = map[string]policyFunc{
	SchedulerOwner:       func(service string) sched.Policy { return sched.NewOwner(service, sched.Options{}) },
	SchedulerLeastLoaded: func(string) sched.Policy { return baseline.NewLeastLoaded() },
	SchedulerRoundRobin:  func(string) sched.Policy { return baseline.NewRoundRobin() },
}

// alone decides in this process for every model service.
type alone struct {
	*placer.Local
	ctx      context.Context
	onReport reportFunc

	mu      sync.Mutex
	pollers map[string]*loadpoll.Poller
}

func newAlone(ctx context.Context, newPolicy policyFunc, onReport reportFunc) *alone {
	return &alone{
		Local:    placer.NewLocal(ctx, newPolicy, placer.DefaultTick),
		ctx:      ctx,
		onReport: onReport,
		pollers:  make(map[string]*loadpoll.Poller),
	}
}

func (d *alone) apply(snap *settings.Snapshot, clients func(*settings.Service) []*target.Client) {
	d.mu.Lock()
	defer d.mu.Unlock()
	power := powerplan.FromSnapshot(snap)
	for name, svc := range snap.Services {
		if svc.Kind != settings.KindModel {
			continue
		}
		r := d.Runner(name)
		r.SetTick(snap.Site.TickInterval)
		r.SetPolicy(entry.ClassPolicies(snap, name))
		r.SetTargets(entry.TargetSpecs(svc))
		setPower(r, powerOf(power, name))
		d.poller(name, r).SetTargets(clients(svc))
	}
	for name, p := range d.pollers {
		if snap.Services[name] == nil {
			p.SetTargets(nil)
		}
	}
}

func (d *alone) poller(service string, feed placer.Feed) *loadpoll.Poller {
	p, ok := d.pollers[service]
	if !ok {
		p = loadpoll.New(d.ctx, feed, loadpoll.DefaultInterval)
		p.OnReport = d.onReport
		d.pollers[service] = p
	}
	return p
}

// setPower holds a service to the fallbacks of its shards: nobody divides the cap for an entry without links.
func setPower(r *placer.Runner, shards map[uint32]schedlink.ShardPower) {
	watts := math.Inf(1)
	if len(shards) > 0 {
		watts = 0
	}
	for _, p := range shards {
		watts += max(0, p.FallbackWatts-p.DrainedWatts)
	}
	r.SetPower(watts, 0, watts)
}

// powerOf returns what a plan, which may be nil, says of the shards of a service.
func powerOf(plan *powerplan.Plan, service string) map[uint32]schedlink.ShardPower {
	if plan == nil {
		return nil
	}
	out := make(map[uint32]schedlink.ShardPower)
	for name, p := range plan.Parts {
		if p.ID.Service == service {
			out[p.ID.Index] = schedlink.ShardPower{FallbackWatts: plan.Fallbacks[name], DrainedWatts: p.DrainedWatts()}
		}
	}
	return out
}

// shared asks the owners of shards over the mesh, and decides for the shards that this process owns.
type shared struct {
	*schedlink.Link
	host     *schedlink.Host
	onReport reportFunc

	mu      sync.Mutex
	clients map[string]*target.Client
}

func newShared(ctx context.Context, instance string, l *links, newPolicy policyFunc, onReport reportFunc) *shared {
	d := &shared{onReport: onReport, clients: make(map[string]*target.Client)}
	d.host = schedlink.NewHost(ctx, schedlink.HostOptions{Self: instance, NewPolicy: newPolicy, Poll: d.poll})
	d.Link = schedlink.NewLink(ctx, schedlink.LinkOptions{Self: instance, Node: l.node, Members: l.members, Host: d.host})
	l.node.Handle(meshpb.StreamKind_STREAM_SCHED, d.host.Serve)
	return d
}

// poll reads the engines of one shard that this process owns.
func (d *shared) poll(ctx context.Context, _ string, feed placer.Feed) func([]string) {
	p := loadpoll.New(ctx, feed, loadpoll.DefaultInterval)
	p.OnReport = d.onReport
	return func(names []string) { p.SetTargets(d.named(names)) }
}

func (d *shared) named(names []string) []*target.Client {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*target.Client, 0, len(names))
	for _, name := range names {
		if c := d.clients[name]; c != nil {
			out = append(out, c)
		}
	}
	return out
}

func (d *shared) apply(snap *settings.Snapshot, clients func(*settings.Service) []*target.Client) {
	site := siteOf(snap)
	all := make(map[string]*target.Client)
	for _, svc := range snap.Services {
		if svc.Kind != settings.KindModel {
			continue
		}
		for _, c := range clients(svc) {
			all[c.Name()] = c
		}
	}
	d.mu.Lock()
	d.clients = all
	d.mu.Unlock()
	d.Apply(site)
}

// siteOf is what links and owners need of a revision of settings.
func siteOf(snap *settings.Snapshot) schedlink.Site {
	site := schedlink.Site{
		ShardTargets:  snap.Site.ShardTargets,
		ProgressEvery: snap.Site.ProgressInterval,
		Tick:          snap.Site.TickInterval,
	}
	power := powerplan.FromSnapshot(snap)
	for name, svc := range snap.Services {
		if svc.Kind != settings.KindModel {
			continue
		}
		site.Services = append(site.Services, schedlink.Service{
			Name:     name,
			Targets:  entry.TargetSpecs(svc),
			Policies: entry.ClassPolicies(snap, name),
			Power:    powerOf(power, name),
		})
	}
	return site
}

func (d *shared) setPower(share *meshpb.PowerShare) {
	valid := time.Duration(share.GetValidMs()) * time.Millisecond
	d.host.SetPower(shard.ID{Service: share.GetService(), Index: share.GetShard()}, share.GetWatts(), valid)
}
