package schedlink

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/placer"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/shard"
)

// hostedShard is one shard that this process schedules.
type hostedShard struct {
	id        shard.ID
	epoch     uint64
	runner    *placer.Runner
	setPolled func(names []string) // sets the targets to poll
	capped    atomic.Bool          // a power limit is in force
	hostedAt  time.Time
	cancel    context.CancelFunc

	mu           sync.Mutex // must not be held while calling runner, whose Notify callbacks take mu
	gens         map[ids.Generation]*hostedGen
	queued       int
	meanWait     time.Duration // decayed mean of the time from Submit to Grant
	free         map[string]int
	leaving      map[string]bool
	knownTargets map[string]bool // targets given to the policy
	reported     map[string]bool // targets that have reported or could not be reached
	lastUsed     time.Time
	settling     bool
	deferred     []sched.Request // queued requests received while settling
}

// hostedGen is a generation submitted by an entry.
type hostedGen struct {
	attempt   uint32
	session   *session
	target    string // empty: queued
	priority  int
	submitted time.Time
	preempted bool // sent to the entry, and not yet ended
}

// moveTo moves the generation to another session of its entry.
func (g *hostedGen) moveTo(s *session) {
	if g.target == "" {
		g.session.queued.Add(-1)
		s.queued.Add(1)
	}
	g.session = s
}

const waitWeight = 0.2 // weight of the newest wait in the mean

// submit handles a request of an entry. An entry repeats its requests after a reconnect, and a new owner receives them for
// the first time; both must have the same outcome.
func (h *hostedShard) submit(s *session, r sched.Request) {
	known, missed := h.claim(s, &r)
	if missed != nil {
		s.enqueue(encodeAction(*missed, h.epoch))
	}
	if known || h.deferSubmit(r) || h.runsOnUnknownTarget(r.RunningOn) {
		return
	}
	h.runner.Submit(r, h.deliver)
}

// runsOnUnknownTarget reports whether an attempt runs on a target that the policy does not have, because it is drained. The policy
// would treat it as a request without a target and grant it again.
func (h *hostedShard) runsOnUnknownTarget(target string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return target != "" && !h.knownTargets[target]
}

// deferSubmit defers a queued request while entries are still reporting running generations to a new owner. If it were granted at
// once, the first entry's queue would be added to what other entries run, and the engines would be overloaded.
func (h *hostedShard) deferSubmit(r sched.Request) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.settling || r.RunningOn != "" {
		return false
	}
	h.deferred = append(h.deferred, r)
	return true
}

// settle submits the deferred requests that have not ended in the meantime.
func (h *hostedShard) settle() {
	h.mu.Lock()
	if h.awaitsReports() {
		h.mu.Unlock()
		time.AfterFunc(settleRetry, h.settle)
		return
	}
	h.settling = false
	var ready []sched.Request
	for _, r := range h.deferred {
		if g := h.gens[r.Gen]; g != nil && g.attempt == r.Attempt && g.target == "" {
			ready = append(ready, r)
		}
	}
	h.deferred = nil
	h.mu.Unlock()
	for _, r := range ready {
		h.runner.Submit(r, h.deliver)
	}
}

// settleRetry is the interval at which settle checks whether every target has reported.
const settleRetry = 20 * time.Millisecond

// reportTimeout limits the wait for targets that don't report. The poller detects an unreachable target sooner.
const reportTimeout = 10 * time.Second

// awaitsReports reports whether a new owner under a power cap has to wait for reports of targets. The caller holds mu.
//
// Failure: the previous owner is partitioned or frozen while its generations run on, and entries served by it alone report
// nothing to the new owner. The new owner would start as many again, and the engines together exceed the cap. Each
// target's own report covers all that runs there, and the policy counts it before it grants.
func (h *hostedShard) awaitsReports() bool {
	if !h.capped.Load() || time.Since(h.hostedAt) > reportTimeout {
		return false
	}
	for name := range h.knownTargets {
		if !h.reported[name] {
			return true
		}
	}
	return false
}

// claim assigns the generation to session s. It returns known if the policy already has the attempt in the state that the
// request describes; missed is then the decision that the entry may have missed.
func (h *hostedShard) claim(s *session, r *sched.Request) (known bool, missed *sched.Action) {
	h.mu.Lock()
	g := h.gens[r.Gen]
	h.lastUsed = time.Now()
	if g != nil && g.attempt == r.Attempt {
		g.moveTo(s)
		if g.matches(r) {
			missed = g.missedAction(r)
			h.mu.Unlock()
			return true, missed
		}
	}
	if g != nil && g.attempt > r.Attempt {
		h.mu.Unlock()
		return true, nil
	}
	h.drop(r.Gen)
	h.gens[r.Gen] = &hostedGen{attempt: r.Attempt, session: s, target: r.RunningOn, submitted: time.Now()}
	if r.RunningOn == "" {
		h.queued++
		s.queued.Add(1)
	}
	h.mu.Unlock()
	if g != nil && g.attempt == r.Attempt {
		// Usually it runs on another target than this policy chose, because the entry placed it without the owner. The
		// policy must drop its own placement first, as it ignores a second Submit of the same attempt.
		h.runner.End(r.Gen, r.Attempt, r.Emitted, sched.EndCancelled)
	}
	return false, nil
}

