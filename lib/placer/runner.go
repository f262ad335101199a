package placer

import (
	"context"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/sched"
)

// DefaultTick is the default interval between ticks.
const DefaultTick = 10 * time.Millisecond

// Runner drives one sched.Policy: it serialises calls to the policy, ticks it, and passes each decision to the Notify of its generation.
type Runner struct {
	mu     sync.Mutex
	policy sched.Policy
	subs   map[ids.Generation]subscriber
	acts   []sched.Action

	start    time.Time
	interval time.Duration // between ticks; 0: as passed to Run
	wakeup   chan struct{}
}

type subscriber struct {
	attempt uint32
	notify  Notify
}

var _ Feed = (*Runner)(nil)

// NewRunner returns a Runner of p. It makes no decisions until Run is called.
func NewRunner(p sched.Policy) *Runner {
	return &Runner{
		policy: p,
		subs:   make(map[ids.Generation]subscriber),
		start:  time.Now(),
		wakeup: make(chan struct{}, 1),
	}
}

// Now returns the nanoseconds since the Runner was created.
func (r *Runner) Now() sched.Time { return sched.Time(time.Since(r.start)) }

// SetTick changes the interval between ticks, also while Run is active; 0: as passed to Run.
func (r *Runner) SetTick(every time.Duration) {
	r.mu.Lock()
	changed := r.interval != every
	r.interval = every
	r.mu.Unlock()
	if changed {
		r.wake()
	}
}

func (r *Runner) tickInterval(fallback time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.interval > 0:
		return r.interval
	case fallback > 0:
		return fallback
	}
	return DefaultTick
}

// Run ticks the policy every interval, unless SetTick overrides it, and immediately after a Submit, End or TargetGone, until ctx is done.
func (r *Runner) Run(ctx context.Context, interval time.Duration) {
	every := r.tickInterval(interval)
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		if now := r.tickInterval(interval); now != every {
			every = now
			t.Reset(every)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-r.wakeup:
		}
		r.tick()
	}
}

func (r *Runner) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acts = r.policy.Tick(r.Now(), r.acts[:0])
	for _, a := range r.acts {
		r.deliver(a)
	}
}

// deliver is called with the lock held, which keeps the order of decisions on a generation; Notify returns immediately.
func (r *Runner) deliver(a sched.Action) {
	s, ok := r.subs[a.Gen]
	if !ok {
		return
	}
	if a.Kind == sched.ActRefuse {
		delete(r.subs, a.Gen)
	}
	s.notify(a)
}

func (r *Runner) wake() {
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

// Submit requests a target for q.
func (r *Runner) Submit(q sched.Request, notify Notify) {
	r.mu.Lock()
	r.subs[q.Gen] = subscriber{attempt: q.Attempt, notify: notify}
	r.policy.Submit(r.Now(), q)
	r.mu.Unlock()
	r.wake()
}

// Progress reports how many tokens of g were delivered.
func (r *Runner) Progress(g ids.Generation, attempt uint32, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.Progress(r.Now(), g, attempt, tokens)
}

// End ends an attempt, or withdraws a queued one.
func (r *Runner) End(g ids.Generation, attempt uint32, tokens int, reason sched.EndReason) {
	r.mu.Lock()
	if s, ok := r.subs[g]; ok && s.attempt == attempt {
		delete(r.subs, g)
	}
	r.policy.End(r.Now(), g, attempt, tokens, reason)
	r.mu.Unlock()
	r.wake()
}

// SetTargets replaces the table of targets.
func (r *Runner) SetTargets(targets []sched.TargetSpec) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.SetTargets(r.Now(), targets)
}

// SetPolicy replaces the policies of workspaces and classes.
func (r *Runner) SetPolicy(f sched.PolicyFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.SetPolicy(f)
}

// SetPower sets the shard's share of the power cap; after validFor it falls back to fallback watts.
func (r *Runner) SetPower(watts float64, validFor time.Duration, fallback float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	r.policy.SetPower(now, watts, now.Add(validFor), fallback)
}

// Report forwards a target's load report to the policy.
func (r *Runner) Report(rep sched.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.Report(r.Now(), rep)
}

// TargetGone reports that a target is unreachable.
func (r *Runner) TargetGone(target string) {
	r.mu.Lock()
	r.policy.TargetGone(r.Now(), target)
	r.mu.Unlock()
	r.wake()
}

// CacheSnapshot replaces the known contents of a target's prefix cache.
func (r *Runner) CacheSnapshot(target string, prefixes []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.CacheSnapshot(r.Now(), target, prefixes)
}

// CacheStored forwards one cache event to the policy.
func (r *Runner) CacheStored(target string, prefix uint64, stored bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.CacheStored(r.Now(), target, prefix, stored)
}
