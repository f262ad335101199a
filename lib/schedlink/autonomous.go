package schedlink

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/shard"
)

// selfPlacer places generations autonomously, without an owner. It knows the entry's own generations on each target and
// the targets that failed recently.
type selfPlacer struct {
	rng         *rand.Rand
	running     map[string]int // generations of this entry, by target
	selfPlaced  map[string]int // those of them placed without the owner
	lastFailure map[string]time.Time
}

// failureBackoff is how long a target is avoided after a failure, if there are others.
const failureBackoff = 5 * time.Second

// retryAfterNoTarget is the Retry-After sent to callers when a service has no target.
const retryAfterNoTarget = time.Second

func newSelfPlacer(rng *rand.Rand) selfPlacer {
	return selfPlacer{rng: rng, running: make(map[string]int), selfPlaced: make(map[string]int), lastFailure: make(map[string]time.Time)}
}

func (p *selfPlacer) recordPlacement(target string) { p.running[target]++ }

func (p *selfPlacer) recordRemoval(it *item) {
	if it.target == "" {
		return
	}
	decrement(p.running, it.target)
	if it.selfPlaced {
		decrement(p.selfPlaced, it.target)
	}
}

func decrement(counts map[string]int, key string) {
	counts[key]--
	if counts[key] <= 0 {
		delete(counts, key)
	}
}

// recordEnd records the outcome of an attempt for its target.
func (p *selfPlacer) recordEnd(target string, reason sched.EndReason, now time.Time) {
	switch reason {
	case sched.EndTargetDied, sched.EndStalled, sched.EndTargetRefused:
		if target != "" {
			p.lastFailure[target] = now
		}
	case sched.EndCompleted:
		delete(p.lastFailure, target)
	}
}

// pick returns the less loaded of two random targets with capacity. If all entries picked the least loaded target by the
// same delayed figures, they would all send to the same one.
func (p *selfPlacer) pick(targets, avoid []string, hasCapacity func(target string, running int) bool, now time.Time) string {
	usable := slices.DeleteFunc(p.usable(targets, avoid, now), func(t string) bool { return !hasCapacity(t, p.running[t]) })
	if len(usable) == 0 {
		return ""
	}
	i, j := p.rng.IntN(len(usable)), p.rng.IntN(len(usable))
	if p.running[usable[j]] < p.running[usable[i]] {
		return usable[j]
	}
	return usable[i]
}

// usable excludes targets in avoid and those that failed recently, unless no other is left.
func (p *selfPlacer) usable(targets, avoid []string, now time.Time) []string {
	out := make([]string, 0, len(targets))
	for _, t := range targets {
		if at, ok := p.lastFailure[t]; ok {
			if now.Sub(at) < failureBackoff {
				continue
			}
			delete(p.lastFailure, t)
		}
		if !slices.Contains(avoid, t) {
			out = append(out, t)
		}
	}
	if len(out) == 0 {
		return slices.Clone(targets)
	}
	return out
}

// ownerless returns queued items that no owner will answer, sorted by descending priority and then by age.
func (l *Link) ownerless() []*item {
	var out []*item
	for _, it := range l.items {
		if it.queued() && (it.conn == nil || it.conn.silent) {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b *item) int {
		return cmp.Or(cmp.Compare(l.priority(b), l.priority(a)), a.submitted.Compare(b.submitted))
	})
	return out
}

func (l *Link) priority(it *item) int {
	sp := l.plan[it.id.Service]
	if sp == nil || sp.Policies == nil {
		return 0
	}
	return sp.Policies(it.req.Workspace, it.req.Class).Priority
}

// hasCapacity returns a function that reports whether this entry may place one more generation on a target by itself. Entries that
// all place without the owner must not together exceed an engine's batch, or a silent owner would cause a storm of
// preemptions. An item without a target stays queued until an owner answers.
func (l *Link) hasCapacity(service string) func(target string, running int) bool {
	entries := max(1, len(l.owners.workers))
	sp := l.plan[service]
	return func(target string, running int) bool {
		batch := sp.specs[target].MaxBatch
		if batch == 0 {
			batch = defaultBatch
		}
		return running < max(1, batch/entries)
	}
}

// defaultBatch is the batch limit of a target for which settings give none.
const defaultBatch = 32

// selfPlace grants an item a target of its shard without the owner. The Submit sent to the owner reports the target.
func (l *Link) selfPlace(it *item) {
	targets := l.targetsFor(&it.req, it.id)
	if len(targets) == 0 {
		l.remove(it.req.Gen)
		it.notify(refuseNoTarget(&it.req))
		return
	}
	if !l.fitsPower(it.id) {
		return
	}
	target := l.selfPlacer.pick(targets, it.req.Avoid, l.hasCapacity(it.id.Service), time.Now())
	if target == "" {
		return
	}
	selfPlacedTotal.Inc()
	grant := sched.Action{Kind: sched.ActGrant, Gen: it.req.Gen, Attempt: it.req.Attempt, Target: target, Priority: l.priority(it)}
	it.target, it.selfPlaced = target, true
	l.selfPlacer.recordPlacement(target)
	l.selfPlacer.selfPlaced[target]++
	if it.conn != nil {
		it.conn.send(it.submit(l.Now()))
	}
	it.notify(grant)
}

// targetsOf returns a shard's targets without those that the owner's last digest lists as leaving: they must get no new
// work, even from an entry that places without the owner.
func (l *Link) targetsOf(id shard.ID) []string {
	s := l.plan.shard(id)
	if s == nil {
		return nil
	}
	leaving := l.digests[id].GetLeaving()
	return slices.DeleteFunc(slices.Clone(s.Targets), func(t string) bool { return slices.Contains(leaving, t) })
}

// targetsFor returns the targets of a shard that may run a request. One that continues a generation may go only to the software version that
// began it.
func (l *Link) targetsFor(r *sched.Request, id shard.ID) []string {
	targets := l.targetsOf(id)
	if r.Emitted == 0 {
		return targets
	}
	specs := l.plan[id.Service].specs
	return slices.DeleteFunc(targets, func(t string) bool { return specs[t].Software != r.Software })
}

func refuseNoTarget(r *sched.Request) sched.Action {
	return sched.Action{
		Kind:       sched.ActRefuse,
		Gen:        r.Gen,
		Attempt:    r.Attempt,
		Code:       result.NoTarget,
		RetryAfter: retryAfterNoTarget,
	}
}
