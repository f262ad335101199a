package control

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/lease"
	"anvilwick.example/anvilwick/lib/placement"
	"anvilwick.example/anvilwick/lib/settings"
)

const leasePlacement = "placement"

// place brings engines to the models that the settings want, while this process holds the lease. The weight store's
// budget is kept by the same lease: its holder alone asks for transfers.
func (p *Process) place(ctx context.Context) {
	cfg := p.leaseConfig(leasePlacement)
	lease.Run(ctx, p.store, cfg, func(ctx context.Context, h *lease.Term) {
		defer p.tables.hold(h)()
		log.Info().Str("event", "lease_held").Str("lease", h.Name()).Uint64("fence", h.Fence()).Msg("")
		pl := &placing{p: p, held: h, engines: newEngines(p.opts.Targets)}
		var polling sync.WaitGroup
		polling.Go(func() { every(ctx, placement.Tick, pl.poll) })
		defer polling.Wait()
		placement.Run(ctx, h, placement.Environment{Store: p.store, Services: pl.services, Order: pl.order, Drain: pl.drain})
	})
}

type placing struct {
	p       *Process
	held    *lease.Term
	engines *engines
}

func (pl *placing) poll(ctx context.Context) { pl.engines.poll(ctx, pl.managed()) }

// managed lists the targets of services whose model is set.
func (pl *placing) managed() []settings.Target {
	var out []settings.Target
	for _, svc := range pl.managedServices() {
		out = append(out, svc.Targets...)
	}
	return out
}

func (pl *placing) managedServices() []*settings.Service {
	snap := pl.p.Snapshot()
	if snap == nil {
		return nil
	}
	var out []*settings.Service
	for _, name := range slices.Sorted(maps.Keys(snap.Services)) {
		if svc := snap.Services[name]; svc.Kind == settings.KindModel && svc.Model != "" {
			out = append(out, svc)
		}
	}
	return out
}

func (pl *placing) services() []placement.Service {
	var out []placement.Service
	for _, svc := range pl.managedServices() {
		out = append(out, pl.service(svc))
	}
	return out
}

func (pl *placing) service(svc *settings.Service) placement.Service {
	s := placement.Service{
		Name:          svc.Name,
		IgnoresFences: svc.Fencing != settings.FencingEnforced,
		Want:          placement.State{Model: svc.Model, Version: svc.Version, Adapters: svc.Adapters},
	}
	for _, t := range svc.Targets {
		s.Targets = append(s.Targets, pl.target(t.Name))
	}
	slices.SortFunc(s.Targets, func(a, b placement.Target) int { return strings.Compare(a.Name, b.Name) })
	return s
}

func (pl *placing) target(name string) placement.Target {
	t := placement.Target{Name: name, DrainedAt: pl.p.tables.drainedSince(name, byPlacement)}
	if r, ok := pl.engines.report(name); ok {
		t.LastReport = &placement.Report{
			State:   placement.State{Model: r.Model, Version: r.ModelVersion, Adapters: r.Adapters},
			At:      r.at,
			Running: r.Running + r.Waiting,
			Leaving: r.Leaving,
		}
	}
	return t
}

func (pl *placing) order(ctx context.Context, target string, o engineapi.Order) error {
	snap := pl.p.Snapshot()
	if snap == nil {
		return errNoSettings
	}
	t := findTarget(snap, target)
	if t == nil {
		return ErrNoTarget.New("%s", target)
	}
	err := pl.engines.order(ctx, t.Addr, o)
	e := log.Info()
	if err != nil {
		e = log.Warn().Err(err)
	}
	e.Str("event", "order").Str("target", target).Str("order", o.ID).Str("kind", o.Kind).Str("model", o.Model).
		Str("version", o.Version).Uint64("fence", o.Fence).Msg("")
	return err
}

// drain keeps new work from a target during its change, beside operators' drains and apart from them: the end of a
// change must not end an operator's drain. It is written on the lease's condition.
func (pl *placing) drain(ctx context.Context, target string, on bool) error {
	rec := drainRecord{On: on, Operator: pl.p.opts.Instance, Time: time.Now().UTC()}
	return pl.p.recordDrain(ctx, target, byPlacement, rec, pl.held.Cond())
}
