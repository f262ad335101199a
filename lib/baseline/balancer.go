// Package baseline holds ordinary load balancers behind sched.Policy, to compare the scheduler with: in virtual time by
// lib/bench, and in real processes for experiments.
package baseline

import (
	"math"
	"math/rand/v2"
	"time"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/sched"
)

// choose picks one of the backends that have room; it is what tells the baselines apart.
type choose func(b *balancer) *backend

// balancer is what an ordinary load balancer does before engines: one queue by class priority and arrival, a bound on
// the requests in progress at each engine, and a rule to choose an engine. It obeys the same limits as any policy:
// bounded queues and waits, and a bound in progress that keeps all engines together under the power cap. Like an
// ordinary balancer it knows nothing of lengths, memory to come or cached prefixes, and moves nothing that runs.
type balancer struct {
	choose   choose
	rng      *rand.Rand
	policy   sched.PolicyFunc
	backends []backend
	byName   map[string]int
	queue    []*pending // resumes first, then by priority, then by arrival
	places   map[ids.Generation]place
	watts    float64
	next     int // of round-robin
}

// backend is one engine as the balancer sees it.
type backend struct {
	spec     sched.TargetSpec
	inflight int
	gone     bool
	report   sched.Report
}

type pending struct {
	req    sched.Request
	policy sched.ClassPolicy
	since  sched.Time
}

type place struct {
	attempt uint32
	backend int
}

// retryAfter is what the baselines tell callers that they refuse.
const retryAfter = 10 * time.Second

// NewRoundRobin returns the baseline that gives work to engines in turn.
func NewRoundRobin() sched.Policy { return newBalancer(chooseInTurn) }

// NewLeastLoaded returns the baseline that gives work to the engine whose lagging report shows the least load.
func NewLeastLoaded() sched.Policy { return newBalancer(chooseLeastLoaded) }

func newBalancer(c choose) *balancer {
	return &balancer{
		choose: c,
		rng:    rand.New(rand.NewPCG(1, 2)),
		byName: make(map[string]int),
		places: make(map[ids.Generation]place),
	}
}

func chooseInTurn(b *balancer) *backend {
	for range b.backends {
		t := &b.backends[b.next%len(b.backends)]
		b.next++
		if b.hasRoom(t) {
			return t
		}
	}
	return nil
}

// chooseLeastLoaded compares two engines drawn at random. Reports are up to a second old: to take the least loaded of
// all would send everything that arrives between two reports to one engine.
func chooseLeastLoaded(b *balancer) *backend {
	var free []*backend
	for i := range b.backends {
		if b.hasRoom(&b.backends[i]) {
			free = append(free, &b.backends[i])
		}
	}
	if len(free) == 0 {
		return nil
	}
	one := free[b.rng.IntN(len(free))]
	two := free[b.rng.IntN(len(free))]
	if two.load() < one.load() {
		return two
	}
	return one
}

// load is the part of the memory in use; an engine where requests wait counts as full.
func (t *backend) load() float64 {
	if t.report.KVTotal == 0 {
		return 0
	}
	return float64(t.report.KVUsed)/float64(t.report.KVTotal) + float64(t.report.Waiting)
}

// batch is the engine's bound on sequences: of the settings, else of its reports.
func (t *backend) batch() int {
	if t.spec.MaxBatch > 0 {
		return t.spec.MaxBatch
	}
	return max(t.report.MaxBatch, 1)
}

// hasRoom bounds the requests in progress by the batch and by the engine's share of the power cap.
func (b *balancer) hasRoom(t *backend) bool {
	bound := float64(t.batch())
	if t.spec.SeqWatts > 0 && b.watts > 0 {
		share := b.watts/float64(len(b.backends)) - t.spec.IdleWatts
		bound = min(bound, math.Floor(share/t.spec.SeqWatts))
	}
	return !t.gone && float64(t.inflight) < bound
}

