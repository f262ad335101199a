package placer

import (
	"context"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/sched"
)

// Local is a Placer that decides for every service inside this process, with one Runner per service.
type Local struct {
	newPolicy func(service string) sched.Policy
	tick      time.Duration
	start     time.Time

	mu      sync.Mutex
	ctx     context.Context
	runners map[string]*Runner
}

var _ Placer = (*Local)(nil)

// NewLocal returns a Local whose Runners run until ctx is done.
func NewLocal(ctx context.Context, newPolicy func(service string) sched.Policy, tick time.Duration) *Local {
	return &Local{
		newPolicy: newPolicy,
		tick:      tick,
		start:     time.Now(),
		ctx:       ctx,
		runners:   make(map[string]*Runner),
	}
}

// Runner returns the Runner of a service, starting it on first use. Callers must pass only service names from the settings.
func (l *Local) Runner(service string) *Runner {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.runners[service]
	if !ok {
		r = NewRunner(l.newPolicy(service))
		r.start = l.start
		l.runners[service] = r
		go r.Run(l.ctx, l.tick)
	}
	return r
}

func (l *Local) lookup(service string) *Runner {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runners[service]
}

// Now returns the nanoseconds since the Local was created; all its Runners share this clock.
func (l *Local) Now() sched.Time { return sched.Time(time.Since(l.start)) }

// Submit implements Placer.
func (l *Local) Submit(service string, q sched.Request, notify Notify) {
	r := l.lookup(service)
	if r == nil {
		notify(sched.Action{Kind: sched.ActRefuse, Gen: q.Gen, Attempt: q.Attempt, Code: result.NoTarget, RetryAfter: time.Second})
		return
	}
	r.Submit(q, notify)
}

// Progress implements Placer.
func (l *Local) Progress(service string, g ids.Generation, attempt uint32, tokens int) {
	if r := l.lookup(service); r != nil {
		r.Progress(g, attempt, tokens)
	}
}

// End implements Placer.
func (l *Local) End(service string, g ids.Generation, attempt uint32, tokens int, reason sched.EndReason) {
	if r := l.lookup(service); r != nil {
		r.End(g, attempt, tokens, reason)
	}
}
