package placer

import (
	"context"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/sched"
)

// DefaultTick is the interval between ticks when nothing asks for an earlier one.
const DefaultTick = 10 * time.Millisecond

// Runner drives one sched.Policy: it serialises calls to it, ticks it, and hands each decision to the Notify of its
// generation.
type Runner struct {
	mu     sync.Mutex
	policy sched.Policy
	subs   map[ids.Generation]subscriber
	acts   []sched.Action

	start time.Time
	every time.Duration // between ticks; 0: as Run was told
	kick  chan struct{}
}

type subscriber struct {
	attempt uint32
	notify  Notify
}

var _ Feed = (*Runner)(nil)

// NewRunner returns a Runner of p. Run must be started for decisions to be made.
func NewRunner(p sched.Policy) *Runner {
	return &Runner{
		policy: p,
		subs:   make(map[ids.Generation]subscriber),
		start:  time.Now(),
		kick:   make(chan struct{}, 1),
	}
}

// Now is nanoseconds since the Runner was made.
func (r *Runner) Now() sched.Time { return sched.Time(time.Since(r.start)) }

// SetTick changes the time between ticks, also while the Runner runs; 0: as Run was told.
func (r *Runner) SetTick(every time.Duration) {
	r.mu.Lock()
	changed := r.every != every
	r.every = every
	r.mu.Unlock()
	if changed {
		r.wake()
	}
}

func (r *Runner) tickEvery(told time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.every > 0:
		return r.every
	case told > 0:
		return told
	}
	return DefaultTick
}

// Run ticks the policy every interval, unless SetTick says another, and at once after a Submit or an End, until ctx is
// done.
func (r *Runner) Run(ctx context.Context, interval time.Duration) {
	every := r.tickEvery(interval)
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		if now := r.tickEvery(interval); now != every {
			every = now
			t.Reset(every)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-r.kick:
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

// deliver runs under the lock, so that decisions on one generation keep their order; Notify returns at once.
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
	case r.kick <- struct{}{}:
	default:
	}
}

// Submit asks for a place for q.
func (r *Runner) Submit(q sched.Request, notify Notify) {
	r.mu.Lock()
	r.subs[q.Gen] = subscriber{attempt: q.Attempt, notify: notify}
	r.policy.Submit(r.Now(), q)
	r.mu.Unlock()
	r.wake()
}

// Progress tells how many tokens of g were delivered.
func (r *Runner) Progress(g ids.Generation, attempt uint32, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.Progress(r.Now(), g, attempt, tokens)
}

// End tells that an attempt is over, or withdraws one that is queued.
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

// SetPower sets the shard's share of the power cap; after validFor it falls to fallback watts.
func (r *Runner) SetPower(watts float64, validFor time.Duration, fallback float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	r.policy.SetPower(now, watts, now.Add(validFor), fallback)
}

// Report passes on a target's load report.
func (r *Runner) Report(rep sched.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.Report(r.Now(), rep)
}

// TargetGone tells that a target can't be reached.
func (r *Runner) TargetGone(target string) {
	r.mu.Lock()
	r.policy.TargetGone(r.Now(), target)
	r.mu.Unlock()
	r.wake()
}

// CacheSnapshot replaces what is known of a target's prefix cache.
func (r *Runner) CacheSnapshot(target string, prefixes []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.CacheSnapshot(r.Now(), target, prefixes)
}

// CacheStored passes on one cache event.
func (r *Runner) CacheStored(target string, prefix uint64, stored bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.CacheStored(r.Now(), target, prefix, stored)
}
