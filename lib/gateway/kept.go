package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
)

const (
	// defaultHandleTTL is how long a copy is kept for its run where the settings don't say.
	defaultHandleTTL = 5 * time.Second
	// handleMargin is the part of that time left for the request itself.
	handleMargin = 500 * time.Millisecond
	// keptPoll is the interval at which a run that waits checks which engine it may continue at.
	keptPoll = 20 * time.Millisecond
	// minKeptPause and maxKeptPause bound the pause before an engine that has rejected a run without naming a time is tried again; it
	// doubles with each try. A rejection may also mean that the engine no longer has the copy, so that tries without pauses would only
	// add load.
	minKeptPause = 50 * time.Millisecond
	maxKeptPause = 800 * time.Millisecond
	// leavingWindow is how long after its notice a leaving engine is tried again. It serves for some seconds more, but operators are promised
	// that it gets no requests then.
	leavingWindow = 1500 * time.Millisecond
	// evacuationGrace is how long after an evacuation is known a kept run may still continue in the failure domain, where it is not new
	// work. An evacuation has to be in force 5 s after it was stored, and reaches an instance in touch with the store within 2 s.
	evacuationGrace = 1500 * time.Millisecond
	// evacuationPatience is how long a run waits for an engine elsewhere before it makes use of that: longer pauses make streams late.
	evacuationPatience = time.Second
)

// keptRun is a run that executes nowhere, whose memory engines keep until it continues at one of them or the copies expire. An engine that
// rejects the run, or can't be reached, leaves the copies as they were.
type keptRun struct {
	copyFrom   string // address and handle of the copy
	updated    time.Time
	ttl        time.Duration // how long engines keep the copy after its last update
	holders    []*holder     // in order of preference
	rejectedAt time.Time     // for the first time
}

// holder is an engine that keeps a run's memory.
type holder struct {
	target  fleet.Info
	tries   int
	nextTry time.Time
}

// keep returns the run as one that engines keep, by a copy that was last updated at some time.
func (r *run) keep(copyFrom string, updated time.Time, holders ...fleet.Info) *keptRun {
	k := &keptRun{copyFrom: copyFrom, updated: updated, ttl: defaultHandleTTL}
	if e := r.c.engine; e != nil && e.HandleTTL > 0 {
		k.ttl = e.HandleTTL
	}
	for _, t := range holders {
		k.holders = append(k.holders, &holder{target: t})
	}
	return k
}

// expired reports whether the run can't continue any more.
func (k *keptRun) expired(now time.Time) bool {
	return len(k.holders) == 0 || now.Sub(k.updated) >= k.ttl-handleMargin
}

// recordRejection records that an engine did not execute the run. gone says that the engine has ended, and its copy with it.
func (k *keptRun) recordRejection(now time.Time, target string, gone bool) {
	if k.rejectedAt.IsZero() {
		k.rejectedAt = now
	}
	i := slices.IndexFunc(k.holders, func(h *holder) bool { return h.target.ID == target })
	if i < 0 {
		return
	}
	if gone {
		k.holders = slices.Delete(k.holders, i, i+1)
		return
	}
	h := k.holders[i]
	h.nextTry = now.Add(min(minKeptPause<<h.tries, maxKeptPause))
	h.tries++
}

// availableAt returns when the next request may be sent to the engine, according to its own rejections.
func (h *holder) availableAt(f *fleet.Fleet) time.Time {
	if until := f.BackoffUntil(h.target.ID); until.After(h.nextTry) {
		return until
	}
	return h.nextTry
}

// leaves reports whether the engine has been leaving for too long to get another request.
func (h *holder) leaves(now time.Time, f *fleet.Fleet) bool {
	return h.tries > 0 && f.LeavingFor(now, h.target.ID) > leavingWindow
}

// dropEnded drops the engines that have rejected the run and are not listed any more, or have been restarted: their copies are gone.
func (k *keptRun) dropEnded(f *fleet.Fleet) {
	k.holders = slices.DeleteFunc(k.holders, func(h *holder) bool {
		listed, ok := f.Info(h.target.ID)
		return h.tries > 0 && (!ok || listed.Born != h.target.Born)
	})
}

// nextHolder returns the first engine that may now be sent the run; nil if there is none. inGrace says that its failure domain
// is evacuated, and that the run may continue there all the same.
func (r *run) nextHolder(now time.Time, k *keptRun) (h *holder, inGrace bool) {
	for _, h := range k.holders {
		if !now.Before(h.availableAt(r.g.Fleet)) && r.mayContinueAt(now, h) {
			return h, false
		}
	}
	for _, h := range k.holders {
		if !now.Before(h.availableAt(r.g.Fleet)) && r.mayContinueInGrace(now, k, h) {
			return h, true
		}
	}
	return nil, false
}

// mayContinueAt reports whether the run may be sent to an engine, once that is available.
func (r *run) mayContinueAt(now time.Time, h *holder) bool {
	return r.g.Fleet.DomainAllowed(h.target.Domain, r.g.regions(r.c)) && !h.leaves(now, r.g.Fleet)
}

// mayContinueInGrace reports whether the run continues at an engine although the failure domain there has just been evacuated, since it
// would be lost otherwise: no other engine that keeps it is about to be available.
func (r *run) mayContinueInGrace(now time.Time, k *keptRun, h *holder) bool {
	f := r.g.Fleet
	evacuated, ok := f.EvacuatedFor(now, h.target.Domain)
	if r.c.route.MayRepeat() || !ok || evacuated > evacuationGrace {
		return false
	}
	if !f.DomainInRegions(h.target.Domain, r.g.regions(r.c)) || h.leaves(now, f) {
		return false
	}
	patience := now.Add(evacuationGrace - evacuated - 2*keptPoll)
	if until := k.rejectedAt.Add(evacuationPatience); until.Before(patience) {
		patience = until
	}
	return !slices.ContainsFunc(k.holders, func(other *holder) bool {
		return r.mayContinueAt(now, other) && other.availableAt(f).Before(patience)
	})
}

// awaitHolder waits until the run may continue at an engine that keeps it. A run that may be repeated does not wait, since it can begin
// again elsewhere. ok is false if the run can't continue.
func (r *run) awaitHolder(ctx context.Context, k *keptRun) (to placement, ok bool) {
	logged := false
	for ctx.Err() == nil {
		now := time.Now()
		k.dropEnded(r.g.Fleet)
		if k.expired(now) {
			return placement{}, false
		}
		if h, inGrace := r.nextHolder(now, k); h != nil {
			r.g.Budget.ForceTake(now, r.c.service)
			return placement{target: h.target, copyFrom: k.copyFrom, kept: k, recounted: true, inGrace: inGrace}, true
		}
		if r.c.route.MayRepeat() {
			return placement{}, false
		}
		if !logged {
			logged = true
			r.setWaiting()
			r.g.Log.RunKept(r.c.entry(), k, now)
		}
		time.Sleep(keptPoll)
	}
	return placement{}, false
}

// setWaiting marks the run as executing nowhere until it starts again: there is nothing to move.
func (r *run) setWaiting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting = true
}

// misplaced reports whether another target than the expected one has responded.
func (x *exchange) misplaced() bool {
	return x.resp != nil && x.resp.Status == http.StatusMisdirectedRequest
}