// matches reports whether the owner's state matches the request. An attempt that was granted and preempted without the entry
// receiving either decision is submitted anew.
func (g *hostedGen) matches(r *sched.Request) bool {
	if r.RunningOn == "" {
		return !g.preempted
	}
	return r.RunningOn == g.target
}

// missedAction returns the decision that an entry which repeats its request may have missed, or nil.
func (g *hostedGen) missedAction(r *sched.Request) *sched.Action {
	switch {
	case g.preempted:
		return &sched.Action{Kind: sched.ActPreempt, Gen: r.Gen, Attempt: r.Attempt}
	case r.RunningOn == "" && g.target != "":
		return &sched.Action{Kind: sched.ActGrant, Gen: r.Gen, Attempt: r.Attempt, Target: g.target, Priority: g.priority}
	}
	return nil
}

// drop removes a generation. The caller holds mu.
func (h *hostedShard) drop(id ids.Generation) {
	g := h.gens[id]
	if g == nil {
		return
	}
	delete(h.gens, id)
	if g.target == "" {
		h.queued--
		g.session.queued.Add(-1)
	}
	h.lastUsed = time.Now()
}

// deliver sends a decision to the session that holds the generation. The runner calls it under its own lock.
func (h *hostedShard) deliver(a sched.Action) {
	h.mu.Lock()
	g := h.gens[a.Gen]
	if g == nil || g.attempt != a.Attempt {
		h.mu.Unlock()
		return
	}
	s := g.session
	switch a.Kind {
	case sched.ActGrant:
		h.recordGrant(g, a)
	case sched.ActPreempt:
		g.preempted = true
	case sched.ActRefuse:
		h.drop(a.Gen)
	}
	h.mu.Unlock()
	s.enqueue(encodeAction(a, h.epoch))
}

func (h *hostedShard) recordGrant(g *hostedGen, a sched.Action) {
	if g.target == "" {
		h.queued--
		g.session.queued.Add(-1)
	}
	g.target, g.priority = a.Target, a.Priority
	took := time.Since(g.submitted)
	h.meanWait += time.Duration(waitWeight * float64(took-h.meanWait))
}

// end records the end of an attempt.
func (h *hostedShard) end(id ids.Generation, attempt uint32, tokens int, reason sched.EndReason) {
	h.mu.Lock()
	if g := h.gens[id]; g != nil && g.attempt == attempt {
		h.drop(id)
	}
	h.mu.Unlock()
	h.runner.End(id, attempt, tokens, reason)
}

// dropSession ends the generations still assigned to a session that closed a while ago. An entry that only reconnected has
// claimed its generations on a new session by then.
func (h *hostedShard) dropSession(s *session) {
	type ref struct {
		id      ids.Generation
		attempt uint32
	}
	var gone []ref
	h.mu.Lock()
	for id, g := range h.gens {
		if g.session == s {
			gone = append(gone, ref{id, g.attempt})
			h.drop(id)
		}
	}
	h.mu.Unlock()
	for _, r := range gone {
		h.runner.End(r.id, r.attempt, 0, sched.EndCancelled)
	}
}

// idleFor reports whether the shard has had no generations for longer than d.
func (h *hostedShard) idleFor(d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.gens) == 0 && time.Since(h.lastUsed) > d
}

// digest summarizes the shard for entries that choose between shards.
func (h *hostedShard) digest() *meshpb.ShardDigest {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := &meshpb.ShardDigest{
		Service: h.id.Service,
		Shard:   h.id.Index,
		Epoch:   h.epoch,
		Queued:  uint32(h.queued),
		Running: uint32(len(h.gens) - h.queued),
	}
	for _, n := range h.free {
		d.FreeTokens += uint64(n)
	}
	for name := range h.leaving {
		d.Leaving = append(d.Leaving, name)
	}
	if h.queued > 0 {
		d.ExpectedWaitMs = uint32(h.meanWait.Milliseconds())
	}
	return d
}

// feed forwards reports to the runner and records the free memory for digests.
type feed struct {
	*placer.Runner
	shard *hostedShard
}

// Report implements placer.Feed.
func (f feed) Report(r sched.Report) {
	f.shard.mu.Lock()
	f.shard.free[r.Target] = max(0, r.KVTotal-r.KVUsed)
	delete(f.shard.leaving, r.Target)
	if r.Leaving {
		f.shard.leaving[r.Target] = true
	}
	f.shard.mu.Unlock()
	f.Runner.Report(r)
	f.shard.markReported(r.Target)
}

// TargetGone implements placer.Feed.
func (f feed) TargetGone(target string) {
	f.shard.mu.Lock()
	delete(f.shard.free, target)
	delete(f.shard.leaving, target)
	f.shard.mu.Unlock()
	f.Runner.TargetGone(target)
	f.shard.markReported(target)
}

// markReported records that the policy has the state of a target.
func (h *hostedShard) markReported(target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reported[target] = true
}

// setKnownTargets records the targets that the policy was given.
func (h *hostedShard) setKnownTargets(names []string) {
	known := make(map[string]bool, len(names))
	for _, n := range names {
		known[n] = true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.knownTargets = known
}
