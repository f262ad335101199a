package gateway

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fleet"
)

// place chooses a target for the run, or says after what time its caller should come back. A stream that a target has
// turned back takes any target.
func (r *run) place(ctx context.Context, need fleet.Need) (target fleet.Info, ok bool, away time.Duration) {
	if r.c.engine == nil || r.c.sends > 0 {
		target, ok = r.g.acquire(ctx, r.c, need)
		return target, ok, 0
	}
	defer func() { r.waited = time.Since(r.c.arrived) }()
	d := r.await(ctx, need)
	switch d.Action {
	case admit.Go:
		return d.Target, true, 0
	case admit.Away:
		return fleet.Info{}, false, d.After
	}
	target, ok = r.g.acquire(ctx, r.c, need)
	return target, ok, 0
}

// await lets the stream wait for an engine with room.
func (r *run) await(ctx context.Context, need fleet.Need) admit.Decision {
	need.Peak = r.grows()
	s := admit.Stream{
		Arrived: r.c.arrived, Aim: r.c.route.Aim, Keeps: r.c.wait(time.Until(r.c.deadline)), Need: need,
	}
	d := r.g.placer.Step(time.Now(), s)
	for d.Action == admit.Wait && ctx.Err() == nil {
		time.Sleep(admit.Poll)
		d = r.g.placer.Step(time.Now(), s)
	}
	return d
}
