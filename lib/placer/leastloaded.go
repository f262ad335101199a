package placer

import (
	"slices"
	"time"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/sched"
)

// noTargetRetryAfter is the retry time given to callers when no target of the service is known or reachable.
const noTargetRetryAfter = time.Second

// LeastLoaded is a sched.Policy that grants immediately, to the target with the fewest sequences: the larger of its last report and the
// number of grants that have not ended. It keeps no queue; the engines queue. It is used until a shard's owner is known.
type LeastLoaded struct {
	targets map[string]*loadedTarget
	order   []string
	running map[ids.Generation]string
	pending []sched.Request
}

type loadedTarget struct {
	granted     int
	reported    int
	leaving     bool
	unreachable bool
}

var _ sched.Policy = (*LeastLoaded)(nil)

// NewLeastLoaded returns an empty LeastLoaded.
func NewLeastLoaded() *LeastLoaded {
	return &LeastLoaded{targets: make(map[string]*loadedTarget), running: make(map[ids.Generation]string)}
}

// SetTargets implements sched.Policy.
func (p *LeastLoaded) SetTargets(_ sched.Time, specs []sched.TargetSpec) {
	old := p.targets
	p.targets = make(map[string]*loadedTarget, len(specs))
	p.order = p.order[:0]
	for _, s := range specs {
		t := old[s.Name]
		if t == nil {
			t = &loadedTarget{}
		}
		p.targets[s.Name] = t
		p.order = append(p.order, s.Name)
	}
	slices.Sort(p.order)
}

// SetPolicy implements sched.Policy; LeastLoaded ignores priorities.
func (p *LeastLoaded) SetPolicy(sched.PolicyFunc) {}

// SetPower implements sched.Policy; LeastLoaded ignores power limits.
func (p *LeastLoaded) SetPower(sched.Time, float64, sched.Time, float64) {}

// Submit implements sched.Policy.
func (p *LeastLoaded) Submit(_ sched.Time, r sched.Request) {
	if r.RunningOn != "" {
		p.record(r.Gen, r.RunningOn)
		return
	}
	p.pending = append(p.pending, r)
}

// Progress implements sched.Policy.
func (p *LeastLoaded) Progress(sched.Time, ids.Generation, uint32, int) {}

// End implements sched.Policy.
func (p *LeastLoaded) End(_ sched.Time, g ids.Generation, attempt uint32, _ int, reason sched.EndReason) {
	p.pending = slices.DeleteFunc(p.pending, func(r sched.Request) bool { return r.Gen == g && r.Attempt == attempt })
	name, ok := p.running[g]
	if !ok {
		return
	}
	delete(p.running, g)
	t := p.targets[name]
	if t == nil {
		return
	}
	t.granted--
	if reason == sched.EndTargetDied {
		t.unreachable = true
	}
}

// Report implements sched.Policy.
func (p *LeastLoaded) Report(_ sched.Time, r sched.Report) {
	t := p.targets[r.Target]
	if t == nil {
		return
	}
	t.reported = r.Running + r.Waiting
	t.leaving = r.Leaving
	t.unreachable = false
}

// CacheSnapshot implements sched.Policy.
func (p *LeastLoaded) CacheSnapshot(sched.Time, string, []uint64) {}

// CacheStored implements sched.Policy.
func (p *LeastLoaded) CacheStored(sched.Time, string, uint64, bool) {}

// TargetGone implements sched.Policy.
func (p *LeastLoaded) TargetGone(_ sched.Time, target string) {
	if t := p.targets[target]; t != nil {
		t.unreachable = true
	}
}

// Tick implements sched.Policy.
func (p *LeastLoaded) Tick(_ sched.Time, acts []sched.Action) []sched.Action {
	for _, r := range p.pending {
		acts = append(acts, p.assign(r))
	}
	p.pending = p.pending[:0]
	return acts
}

func (p *LeastLoaded) assign(r sched.Request) sched.Action {
	name := p.pick(r.Avoid)
	if name == "" {
		return sched.Action{Kind: sched.ActRefuse, Gen: r.Gen, Attempt: r.Attempt, Code: result.NoTarget, RetryAfter: noTargetRetryAfter}
	}
	p.record(r.Gen, name)
	return sched.Action{Kind: sched.ActGrant, Gen: r.Gen, Attempt: r.Attempt, Target: name}
}

func (p *LeastLoaded) record(g ids.Generation, name string) {
	p.running[g] = name
	if t := p.targets[name]; t != nil {
		t.granted++
	}
}

// pick returns the least loaded usable target; one in avoid only if there is no other.
func (p *LeastLoaded) pick(avoid []string) string {
	best, bestLoad, bestAvoided := "", 0, false
	for _, name := range p.order {
		t := p.targets[name]
		if t.leaving || t.unreachable {
			continue
		}
		load := max(t.granted, t.reported)
		avoided := slices.Contains(avoid, name)
		preferred := best == "" || (bestAvoided && !avoided) || (bestAvoided == avoided && load < bestLoad)
		if preferred {
			best, bestLoad, bestAvoided = name, load, avoided
		}
	}
	return best
}
