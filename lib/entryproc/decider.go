package entryproc

import (
	"context"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/entry"
	"anvilwick.example/anvilwick/lib/loadpoll"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/placer"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/settings"
	"anvilwick.example/anvilwick/lib/target"
)

// decider decides for every model service in this process and feeds itself with the engines' reports.
type decider struct {
	ctx   context.Context
	local *placer.Local
	// onReport, when set, sees each whole report; set it before the first settings.
	onReport func(target string, rep *engineapi.LoadReport)

	mu      sync.Mutex
	pollers map[string]*loadpoll.Poller
}

func newDecider(ctx context.Context) *decider {
	newPolicy := func() sched.Policy { return placer.NewLeastLoaded() }
	return &decider{
		ctx:     ctx,
		local:   placer.NewLocal(ctx, newPolicy, placer.DefaultTick),
		pollers: make(map[string]*loadpoll.Poller),
	}
}

// apply takes up a revision of settings.
func (d *decider) apply(snap *settings.Snapshot, clients func(*settings.Service) []*target.Client) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, svc := range snap.Services {
		if svc.Kind != settings.KindModel {
			continue
		}
		r := d.local.Runner(name)
		r.SetPolicy(entry.ClassPolicies(snap, name))
		r.SetTargets(entry.TargetSpecs(svc))
		d.poller(name, r).SetTargets(clients(svc))
	}
	for name, p := range d.pollers {
		if snap.Services[name] == nil {
			p.SetTargets(nil)
		}
	}
}

func (d *decider) poller(service string, feed placer.Feed) *loadpoll.Poller {
	p, ok := d.pollers[service]
	if !ok {
		p = loadpoll.New(d.ctx, feed, loadpoll.DefaultInterval)
		p.OnReport = d.onReport
		d.pollers[service] = p
	}
	return p
}

// setPower puts a share of the site's power in force.
func (d *decider) setPower(share *meshpb.PowerShare) {
	valid := time.Duration(share.GetValidMs()) * time.Millisecond
	d.local.Runner(share.GetService()).SetPower(share.GetWatts(), valid, share.GetFallbackWatts())
}
