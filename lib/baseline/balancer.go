// Package baseline implements conventional load balancers as sched.Policy. The scheduler is compared with them in virtual
// time by lib/bench, and in real processes for experiments.
package baseline

import (
	"math"
	"math/rand/v2"
	"time"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/sched"
)

// selectFunc returns a backend with free capacity, or nil. It is the only difference between the baselines.
type selectFunc func(b *balancer) *backend

// balancer is a conventional load balancer for engines: one queue ordered by class priority and arrival, a bound on the
// requests in progress at each engine, and a rule to select an engine. It obeys the same limits as every policy: bounded
// queues and waits, and a bound on requests in progress that keeps all engines together under the power cap. Like a
// conventional balancer it ignores lengths, future memory use and cached prefixes, and never moves running requests.
type balancer struct {
	selectBackend selectFunc
	rng           *rand.Rand
	policy        sched.PolicyFunc
	backends      []backend
	byName        map[string]int
	queue         []*pending // resumes first, then by priority, then by arrival
	placements    map[ids.Generation]placement
	watts         float64
	next          int // next backend of round-robin
}

// backend is the balancer's state of one engine.
type backend struct {
	spec        sched.TargetSpec
	inflight    int
	unavailable bool
	report      sched.Report
}

type pending struct {
	req    sched.Request
	policy sched.ClassPolicy
	since  sched.Time
}

type placement struct {
	attempt uint32
	backend int
}

// retryAfter is the retry delay returned with refusals.
const retryAfter = 10 * time.Second

// NewRoundRobin returns the baseline that assigns requests to engines in turn.
func NewRoundRobin() sched.Policy { return newBalancer(selectRoundRobin) }

// NewLeastLoaded returns the baseline that assigns requests to the engine whose latest, delayed report shows the least load.
func NewLeastLoaded() sched.Policy { return newBalancer(selectLeastLoaded) }

func newBalancer(selectBackend selectFunc) *balancer {
	return &balancer{
		selectBackend: selectBackend,
		rng:           rand.New(rand.NewPCG(1, 2)),
		byName:        make(map[string]int),
		placements:    make(map[ids.Generation]placement),
	}
}

func selectRoundRobin(b *balancer) *backend {
	for range b.backends {
		t := &b.backends[b.next%len(b.backends)]
		b.next++
		if b.hasCapacity(t) {
			return t
		}
	}
	return nil
}

// selectLeastLoaded compares two engines drawn at random. Reports are up to a second old: selecting the least loaded of all
// engines would send every request that arrives between two reports to the same engine.
func selectLeastLoaded(b *balancer) *backend {
	var candidates []*backend
	for i := range b.backends {
		if b.hasCapacity(&b.backends[i]) {
			candidates = append(candidates, &b.backends[i])
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	first := candidates[b.rng.IntN(len(candidates))]
	second := candidates[b.rng.IntN(len(candidates))]
	if second.load() < first.load() {
		return second
	}
	return first
}

// load returns the fraction of memory in use plus the number of waiting requests, so an engine with a queue counts as full.
func (t *backend) load() float64 {
	if t.report.KVTotal == 0 {
		return 0
	}
	return float64(t.report.KVUsed)/float64(t.report.KVTotal) + float64(t.report.Waiting)
}

// batch returns the engine's maximum batch size, from settings or else from its reports.
func (t *backend) batch() int {
	if t.spec.MaxBatch > 0 {
		return t.spec.MaxBatch
	}
	return max(t.report.MaxBatch, 1)
}

// hasCapacity bounds the requests in progress by the batch size and by the engine's share of the power cap.
func (b *balancer) hasCapacity(t *backend) bool {
	bound := float64(t.batch())
	if t.spec.SeqWatts > 0 && b.watts > 0 {
		share := b.watts/float64(len(b.backends)) - t.spec.IdleWatts
		bound = min(bound, math.Floor(share/t.spec.SeqWatts))
	}
	return !t.unavailable && float64(t.inflight) < bound
}

// SetTargets implements sched.Policy. Targets that are no longer listed get no new requests.
func (b *balancer) SetTargets(_ sched.Time, specs []sched.TargetSpec) {
	for i := range b.backends {
		b.backends[i].unavailable = true
	}
	for _, s := range specs {
		i, ok := b.byName[s.Name]
		if !ok {
			i = len(b.backends)
			b.byName[s.Name] = i
			b.backends = append(b.backends, backend{})
		}
		b.backends[i].spec = s
		b.backends[i].unavailable = false
	}
}

// SetPolicy implements sched.Policy.
func (b *balancer) SetPolicy(f sched.PolicyFunc) { b.policy = f }

// SetPower implements sched.Policy.
func (b *balancer) SetPower(_ sched.Time, watts float64, _ sched.Time, _ float64) { b.watts = watts }

// Submit implements sched.Policy.
func (b *balancer) Submit(now sched.Time, r sched.Request) {
	p := &pending{req: r, policy: b.policy(r.Workspace, r.Class), since: now}
	pos := len(b.queue)
	for pos > 0 && p.before(b.queue[pos-1]) {
		pos--
	}
	b.queue = append(b.queue, nil)
	copy(b.queue[pos+1:], b.queue[pos:])
	b.queue[pos] = p
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
	p, ok := b.placements[g]
	if !ok || p.attempt != attempt {
		return
	}
	delete(b.placements, g)
	t := &b.backends[p.backend]
	t.inflight--
	if reason == sched.EndStalled {
		t.unavailable = true
	}
}

// Report implements sched.Policy. A report shows that the engine is reachable again.
func (b *balancer) Report(_ sched.Time, r sched.Report) {
	i, ok := b.byName[r.Target]
	if !ok {
		return
	}
	t := &b.backends[i]
	t.report = r
	t.unavailable = r.Leaving
}

// CacheSnapshot implements sched.Policy.
func (b *balancer) CacheSnapshot(sched.Time, string, []uint64) {}

// CacheStored implements sched.Policy.
func (b *balancer) CacheStored(sched.Time, string, uint64, bool) {}

// TargetGone implements sched.Policy.
func (b *balancer) TargetGone(_ sched.Time, target string) {
	if i, ok := b.byName[target]; ok {
		b.backends[i].unavailable = true
	}
}

// Tick implements sched.Policy.
func (b *balancer) Tick(now sched.Time, acts []sched.Action) []sched.Action {
	acts = b.expire(now, acts)
	n := 0
	for _, p := range b.queue {
		t := b.selectBackend(b)
		if t == nil {
			break
		}
		n++
		t.inflight++
		b.placements[p.req.Gen] = placement{p.req.Attempt, b.byName[t.spec.Name]}
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

// expire refuses requests that exceed the maximum wait or the bound of their class's queue.
func (b *balancer) expire(now sched.Time, acts []sched.Action) []sched.Action {
	kept := b.queue[:0]
	length := make(map[[2]string]int)
	for _, p := range b.queue {
		key := [2]string{p.req.Workspace, p.req.Class}
		length[key]++
		expired := now.Sub(p.since) > p.policy.MaxWait || length[key] > p.policy.QueueBound
		if !expired || p.req.Emitted > 0 {
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
