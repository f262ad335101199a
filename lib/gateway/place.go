package gateway

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/rendezvous"
)

// maxUnknownTargets is how often an owner may choose a target that this instance does not know, or knows to be leaving, before
// the instance decides alone. Lists of targets reach instances some milliseconds apart.
const maxUnknownTargets = 2

// place chooses a target for the run and counts the run there, or returns when its caller should retry. If it returns neither,
// no target is available.
func (r *run) place(ctx context.Context) (to placement, retryAfter time.Duration) {
	need := r.need()
	to.load = fleet.Load{Tokens: need.Tokens, Unread: need.Unread}
	if r.c.engine == nil {
		to.target, _ = r.g.acquire(ctx, r.c, need)
		return to, 0
	}
	defer func() { r.waited = time.Since(r.c.arrived) }()
	if !r.awaitUnblocked(ctx, need) {
		return placement{}, 0
	}
	if r.g.Owners != nil {
		if found, retryAfter, ok := r.placeByOwner(ctx, need); ok {
			found.load = to.load
			return found, retryAfter
		}
	}
	to.target, retryAfter = r.placeLocally(ctx, need)
	return to, retryAfter
}

// awaitUnblocked waits while all engines are in back-off or have a limit that leaves this instance no share. It returns false
// at once if that outlasts the stream's wait for capacity.
func (r *run) awaitUnblocked(ctx context.Context, need fleet.Need) bool {
	now := time.Now()
	avail := r.g.Fleet.Availability(now, need)
	if !avail.Blocked() {
		return true
	}
	s := r.admitStream(need)
	if now.Add(avail.RetryAfter).After(s.WaitDeadline()) {
		return false
	}
	select {
	case <-ctx.Done():
	case <-time.After(avail.RetryAfter):
	}
	return true
}

// admitStream describes the run to admission control.
func (r *run) admitStream(need fleet.Need) admit.Stream {
	need.Peak = r.kvSize()
	return admit.Stream{
		Arrived: r.c.arrived, Objective: r.c.route.LatencyObjective, MaxRetryAfter: r.c.boundWait(time.Until(r.c.deadline)), Need: need,
		Workspace: r.c.workspaceHash(), Priority: r.c.priority, GapObjective: r.c.route.GapObjective,
	}
}

// placeByOwner lets the owner choose; ok is false when this instance has to. A stream that a target has rejected accepts any
// target.
func (r *run) placeByOwner(ctx context.Context, need fleet.Need) (to placement, retryAfter time.Duration, ok bool) {
	excluded := make(map[string]bool, len(need.Exclude))
	for id := range need.Exclude {
		excluded[id] = true
	}
	for _, id := range r.g.Fleet.Avoided(time.Now(), need.Service) {
		excluded[id] = true
	}
	describe := false // the owner is asked for the entry of the target, too, which this instance's list may lack
	for range maxUnknownTargets {
		need.Exclude, need.Granted = excluded, false
		need.PreferredDomain = r.g.Fleet.Domain()
		req := owner.PlaceRequest{Run: rendezvous.Hash(r.c.id), Fingerprint: r.c.contentHash, Stream: r.admitStream(need)}
		if r.c.sends > 0 || r.c.continues() {
			req.Mode = owner.Any
		}
		if r.wantsBackup() {
			req.Backup = need.Tokens
		}
		req.Describe = describe
		answer, err := r.g.Owners.Place(ctx, req)
		switch {
		case err != nil || answer.Action == admit.Fallback:
			return placement{}, 0, false
		case answer.Action == admit.RetryLater:
			return placement{}, max(answer.After, time.Millisecond), true
		}
		need.Granted = true
		if target, known := r.g.Fleet.AcquireAt(time.Now(), answer.Target, need); known {
			r.lastKnown = answer.Estimate
			return placement{target: target, byOwner: true, backup: answer.Backup}, 0, true
		}
		if _, listed := r.g.Fleet.Info(answer.Target); !listed && !describe {
			describe = true
			continue
		}
		excluded[answer.Target] = true
	}
	return placement{}, 0, false
}

// placeLocally chooses a target from this instance's own state.
func (r *run) placeLocally(ctx context.Context, need fleet.Need) (target fleet.Info, retryAfter time.Duration) {
	if r.c.sends == 0 && !r.c.continues() {
		d := r.awaitCapacity(ctx, need)
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

// awaitCapacity waits until an engine has free capacity for the stream or admission control rejects it.
func (r *run) awaitCapacity(ctx context.Context, need fleet.Need) admit.Decision {
	s := r.admitStream(need)
	p := r.g.placer
	p.Acquire = func(_ time.Time, need fleet.Need) (fleet.Info, bool) { return r.g.acquirePermitted(ctx, need) }
	d := p.Step(time.Now(), s)
	for d.Action == admit.Wait && ctx.Err() == nil && !r.g.endsTooLate(r.c) {
		time.Sleep(admit.PollInterval)
		d = p.Step(time.Now(), s)
	}
	return d
}