// SetTargets implements sched.Policy. A target that is no longer named gets no new work.
func (b *balancer) SetTargets(_ sched.Time, specs []sched.TargetSpec) {
	for i := range b.backends {
		b.backends[i].gone = true
	}
	for _, s := range specs {
		i, ok := b.byName[s.Name]
		if !ok {
			i = len(b.backends)
			b.byName[s.Name] = i
			b.backends = append(b.backends, backend{})
		}
		b.backends[i].spec = s
		b.backends[i].gone = false
	}
}

// SetPolicy implements sched.Policy.
func (b *balancer) SetPolicy(f sched.PolicyFunc) { b.policy = f }

// SetPower implements sched.Policy.
func (b *balancer) SetPower(_ sched.Time, watts float64, _ sched.Time, _ float64) { b.watts = watts }

// Submit implements sched.Policy.
func (b *balancer) Submit(now sched.Time, r sched.Request) {
	p := &pending{req: r, policy: b.policy(r.Workspace, r.Class), since: now}
	at := len(b.queue)
	for at > 0 && p.before(b.queue[at-1]) {
		at--
	}
	b.queue = append(b.queue, nil)
	copy(b.queue[at+1:], b.queue[at:])
	b.queue[at] = p
}

func (p *pending) before(q *pending) bool {
	if resumed := p.req.Emitted > 0; resumed != (q.req.Emitted > 0) {
		return resumed
	}
	return p.policy.Priority > q.policy.Priority
}

// Progress implements sched.Policy.
func (b *balancer) Progress(sched.Time, ids.Generation, uint32, int) {}

// End implements sched.Policy.
func (b *balancer) End(_ sched.Time, g ids.Generation, attempt uint32, _ int, reason sched.EndReason) {
	p, ok := b.places[g]
	if !ok || p.attempt != attempt {
		return
	}
	delete(b.places, g)
	t := &b.backends[p.backend]
	t.inflight--
	if reason == sched.EndStalled {
		t.gone = true
	}
}

// Report implements sched.Policy. A report shows that the engine can be reached again.
func (b *balancer) Report(_ sched.Time, r sched.Report) {
	i, ok := b.byName[r.Target]
	if !ok {
		return
	}
	t := &b.backends[i]
	t.report = r
	t.gone = r.Leaving
}

// CacheSnapshot implements sched.Policy.
func (b *balancer) CacheSnapshot(sched.Time, string, []uint64) {}

// CacheStored implements sched.Policy.
func (b *balancer) CacheStored(sched.Time, string, uint64, bool) {}

// TargetGone implements sched.Policy.
func (b *balancer) TargetGone(_ sched.Time, target string) {
	if i, ok := b.byName[target]; ok {
		b.backends[i].gone = true
	}
}

// Tick implements sched.Policy.
func (b *balancer) Tick(now sched.Time, acts []sched.Action) []sched.Action {
	acts = b.expire(now, acts)
	n := 0
	for _, p := range b.queue {
		t := b.choose(b)
		if t == nil {
			break
		}
		n++
		t.inflight++
		b.places[p.req.Gen] = place{p.req.Attempt, b.byName[t.spec.Name]}
		acts = append(acts, sched.Action{
			Kind:     sched.ActGrant,
			Gen:      p.req.Gen,
			Attempt:  p.req.Attempt,
			Target:   t.spec.Name,
			Priority: p.policy.Priority,
		})
	}
	b.queue = append(b.queue[:0], b.queue[n:]...)
	return acts
}

// expire refuses what waited too long, and what stands beyond the bound of its class's queue.
func (b *balancer) expire(now sched.Time, acts []sched.Action) []sched.Action {
	kept := b.queue[:0]
	length := make(map[[2]string]int)
	for _, p := range b.queue {
		key := [2]string{p.req.Workspace, p.req.Class}
		length[key]++
		over := now.Sub(p.since) > p.policy.MaxWait || length[key] > p.policy.QueueBound
		if !over || p.req.Emitted > 0 {
			kept = append(kept, p)
			continue
		}
		acts = append(acts, sched.Action{
			Kind:       sched.ActRefuse,
			Gen:        p.req.Gen,
			Attempt:    p.req.Attempt,
			Code:       result.QueueFull,
			RetryAfter: retryAfter,
		})
	}
	b.queue = kept
	return acts
}
