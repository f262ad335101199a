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

// runPlacement makes engines run the models that the settings require, while this process holds the lease. The same lease
// enforces the weight store's budget, because only its holder requests transfers.
func (p *Process) runPlacement(ctx context.Context) {
	cfg := p.leaseConfig(leasePlacement)
	lease.Run(ctx, p.store, cfg, func(ctx context.Context, h *lease.Term) {
		defer p.state.trackLease(h)()
		log.Info().Str("event", "lease_held").Str("lease", h.Name()).Uint64("fence", h.Fence()).Msg("")
		pl := &placer{p: p, held: h, engines: newEngines(p.opts.Targets, p.opts.Memory)}
		var polling sync.WaitGroup
		polling.Go(func() { runEvery(ctx, placement.Tick, pl.poll) })
		defer polling.Wait()
		placement.Run(ctx, h, placement.Environment{Store: p.store, Services: pl.services, Order: pl.order, Drain: pl.drain})
	})
}

type placer struct {
	p       *Process
	held    *lease.Term
	engines *engines
}

func (pl *placer) poll(ctx context.Context) { pl.engines.poll(ctx, pl.managed()) }

// managed returns the targets of services that set a model.
func (pl *placer) managed() []settings.Target {
	var out []settings.Target
	for _, svc := range pl.managedServices() {
		out = append(out, svc.Targets...)
	}
	return out
}

func (pl *placer) managedServices() []*settings.Service {
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

func (pl *placer) services() []placement.Service {
	var out []placement.Service
	for _, svc := range pl.managedServices() {
		out = append(out, pl.service(svc))
	}
	return out
}

func (pl *placer) service(svc *settings.Service) placement.Service {
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

func (pl *placer) target(name string) placement.Target {
	t := placement.Target{Name: name, DrainedAt: pl.p.state.drainedSince(name, byPlacement)}
	if r, ok := pl.engines.report(name); ok {
		t.LastReport = &placement.Report{
			State:   placement.State{Model: r.Model, Version: r.ModelVersion, Adapters: r.Adapters},
			At:      r.asOf,
			Running: r.Running + r.Waiting,
			Leaving: r.Leaving,
		}
	}
	return t
}

func (pl *placer) order(ctx context.Context, target string, o engineapi.Order) error {
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

// drain keeps new work from a target while its model changes. It is separate from operators' drains, so that the end of a
// change does not end an operator's drain. The write is conditional on the lease.
func (pl *placer) drain(ctx context.Context, target string, on bool) error {
	rec := drainRecord{On: on, Operator: pl.p.opts.Instance, Time: time.Now().UTC()}
	return pl.p.recordDrain(ctx, target, byPlacement, rec, pl.held.Cond())
}
