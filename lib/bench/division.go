package bench

import (
	"math/rand/v2"
	"time"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/workload"
)

// Ways to divide the decisions, besides one owner for all targets of the service (PolicyAnvilwick).
const (
	PolicyPerEntry  = "entries-alone"    // each entry decides for its own requests, over all targets, from delayed reports
	PolicySplit2    = "owners-2"         // two owners, each with half of the targets
	PolicySplit5    = "owners-5"         // five owners
	PolicyPerTarget = "owner-per-target" // one owner for each target
)

// Divisions lists the ways to divide the decisions.
var Divisions = []string{PolicyAnvilwick, PolicySplit2, PolicySplit5, PolicyPerTarget, PolicyPerEntry}

// digestEvery is the maximum age of an entry's digest of the owners' loads.
const digestEvery = 500 * time.Millisecond

// division runs several owners as one policy. Entries select the owner of a request as the less loaded of two random ones
// according to digests of the owners' loads, unless each entry has its own owner.
type division struct {
	owners   []sched.Policy
	perEntry bool // every owner has every target and serves one entry
	ownerOf  map[string]int
	targets  int // number of targets
	byGen    map[ids.Generation]int
	load     []int // requests at each owner now
	digest   []int // copy of load as known to the entries
	digestAt sched.Time
	rng      *rand.Rand
}

// ownersOf returns the number of owners of a policy.
func ownersOf(policy string, m *workload.Mix) int {
	switch policy {
	case PolicySplit2:
		return 2
	case PolicySplit5:
		return 5
	case PolicyPerTarget:
		return m.Engines
	case PolicyPerEntry:
		return entries
	}
	return 1
}

func newDivision(owners int, perEntry bool, newOwner func() sched.Policy) *division {
	d := &division{
		perEntry: perEntry,
		ownerOf:  make(map[string]int),
		byGen:    make(map[ids.Generation]int),
		load:     make([]int, owners),
		digest:   make([]int, owners),
		rng:      rand.New(rand.NewPCG(3, 4)),
	}
	for range owners {
		d.owners = append(d.owners, newOwner())
	}
	return d
}

// SetTargets implements sched.Policy.
func (d *division) SetTargets(now sched.Time, specs []sched.TargetSpec) {
	d.targets = len(specs)
	parts := make([][]sched.TargetSpec, len(d.owners))
	for i, s := range specs {
		k := i % len(d.owners)
		d.ownerOf[s.Name] = k
		parts[k] = append(parts[k], s)
	}
	for k, o := range d.owners {
		if d.perEntry {
			o.SetTargets(now, specs)
		} else {
			o.SetTargets(now, parts[k])
		}
	}
}

// SetPolicy implements sched.Policy.
func (d *division) SetPolicy(f sched.PolicyFunc) {
	for _, o := range d.owners {
		o.SetPolicy(f)
	}
}

// SetPower implements sched.Policy. Owners of disjoint targets share the cap; entries that decide independently all use the
// whole cap, because each of them models the draw of every target.
func (d *division) SetPower(now sched.Time, watts float64, until sched.Time, fallback float64) {
	for k, o := range d.owners {
		share := 1.0
		if !d.perEntry {
			share = float64(d.targetCount(k)) / float64(d.targets)
		}
		o.SetPower(now, watts*share, until, fallback*share)
	}
}

func (d *division) targetCount(k int) int {
	n := 0
	for _, owner := range d.ownerOf {
		if owner == k {
			n++
		}
	}
	return n
}

// Submit implements sched.Policy.
func (d *division) Submit(now sched.Time, r sched.Request) {
	k := d.selectOwner(now, r.Gen)
	d.byGen[r.Gen] = k
	d.load[k]++
	d.owners[k].Submit(now, r)
}

func (d *division) selectOwner(now sched.Time, g ids.Generation) int {
	if d.perEntry {
		return flowOf(g) % len(d.owners)
	}
	if now.Sub(d.digestAt) >= digestEvery {
		copy(d.digest, d.load)
		d.digestAt = now
	}
	first, second := d.rng.IntN(len(d.owners)), d.rng.IntN(len(d.owners))
	if d.digest[second] < d.digest[first] {
		return second
	}
	return first
}

// Progress implements sched.Policy.
func (d *division) Progress(now sched.Time, g ids.Generation, attempt uint32, tokens int) {
	if k, ok := d.byGen[g]; ok {
		d.owners[k].Progress(now, g, attempt, tokens)
	}
}

// End implements sched.Policy.
func (d *division) End(now sched.Time, g ids.Generation, attempt uint32, tokens int, reason sched.EndReason) {
	if k, ok := d.byGen[g]; ok {
		delete(d.byGen, g)
		d.load[k]--
		d.owners[k].End(now, g, attempt, tokens, reason)
	}
}

// forOwnersOf calls f for each owner that manages the target.
func (d *division) forOwnersOf(target string, f func(sched.Policy)) {
	for k, o := range d.owners {
		if d.perEntry || d.ownerOf[target] == k {
			f(o)
		}
	}
}

// Report implements sched.Policy.
func (d *division) Report(now sched.Time, r sched.Report) {
	d.forOwnersOf(r.Target, func(o sched.Policy) { o.Report(now, r) })
}

// CacheSnapshot implements sched.Policy.
func (d *division) CacheSnapshot(now sched.Time, target string, prefixes []uint64) {
	d.forOwnersOf(target, func(o sched.Policy) { o.CacheSnapshot(now, target, prefixes) })
}

// CacheStored implements sched.Policy.
func (d *division) CacheStored(now sched.Time, target string, prefix uint64, stored bool) {
	d.forOwnersOf(target, func(o sched.Policy) { o.CacheStored(now, target, prefix, stored) })
}

// TargetGone implements sched.Policy.
func (d *division) TargetGone(now sched.Time, target string) {
	d.forOwnersOf(target, func(o sched.Policy) { o.TargetGone(now, target) })
}

// Tick implements sched.Policy.
func (d *division) Tick(now sched.Time, acts []sched.Action) []sched.Action {
	for k, o := range d.owners {
		from := len(acts)
		acts = o.Tick(now, acts)
		for _, a := range acts[from:] {
			if a.Kind == sched.ActRefuse {
				delete(d.byGen, a.Gen)
				d.load[k]--
			}
		}
	}
	return acts
}
