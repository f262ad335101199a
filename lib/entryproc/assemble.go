package entryproc

import (
	"context"

	"anvilwick.example/anvilwick/lib/balance"
	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/entry"
	"anvilwick.example/anvilwick/lib/guardlink"
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/limit"
	"anvilwick.example/anvilwick/lib/loadpoll"
	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/membudget"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/poison"
	"anvilwick.example/anvilwick/lib/record"
	"anvilwick.example/anvilwick/lib/settings"
	"anvilwick.example/anvilwick/lib/target"
)

// assemble creates the server and the parts behind it. The listeners are open already; nothing is served yet.
func (p *Process) assemble(ctx context.Context) {
	p.poison = poison.New(poison.DefaultConfig)
	p.prefixes = poison.NewSegmentTable(poison.DefaultSegmentConfig)
	p.limits = limit.NewService(p.limitConfig(), p.cfg.Instance, p.cfg.Incarnation, limitsOf(p.snapshot), p.sendLimits)
	d := p.newDecider(ctx)
	opts := entry.Options{
		Placer:        d,
		Limiter:       limiter{p.limits},
		Poison:        p.poison,
		Prefixes:      p.prefixes,
		FailureDomain: p.cfg.Domain,
		MaxStreams:    p.cfg.MaxStreams,
		Memory:        membudget.New(p.cfg.memoryLimit()),
		Metrics:       p.metrics,
		Clients:       p.clients,
		OnView:        p.viewHook(ctx, d),
	}
	p.clients.Memory = opts.Memory
	p.addStores(ctx, &opts)
	p.server = entry.New(opts)
	mesh, ok := d.(*meshDecider)
	if !ok {
		p.limits.SetView([]string{p.cfg.Instance})
		return
	}
	p.links.join(p.cfg, p.server, mesh, p.limits)
	p.tunnels.join(p.cfg, p.links, opts.Memory, p.isTarget)
	p.guard = guardlink.New(ctx, guardlink.Options{Node: p.links.node, View: p.links.members.View, Limits: p.limits, Poison: p.poison, Segments: p.prefixes})
	go p.guard.Run()
}

func (p *Process) limitConfig() limit.Config {
	if p.links == nil {
		return limit.SingleInstanceConfig()
	}
	return limit.DefaultConfig
}

// snapshot returns the settings in force, or nil.
func (p *Process) snapshot() *settings.Snapshot { return p.server.Snapshot() }

// sendLimits sends a message of the limit service to another entry. Without links there is no other entry to send to.
func (p *Process) sendLimits(to string, up limit.Up) {
	if p.guard != nil {
		p.guard.SendUp(to, up)
	}
}

func (p *Process) newDecider(ctx context.Context) decider {
	newPolicy := p.cfg.newPolicy()
	if p.links == nil {
		return newLocalDecider(ctx, newPolicy, p.onReport)
	}
	return newMeshDecider(ctx, p.cfg.Instance, p.links, newPolicy, p.onReport)
}

// onReport handles the load reports of the engines that this process places requests on.
func (p *Process) onReport(name string, rep *engineapi.LoadReport) {
	p.server.NoteIncarnation(name, rep.Incarnation)
	if p.links != nil {
		p.links.report(name, rep)
	}
}

// viewHook returns the hook that applies a settings revision before requests are accepted under it.
func (p *Process) viewHook(ctx context.Context, d decider) func(*settings.Snapshot, func(*settings.Service) []*target.Client) {
	services := loadpoll.NewServices(ctx, func(service, name string, rep balance.Report) {
		p.server.UpdateServiceLoad(service, name, rep)
	})
	return func(snap *settings.Snapshot, clients func(*settings.Service) []*target.Client) {
		if p.links != nil {
			p.links.members.SetInterval(snap.Site.HeartbeatInterval)
		}
		d.apply(snap, clients)
		plainTargets := make(map[string][]*target.Client)
		for name, svc := range snap.Services {
			if svc.Kind == settings.KindPlain {
				plainTargets[name] = clients(svc)
			}
		}
		services.SetTargets(plainTargets)
	}
}

// addStores adds the state that outlives this process: claims in the platform's table and records at peers.
func (p *Process) addStores(ctx context.Context, opts *entry.Options) {
	if p.cfg.Platform != "" {
		p.claims = newClaims(p.cfg, opts.Memory, p.view, func() *entry.Server { return p.server })
		opts.Claims = entry.TableClaims{Table: p.claims.table}
	}
	if p.links != nil {
		opts.Records = record.New(ctx, record.Options{
			Self:         mesh.Identity{Instance: p.cfg.Instance, Incarnation: p.cfg.Incarnation},
			Node:         p.links.node,
			View:         p.links.members.View,
			OnSuperseded: func(g ids.Generation) { p.server.StopSuperseded(g) },
		})
	}
}

// view returns the current membership view, or nil without links.
func (p *Process) view() *member.View {
	if p.links == nil {
		return nil
	}
	return p.links.members.View()
}
