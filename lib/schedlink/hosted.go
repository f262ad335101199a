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

// hosted is one shard that this process decides for.
type hosted struct {
	id      shard.ID
	epoch   uint64
	runner  *placer.Runner
	targets func(names []string) // what is polled
	capped  atomic.Bool          // a limit on power is in force
	since   time.Time
	cancel  context.CancelFunc

	mu       sync.Mutex // never held while runner is called: its Notify takes mu
	gens     map[ids.Generation]*hostedGen
	queued   int
	wait     time.Duration // decayed mean of the time from Submit to Grant
	free     map[string]int
	leaving  map[string]bool
	known    map[string]bool // targets that the policy was given
	heard    map[string]bool // targets that have reported, or could not be reached
	lastUsed time.Time
	settling bool
	held     []sched.Request // queued requests that came while settling
}

// hostedGen is a generation that an entry asked about.
type hostedGen struct {
	attempt   uint32
	session   *session
	target    string // empty: queued
	priority  int
	submitted time.Time
	preempted bool // told to the entry, and not ended yet
}

// take moves the generation to another session of its entry.
func (g *hostedGen) take(s *session) {
	if g.target == "" {
		g.session.queued.Add(-1)
		s.queued.Add(1)
	}
	g.session = s
}

const waitWeight = 0.2 // of the newest wait in the mean

// submit takes a request of an entry. An entry repeats its requests after its link broke, and a new owner hears them
// for the first time: both must come out the same.
func (h *hosted) submit(s *session, r sched.Request) {
	known, again := h.claim(s, &r)
	if again != nil {
		s.push(downOf(*again, h.epoch))
	}
	if known || h.hold(r) || h.elsewhere(r.RunningOn) {
		return
	}
	h.runner.Submit(r, h.decided)
}

// elsewhere reports whether an attempt runs on a target that the policy was not given: one that is drained. The policy
// would take it for a request without a place and grant it again.
func (h *hosted) elsewhere(target string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return target != "" && !h.known[target]
}

// hold keeps a queued request back while entries still tell a new owner what runs. Granted at once, the first entry's
// queue would be put on top of what the other entries run, and the engines would overflow.
func (h *hosted) hold(r sched.Request) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.settling || r.RunningOn != "" {
		return false
	}
	h.held = append(h.held, r)
	return true
}

// settle passes on what was held, unless it ended meanwhile.
func (h *hosted) settle() {
	h.mu.Lock()
	if h.unheard() {
		h.mu.Unlock()
		time.AfterFunc(settleAgain, h.settle)
		return
	}
	h.settling = false
	var ready []sched.Request
	for _, r := range h.held {
		if g := h.gens[r.Gen]; g != nil && g.attempt == r.Attempt && g.target == "" {
			ready = append(ready, r)
		}
	}
	h.held = nil
	h.mu.Unlock()
	for _, r := range ready {
		h.runner.Submit(r, h.decided)
	}
}

// settleAgain is the time between two looks whether every target was heard.
const settleAgain = 20 * time.Millisecond

// heardWithin bounds the wait for targets that are not heard. The poller knows one that can't be reached sooner.
const heardWithin = 10 * time.Second

// unheard reports whether a new owner under a cap on power must listen on. The caller holds mu.
//
// Failure: the owner before it is cut off or frozen and its generations run on; entries that it alone serves tell the new
// owner nothing of them. It would start as many again, and the engines together pass the cap. Each target's own report
// tells of all that runs there, and the policy counts it before it grants.
func (h *hosted) unheard() bool {
	if !h.capped.Load() || time.Since(h.since) > heardWithin {
		return false
	}
	for name := range h.known {
		if !h.heard[name] {
			return true
		}
	}
	return false
}

// claim books the generation for session s. known: the policy has it already and as it should be; again is then
// what the entry may have missed.
func (h *hosted) claim(s *session, r *sched.Request) (known bool, again *sched.Action) {
	h.mu.Lock()
	g := h.gens[r.Gen]
	h.lastUsed = time.Now()
	if g != nil && g.attempt == r.Attempt {
		g.take(s)
		if g.agrees(r) {
			again = g.unheard(r)
			h.mu.Unlock()
			return true, again
		}
	}
	if g != nil && g.attempt > r.Attempt {
		h.mu.Unlock()
		return true, nil
	}
	h.forget(r.Gen)
	h.gens[r.Gen] = &hostedGen{attempt: r.Attempt, session: s, target: r.RunningOn, submitted: time.Now()}
	if r.RunningOn == "" {
		h.queued++
		s.queued.Add(1)
	}
	h.mu.Unlock()
	if g != nil && g.attempt == r.Attempt {
		// Most often it runs elsewhere than this policy placed it, as the entry decided alone meanwhile. The policy must
		// drop what it believes, for a second Submit of one attempt changes nothing there.
		h.runner.End(r.Gen, r.Attempt, r.Emitted, sched.EndCancelled)
	}
	return false, nil
}

