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

// decider places generations on targets.
type decider interface {
	placer.Placer
	// apply applies a settings revision.
	apply(snap *settings.Snapshot, clients func(*settings.Service) []*target.Client)
}

// reportFunc is called with each full load report of an engine.
type reportFunc func(name string, rep *engineapi.LoadReport)

// Values of Config.Scheduler. The baselines are for comparing the owner policy with others in real processes: they do not
// honour the priorities, fair shares and power limits that the settings promise.
const (
	SchedulerOwner       = "owner"
	SchedulerLeastLoaded = "least-loaded"
	SchedulerRoundRobin  = "round-robin"
)

// policyFunc creates the policy of one shard of a service.
type policyFunc func(service string) sched.Policy

// newPolicy returns the constructor selected by Scheduler, or nil if there is none; an empty name selects the owner policy.
func (c *Config) newPolicy() policyFunc { return newPolicies[cmp.Or(c.Scheduler, SchedulerOwner)] }

var newPolicies = map[string]policyFunc{
	SchedulerOwner:       func(service string) sched.Policy { return sched.NewOwner(service, sched.Options{}) },
	SchedulerLeastLoaded: func(string) sched.Policy { return baseline.NewLeastLoaded() },
	SchedulerRoundRobin:  func(string) sched.Policy { return baseline.NewRoundRobin() },
}

// localDecider schedules all model services in this process.
type localDecider struct {
	*placer.Local
	ctx      context.Context
	onReport reportFunc

	mu      sync.Mutex
	pollers map[string]*loadpoll.Poller
}

func newLocalDecider(ctx context.Context, newPolicy policyFunc, onReport reportFunc) *localDecider {
	return &localDecider{
		Local:    placer.NewLocal(ctx, newPolicy, placer.DefaultTick),
		ctx:      ctx,
		onReport: onReport,
		pollers:  make(map[string]*loadpoll.Poller),
	}
}

func (d *localDecider) apply(snap *settings.Snapshot, clients func(*settings.Service) []*target.Client) {
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

func (d *localDecider) poller(service string, feed placer.Feed) *loadpoll.Poller {
	p, ok := d.pollers[service]
	if !ok {
		p = loadpoll.New(d.ctx, feed, loadpoll.DefaultInterval)
		p.OnReport = d.onReport
		d.pollers[service] = p
	}
	return p
}

// setPower limits a service to the sum of its shards' fallback shares: without links to a control process, no current share of the
// power cap is assigned to the entry.
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

// powerOf returns the power limits of a service's shards in plan, which may be nil.
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

// meshDecider requests placements from the owners of shards over the mesh, and schedules the shards that this process owns.
type meshDecider struct {
	*schedlink.Link
	host     *schedlink.Host
	onReport reportFunc

	mu      sync.Mutex
	clients map[string]*target.Client
}

func newMeshDecider(ctx context.Context, instance string, l *links, newPolicy policyFunc, onReport reportFunc) *meshDecider {
	d := &meshDecider{onReport: onReport, clients: make(map[string]*target.Client)}
	d.host = schedlink.NewHost(ctx, schedlink.HostOptions{Self: instance, NewPolicy: newPolicy, Poll: d.poll})
	d.Link = schedlink.NewLink(ctx, schedlink.LinkOptions{Self: instance, Node: l.node, Members: l.members, Host: d.host})
	l.node.Handle(meshpb.StreamKind_STREAM_SCHED, d.host.Serve)
	return d
}

// poll polls the load of the engines of one shard that this process owns.
func (d *meshDecider) poll(ctx context.Context, _ string, feed placer.Feed) func([]string) {
	p := loadpoll.New(ctx, feed, loadpoll.DefaultInterval)
	p.OnReport = d.onReport
	return func(names []string) { p.SetTargets(d.clientsOf(names)) }
}

func (d *meshDecider) clientsOf(names []string) []*target.Client {
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

func (d *meshDecider) apply(snap *settings.Snapshot, clients func(*settings.Service) []*target.Client) {
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

// siteOf returns the part of a settings revision that links and owners need.
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

func (d *meshDecider) setPower(share *meshpb.PowerShare) {
	valid := time.Duration(share.GetValidMs()) * time.Millisecond
	d.host.SetPower(shard.ID{Service: share.GetService(), Index: share.GetShard()}, share.GetWatts(), valid)
}
