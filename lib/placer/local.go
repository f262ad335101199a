package placer

import (
	"context"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/sched"
)

// Local decides for every service inside this process, one Runner a service.
type Local struct {
	newPolicy func(service string) sched.Policy
	tick      time.Duration
	start     time.Time

	mu      sync.Mutex
	ctx     context.Context
	runners map[string]*Runner
}

var _ Placer = (*Local)(nil)

// NewLocal returns a Local whose Runners live until ctx is done.
func NewLocal(ctx context.Context, newPolicy func(service string) sched.Policy, tick time.Duration) *Local {
	return &Local{
		newPolicy: newPolicy,
		tick:      tick,
		start:     time.Now(),
		ctx:       ctx,
		runners:   make(map[string]*Runner),
	}
}

// Runner returns the Runner of a service and starts it at first use. Only names from settings may be given.
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

func (l *Local) find(service string) *Runner {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runners[service]
}

// Now is nanoseconds since the Local was made; all its Runners share it.
func (l *Local) Now() sched.Time { return sched.Time(time.Since(l.start)) }

// Submit implements Placer.
func (l *Local) Submit(service string, q sched.Request, notify Notify) {
	r := l.find(service)
	if r == nil {
		notify(sched.Action{Kind: sched.ActRefuse, Gen: q.Gen, Attempt: q.Attempt, Code: result.NoTarget, RetryAfter: time.Second})
		return
	}
	r.Submit(q, notify)
}

// Progress implements Placer.
func (l *Local) Progress(service string, g ids.Generation, attempt uint32, tokens int) {
	if r := l.find(service); r != nil {
		r.Progress(g, attempt, tokens)
	}
}

// End implements Placer.
func (l *Local) End(service string, g ids.Generation, attempt uint32, tokens int, reason sched.EndReason) {
	if r := l.find(service); r != nil {
		r.End(g, attempt, tokens, reason)
	}
}