// agrees reports whether the books match what the entry says of the attempt. One that was granted and preempted without
// the entry hearing of either starts anew.
func (g *hostedGen) agrees(r *sched.Request) bool {
	if r.RunningOn == "" {
		return !g.preempted
	}
	return r.RunningOn == g.target
}

// unheard returns the decision that an entry which asks again for an attempt may have missed, or nil.
func (g *hostedGen) unheard(r *sched.Request) *sched.Action {
	switch {
	case g.preempted:
		return &sched.Action{Kind: sched.ActPreempt, Gen: r.Gen, Attempt: r.Attempt}
	case r.RunningOn == "" && g.target != "":
		return &sched.Action{Kind: sched.ActGrant, Gen: r.Gen, Attempt: r.Attempt, Target: g.target, Priority: g.priority}
	}
	return nil
}

// forget drops a generation from the books. The caller holds mu.
func (h *hosted) forget(id ids.Generation) {
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

// decided passes a decision to the entry that holds the generation. The runner calls it under its own lock.
func (h *hosted) decided(a sched.Action) {
	h.mu.Lock()
	g := h.gens[a.Gen]
	if g == nil || g.attempt != a.Attempt {
		h.mu.Unlock()
		return
	}
	s := g.session
	switch a.Kind {
	case sched.ActGrant:
		h.granted(g, a)
	case sched.ActPreempt:
		g.preempted = true
	case sched.ActRefuse:
		h.forget(a.Gen)
	}
	h.mu.Unlock()
	s.push(downOf(a, h.epoch))
}

func (h *hosted) granted(g *hostedGen, a sched.Action) {
	if g.target == "" {
		h.queued--
		g.session.queued.Add(-1)
	}
	g.target, g.priority = a.Target, a.Priority
	took := time.Since(g.submitted)
	h.wait += time.Duration(waitWeight * float64(took-h.wait))
}

// end closes an attempt.
func (h *hosted) end(id ids.Generation, attempt uint32, tokens int, reason sched.EndReason) {
	h.mu.Lock()
	if g := h.gens[id]; g != nil && g.attempt == attempt {
		h.forget(id)
	}
	h.mu.Unlock()
	h.runner.End(id, attempt, tokens, reason)
}

// dropSession ends what is still booked for a session that closed a while ago. An entry whose link only broke has
// claimed its generations on a new session by now.
func (h *hosted) dropSession(s *session) {
	type ref struct {
		id      ids.Generation
		attempt uint32
	}
	var gone []ref
	h.mu.Lock()
	for id, g := range h.gens {
		if g.session == s {
			gone = append(gone, ref{id, g.attempt})
			h.forget(id)
		}
	}
	h.mu.Unlock()
	for _, r := range gone {
		h.runner.End(r.id, r.attempt, 0, sched.EndCancelled)
	}
}

// idle reports whether nothing was booked for d.
func (h *hosted) idle(d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.gens) == 0 && time.Since(h.lastUsed) > d
}

// digest sums the shard up for entries that choose between shards.
func (h *hosted) digest() *meshpb.ShardDigest {
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
		d.ExpectedWaitMs = uint32(h.wait.Milliseconds())
	}
	return d
}

// feed passes reports on to the runner and keeps the free memory for digests.
type feed struct {
	*placer.Runner
	h *hosted
}

// Report implements placer.Feed.
func (f feed) Report(r sched.Report) {
	f.h.mu.Lock()
	f.h.free[r.Target] = max(0, r.KVTotal-r.KVUsed)
	delete(f.h.leaving, r.Target)
	if r.Leaving {
		f.h.leaving[r.Target] = true
	}
	f.h.mu.Unlock()
	f.Runner.Report(r)
	f.h.hears(r.Target)
}

// TargetGone implements placer.Feed.
func (f feed) TargetGone(target string) {
	f.h.mu.Lock()
	delete(f.h.free, target)
	delete(f.h.leaving, target)
	f.h.mu.Unlock()
	f.Runner.TargetGone(target)
	f.h.hears(target)
}

// hears notes that the policy knows of a target's state.
func (h *hosted) hears(target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard[target] = true
}

// knows notes the targets that the policy was given.
func (h *hosted) knows(names []string) {
	known := make(map[string]bool, len(names))
	for _, n := range names {
		known[n] = true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.known = known
}
