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

// alone is what an entry knows without any owner: what it runs itself on each target, and which failed it lately.
type alone struct {
	rng     *rand.Rand
	running map[string]int // of this entry, by target
	self    map[string]int // of these, placed without the owner
	failed  map[string]time.Time
}

// failedFor is how long a target that failed is kept away from, when there are others.
const failedFor = 5 * time.Second

// retryAfterNoTarget is told to callers when a service has no target.
const retryAfterNoTarget = time.Second

func newAlone(rng *rand.Rand) alone {
	return alone{rng: rng, running: make(map[string]int), self: make(map[string]int), failed: make(map[string]time.Time)}
}

func (a *alone) placed(target string) { a.running[target]++ }

func (a *alone) left(it *item) {
	if it.target == "" {
		return
	}
	decrement(a.running, it.target)
	if it.self {
		decrement(a.self, it.target)
	}
}

func decrement(counts map[string]int, key string) {
	counts[key]--
	if counts[key] <= 0 {
		delete(counts, key)
	}
}

// ended notes what an attempt's end says of its target.
func (a *alone) ended(target string, reason sched.EndReason, now time.Time) {
	switch reason {
	case sched.EndTargetDied, sched.EndStalled, sched.EndTargetRefused:
		if target != "" {
			a.failed[target] = now
		}
	case sched.EndCompleted:
		delete(a.failed, target)
	}
}

// pick takes the less loaded of two random targets that have room. Everyone deciding by the same lagging figures would
// else send to the same one.
func (a *alone) pick(targets, avoid []string, room func(target string, running int) bool, now time.Time) string {
	usable := slices.DeleteFunc(a.usable(targets, avoid, now), func(t string) bool { return !room(t, a.running[t]) })
	if len(usable) == 0 {
		return ""
	}
	i, j := a.rng.IntN(len(usable)), a.rng.IntN(len(usable))
	if a.running[usable[j]] < a.running[usable[i]] {
		return usable[j]
	}
	return usable[i]
}

// usable leaves out targets to avoid and those that failed lately, unless nothing else is left.
func (a *alone) usable(targets, avoid []string, now time.Time) []string {
	out := make([]string, 0, len(targets))
	for _, t := range targets {
		if at, ok := a.failed[t]; ok {
			if now.Sub(at) < failedFor {
				continue
			}
			delete(a.failed, t)
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

// ownerless returns queued items that no owner will answer, most urgent and then oldest first.
func (l *Link) ownerless() []*item {
	var out []*item
	for _, it := range l.items {
		if it.queued() && (it.conn == nil || it.conn.silent) {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b *item) int {
		return cmp.Or(cmp.Compare(l.priority(b), l.priority(a)), a.since.Compare(b.since))
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

// room reports whether this entry may put one more on a target by itself: entries that all decide alone must not
// together put more on an engine than its batch holds, or a silent owner would end in a storm of preemptions. What
// finds no room stays queued, in hope of an owner.
func (l *Link) room(service string) func(target string, running int) bool {
	entries := max(1, len(l.own.workers))
	sp := l.plan[service]
	return func(target string, running int) bool {
		batch := sp.specs[target].MaxBatch
		if batch == 0 {
			batch = assumedBatch
		}
		return running < max(1, batch/entries)
	}
}

// assumedBatch stands for a batch bound that settings leave out.
const assumedBatch = 32

// decideAlone grants an item a target of its shard. The owner is told when it is heard again.
func (l *Link) decideAlone(it *item) {
	targets := l.targetsOf(it.id)
	if len(targets) == 0 {
		l.remove(it.req.Gen)
		it.notify(refuseNoTarget(&it.req))
		return
	}
	if !l.powerRoom(it.id) {
		return
	}
	target := l.alone.pick(targets, it.req.Avoid, l.room(it.id.Service), time.Now())
	if target == "" {
		return
	}
	aloneTotal.Inc()
	grant := sched.Action{Kind: sched.ActGrant, Gen: it.req.Gen, Attempt: it.req.Attempt, Target: target, Priority: l.priority(it)}
	it.target, it.self = target, true
	l.alone.placed(target)
	l.alone.self[target]++
	if it.conn != nil {
		it.conn.send(it.submit(l.Now()))
	}
	it.notify(grant)
}

// targetsOf returns a shard's targets without those that its owner last said are leaving: they must get nothing new, also
// from an entry that decides alone.
func (l *Link) targetsOf(id shard.ID) []string {
	s := l.plan.shard(id)
	if s == nil {
		return nil
	}
	leaving := l.digests[id].GetLeaving()
	return slices.DeleteFunc(slices.Clone(s.Targets), func(t string) bool { return slices.Contains(leaving, t) })
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
