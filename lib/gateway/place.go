package gateway

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/rendezvous"
)

// maxUnknown is how often an owner is asked again that has chosen a target which this instance does not know, or knows to
// leave: lists reach instances some milliseconds apart.
const maxUnknown = 2

// place chooses a target for the run, where it is then counted, or says after what time its caller should come back. With
// neither there is none to be had.
func (r *run) place(ctx context.Context) (to next, away time.Duration) {
	need := r.need()
	to.counted = fleet.Load{Tokens: need.Tokens, Unread: need.Unread}
	if r.c.engine == nil {
		to.target, _ = r.g.acquire(ctx, r.c, need)
		return to, 0
	}
	defer func() { r.waited = time.Since(r.c.arrived) }()
	if !r.awaitRest(ctx, need) {
		return next{}, 0
	}
	if r.g.Owners != nil {
		if found, away, ok := r.placeByOwner(ctx, need); ok {
			found.counted = to.counted
			return found, away
		}
	}
	to.target, away = r.placeAlone(ctx, need)
	return to, away
}

// awaitRest waits while all engines rest, or have a limit that leaves this instance nothing. It reports false at once if that outlasts
// the stream's wait for room.
func (r *run) awaitRest(ctx context.Context, need fleet.Need) bool {
	now := time.Now()
	stand := r.g.Fleet.Availability(now, need)
	if !stand.Blocked() {
		return true
	}
	s := r.stream(need)
	if now.Add(stand.RetryAfter).After(s.WaitDeadline()) {
		return false
	}
	select {
	case <-ctx.Done():
	case <-time.After(stand.RetryAfter):
	}
	return true
}

// stream is the run as a stream that waits for an engine.
func (r *run) stream(need fleet.Need) admit.Stream {
	need.Peak = r.grows()
	return admit.Stream{Arrived: r.c.arrived, Objective: r.c.route.Aim, MaxRetryAfter: r.c.wait(time.Until(r.c.deadline)), Need: need}
}

// placeByOwner lets the owner decide; ok is false when this instance has to. A stream that a target has turned back takes
// any target.
func (r *run) placeByOwner(ctx context.Context, need fleet.Need) (to next, away time.Duration, ok bool) {
	without := make(map[string]bool, len(need.Exclude))
	for id := range need.Exclude {
		without[id] = true
	}
	for _, id := range r.g.Fleet.Avoided(time.Now(), need.Service) {
		without[id] = true
	}
	for range maxUnknown {
		need.Exclude, need.Granted = without, false
		need.PreferredDomain = r.g.Fleet.Domain()
		a := owner.PlaceRequest{Run: rendezvous.Hash(r.c.id), Fingerprint: r.c.print, Stream: r.stream(need)}
		if r.c.sends > 0 {
			a.Mode = owner.Any
		}
		if r.wantsBackup() {
			a.Backup = need.Tokens
		}
		answer, err := r.g.Owners.Place(ctx, a)
		switch {
		case err != nil || answer.Action == admit.Fallback:
			return next{}, 0, false
		case answer.Action == admit.RetryLater:
			return next{}, max(answer.After, time.Millisecond), true
		}
		need.Granted = true
		if target, known := r.g.Fleet.AcquireAt(time.Now(), answer.Target, need); known {
			r.believed = answer.Estimate
			return next{target: target, owned: true, backup: answer.Backup}, 0, true
		}
		without[answer.Target] = true
	}
	return next{}, 0, false
}

// placeAlone decides by what this instance knows.
func (r *run) placeAlone(ctx context.Context, need fleet.Need) (target fleet.Info, away time.Duration) {
	if r.c.sends == 0 {
		d := r.await(ctx, need)
		switch d.Action {
		case admit.Admit:
			return d.Target, 0
		case admit.RetryLater:
			return fleet.Info{}, d.RetryAfter
		}
	}
	target, _ = r.g.acquire(ctx, r.c, need)
	return target, 0
}

// await lets the stream wait for an engine with room.
func (r *run) await(ctx context.Context, need fleet.Need) admit.Decision {
	s := r.stream(need)
	p := r.g.placer
	p.Acquire = func(_ time.Time, need fleet.Need) (fleet.Info, bool) { return r.g.take(ctx, need) }
	d := p.Step(time.Now(), s)
	for d.Action == admit.Wait && ctx.Err() == nil {
		time.Sleep(admit.PollInterval)
		d = p.Step(time.Now(), s)
	}
	return d
}
