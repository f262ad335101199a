package bench

import (
	"math/rand/v2"
	"time"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/workload"
)

// Ways to divide the decisions, beside one owner for all targets of the service (PolicyAnvilwick).
const (
	PolicyPerEntry  = "entries-alone"    // each entry decides for its own requests, over all targets, from lagging reports
	PolicySplit2    = "owners-2"         // two owners, each with half of the targets
	PolicySplit5    = "owners-5"         // five owners
	PolicyPerTarget = "owner-per-target" // one owner for each target
)

// Divisions lists them.
var Divisions = []string{PolicyAnvilwick, PolicySplit2, PolicySplit5, PolicyPerTarget, PolicyPerEntry}

// digestEvery is how old an entry's knowledge of an owner's load may be.
const digestEvery = 500 * time.Millisecond

// division runs several owners as one policy. Entries choose the owner of a request by two random choices over
// digests of the owners' loads, unless each entry has its own owner.
type division struct {
	owners []sched.Policy
	alone  bool // every owner has every target, and serves one entry
	home   map[string]int
	specs  int // targets
	byGen  map[ids.Generation]int
	load   []int // requests at each owner now
	digest []int // the same, as the entries know it
	known  sched.Time
	rng    *rand.Rand
}

// ownersOf returns how many owners a division has.
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

func newDivision(n int, alone bool, newOwner func() sched.Policy) *division {
	d := &division{
		alone:  alone,
		home:   make(map[string]int),
		byGen:  make(map[ids.Generation]int),
		load:   make([]int, n),
		digest: make([]int, n),
		rng:    rand.New(rand.NewPCG(3, 4)),
	}
	for range n {
		d.owners = append(d.owners, newOwner())
	}
	return d
}

// SetTargets implements sched.Policy.
func (d *division) SetTargets(now sched.Time, specs []sched.TargetSpec) {
	d.specs = len(specs)
	parts := make([][]sched.TargetSpec, len(d.owners))
	for i, s := range specs {
		k := i % len(d.owners)
		d.home[s.Name] = k
		parts[k] = append(parts[k], s)
	}
	for k, o := range d.owners {
		if d.alone {
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

// SetPower implements sched.Policy. Owners with targets of their own share the cap; entries that decide alone all work
// against the whole cap, for each models the draw of every target.
func (d *division) SetPower(now sched.Time, watts float64, until sched.Time, fallback float64) {
	for k, o := range d.owners {
		part := 1.0
		if !d.alone {
			part = float64(d.targetsOf(k)) / float64(d.specs)
		}
		o.SetPower(now, watts*part, until, fallback*part)
	}
}

func (d *division) targetsOf(k int) int {
	n := 0
	for _, home := range d.home {
		if home == k {
			n++
		}
	}
	return n
}

// Submit implements sched.Policy.
func (d *division) Submit(now sched.Time, r sched.Request) {
	k := d.route(now, r.Gen)
	d.byGen[r.Gen] = k
	d.load[k]++
	d.owners[k].Submit(now, r)
}

func (d *division) route(now sched.Time, g ids.Generation) int {
	if d.alone {
		return flowOf(g) % len(d.owners)
	}
	if now.Sub(d.known) >= digestEvery {
		copy(d.digest, d.load)
		d.known = now
	}
	one, two := d.rng.IntN(len(d.owners)), d.rng.IntN(len(d.owners))
	if d.digest[two] < d.digest[one] {
		return two
	}
	return one
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

// concerned calls f for the owners that have a target.
func (d *division) concerned(target string, f func(sched.Policy)) {
	for k, o := range d.owners {
		if d.alone || d.home[target] == k {
			f(o)
		}
	}
}

// Report implements sched.Policy.
func (d *division) Report(now sched.Time, r sched.Report) {
	d.concerned(r.Target, func(o sched.Policy) { o.Report(now, r) })
}

// CacheSnapshot implements sched.Policy.
func (d *division) CacheSnapshot(now sched.Time, target string, prefixes []uint64) {
	d.concerned(target, func(o sched.Policy) { o.CacheSnapshot(now, target, prefixes) })
}

// CacheStored implements sched.Policy.
func (d *division) CacheStored(now sched.Time, target string, prefix uint64, stored bool) {
	d.concerned(target, func(o sched.Policy) { o.CacheStored(now, target, prefix, stored) })
}

// TargetGone implements sched.Policy.
func (d *division) TargetGone(now sched.Time, target string) {
	d.concerned(target, func(o sched.Policy) { o.TargetGone(now, target) })
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
