package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/rendezvous"
	"anvilwick.example/anvilwick/lib/turn"
)

// How streams wait for an engine, and when they are turned away.
const (
	// placeShare is the part of a route's aim that a stream waits for an engine with room. The rest must do for reading its
	// prompt there.
	placeShare = 0.4
	// placePoll is the pause between two looks for one: about the age of peers' news.
	placePoll = 20 * time.Millisecond
	// readShare is the part of a route's aim within which the prompts that wait on an engine must be read, with the
	// stream's own. Engines that start empty were sent six or seven prompts at once, read one after another, and nine in
	// ten of the last were late.
	readShare = 0.8
	// awayMin is the least time after which a stream that found no room is asked to come back. What frees up sooner goes
	// to streams that wait already.
	awayMin = time.Second
)

// place chooses a target. A stream waits its turn for an engine that has memory for it and can read its prompt in time:
// one sent to a full engine waits there although another has room first, or pushes a run out whose prompt is then read
// again. When none is found within placeShare of its aim it would be late anywhere; away then says when to come back.
// A stream that a target has turned back takes any.
func (r *run) place(ctx context.Context, need fleet.Need) (target fleet.Info, ok bool, away time.Duration) {
	if r.c.engine == nil || r.c.sends > 0 {
		target, ok = r.g.acquire(ctx, r.c, need)
		return target, ok, 0
	}
	defer func() { r.waited = time.Since(r.c.arrived) }()
	until := r.c.arrived.Add(time.Duration(placeShare * float64(r.c.route.Aim)))
	must := need
	must.Must = true
	must.Peak = r.grows()
	me := turn.Entry{ID: rendezvous.Hash(r.c.id), Priority: r.c.priority, Since: r.c.arrived}
	told := false
	defer func() {
		if told {
			r.g.Changed()
		}
	}()
	defer r.g.waiting.Enter(me)()
	for {
		now := time.Now()
		must.Ahead = r.g.waiting.Ahead(now, me)
		must.Reading = r.g.reading.within(r.c.service, time.Duration(readShare*float64(r.c.route.Aim)))
		if target, ok = r.g.Fleet.Acquire(now, must); ok {
			return target, true, 0
		}
		if ctx.Err() != nil || !now.Before(until) {
			break
		}
		if !told {
			told = true
			r.g.Changed()
		}
		time.Sleep(placePoll)
	}
	if ready, _ := r.g.Fleet.Counts(r.c.service); ready > 0 && ctx.Err() == nil {
		return fleet.Info{}, false, r.awayFor()
	}
	target, ok = r.g.acquire(ctx, r.c, need)
	return target, ok, 0
}

// awayFor is how long a stream that found no room should stay away. Engines stay full for seconds, and callers must not
// all come back at once: the time is drawn from all that they keep to.
func (r *run) awayFor() time.Duration {
	most := r.c.wait(time.Until(r.c.deadline))
	if most <= awayMin {
		return most
	}
	return awayMin + rand.N(most-awayMin)
}
