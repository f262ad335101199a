package sched

import (
	"anvilwick.example/anvilwick/lib/forecast"
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/length"
)

// Owner decides for one shard of a service's targets. It is not safe for concurrent use.
type Owner struct {
	service  string
	opt      Options
	policy   PolicyFunc
	lengths  *length.Estimator
	unlearnt *length.Estimator // for DisableLengths

	gens    []gen
	free    int32
	byID    map[ids.Generation]int32
	targets []target
	byName  map[string]int32
	groups  []group
	byGroup map[groupKey]int32

	resumes list // generations that already gave tokens and wait for a new place
	refused list // answered in the next tick
	queued  int  // over all groups, without resumes

	now         Time    // of the tick in progress
	usable      int     // targets that accept work
	warmOnly    bool    // first pass of a tick: only where the prefix is held
	largestStep float64 // of any group's vtime, decayed
	powerBound  bool    // the cap kept a place from being granted since the last maintenance
	power       power
	headroom    headroom
	virtualTime float64 // vtime of the group granted last
	steps       int     // grid points within the horizon
	victimSteps int
	maintained  Time
	started     bool // maintained is set
	sweepAt     int32
	heard       Time // last Progress about any generation
	cand        candidate
	stats       Stats
	scratch     length.Curve // of a known length, outside cand
}

// candidate is scratch for the generation being placed.
type candidate struct {
	gen     int32
	held    int
	urgent  bool
	warmest int  // prompt tokens that a target has to hold; 0: any
	resumed bool // it gave tokens already
	z       float64
	steps   int
	capped  bool    // a power cap is in force
	spare   float64 // watts under it
	load    forecast.Load
	fixed   length.Curve
}

// NewOwner returns an Owner without targets.
func NewOwner(service string, opt Options) *Owner {
	opt.setDefaults()
	return &Owner{
		service:     service,
		opt:         opt,
		policy:      func(string, string) ClassPolicy { return ClassPolicy{} },
		lengths:     length.New(length.Options{}),
		unlearnt:    length.New(length.Options{}),
		free:        none,
		byID:        make(map[ids.Generation]int32),
		byName:      make(map[string]int32),
		byGroup:     make(map[groupKey]int32),
		resumes:     newList(),
		refused:     newList(),
		steps:       forecast.StepsWithin(opt.HorizonTokens),
		victimSteps: forecast.StepsWithin(opt.VictimSteps),
	}
}

var _ Policy = (*Owner)(nil)

// SetPolicy implements Policy: settings changed.
func (o *Owner) SetPolicy(f PolicyFunc) {
	o.policy = f
	for i := range o.groups {
		o.resolve(&o.groups[i])
	}
}

// resolve reads the policy of a group and fills what it leaves open.
func (o *Owner) resolve(g *group) {
	p := o.policy(g.workspace, g.class)
	orDefault(&p.MaxWait, o.opt.MaxWait)
	orDefault(&p.MaxPreemptions, o.opt.MaxPreemptions)
	orDefault(&p.MemoryRisk, o.opt.MemoryRisk)
	orDefault(&p.Weight, 1)
	g.policy = p
	g.deviation = forecast.Deviations(p.MemoryRisk, o.steps)
}

// groupOf returns the row of a workspace and class, made on first use.
func (o *Owner) groupOf(workspace, class string) int32 {
	key := groupKey{workspace, class}
	if i, ok := o.byGroup[key]; ok {
		return i
	}
	i := int32(len(o.groups))
	o.groups = append(o.groups, group{
		workspace: workspace,
		class:     class,
		length:    o.lengths.Group(workspace, class),
		queue:     newList(),
	})
	o.resolve(&o.groups[i])
	o.byGroup[key] = i
	return i
}

// SetTargets implements Policy. A target that is no longer named keeps what it runs and gets no new work.
func (o *Owner) SetTargets(now Time, specs []TargetSpec) {
	for i := range o.targets {
		o.targets[i].listed = false
	}
	for _, s := range specs {
		o.setTarget(now, s)
	}
}

func (o *Owner) setTarget(now Time, s TargetSpec) {
	i, ok := o.byName[s.Name]
	if !ok {
		i = o.newTarget(now, s.Name)
	}
	t := &o.targets[i]
	t.spec = s
	t.listed = true
	if s.KVTotal > 0 {
		t.kvTotal = s.KVTotal
	}
	if s.MaxBatch > 0 {
		t.maxBatch = s.MaxBatch
	}
}

// newTarget reuses the row of a target that was replaced, so that the table stays as small as the shard.
func (o *Owner) newTarget(now Time, name string) int32 {
	fresh := target{
		spec:      TargetSpec{Name: name},
		run:       newList(),
		cache:     make(map[uint64]struct{}),
		step:      o.opt.StepSeconds,
		idleSince: now,
	}
	for i := range o.targets {
		t := &o.targets[i]
		if !t.listed && t.run.n == 0 {
			delete(o.byName, t.spec.Name)
			*t = fresh
			o.byName[name] = int32(i)
			return int32(i)
		}
	}
	o.targets = append(o.targets, fresh)
	o.byName[name] = int32(len(o.targets) - 1)
	return int32(len(o.targets) - 1)
}

// Report implements Policy. What the owner knows itself goes before a report; a report adds what others placed on
// the target, its sizes, and whether it is leaving. A frozen or missing report therefore costs little.
func (o *Owner) Report(now Time, r Report) {
	i, ok := o.byName[r.Target]
	if !ok {
		return
	}
	t := &o.targets[i]
	at := now.Add(-r.Age)
	if t.gone && at > t.goneAt {
		t.gone = false
	}
	if r.Incarnation != t.incarnation {
		t.incarnation = r.Incarnation
		clear(t.cache)
	}
	if r.KVTotal > 0 {
		t.kvTotal = r.KVTotal
	}
	if r.MaxBatch > 0 {
		t.maxBatch = r.MaxBatch
	}
	if r.Leaving && !t.leaving {
		t.leavingAt = now
	}
	t.leaving = r.Leaving
	if at <= t.reportAt {
		return
	}
	t.reportAt = at
	o.correct(t, at, r)
	t.dirty = true
}

// correct compares a report with what the owner had placed on the target at the time of the report.
func (o *Owner) correct(t *target, at Time, r Report) {
	n, held := t.ends.at(at)
	for i := t.run.head; i != none; i = o.gens[i].next {
		g := &o.gens[i]
		if g.granted > at {
			continue
		}
		n++
		if g.started {
			held += g.held()
		}
	}
	t.foreign = max(r.Running+r.Waiting-n, 0)
	t.foreignKV = 0
	if t.foreign > 0 {
		t.foreignKV = max(float64(r.KVUsed-held), 0)
	}
	model := t.spec.IdleWatts + t.spec.SeqWatts*float64(n+t.foreign)
	excess := r.Watts - model
	t.watts = max(t.watts*wattsDecay, excess, 0)
}

// wattsDecay lets the correction of the power model fade over some reports.
const wattsDecay = 0.8

// CacheSnapshot implements Policy.
func (o *Owner) CacheSnapshot(_ Time, name string, prefixes []uint64) {
	i, ok := o.byName[name]
	if !ok {
		return
	}
	t := &o.targets[i]
	clear(t.cache)
	for _, p := range prefixes {
		t.cache[p] = struct{}{}
	}
}

// CacheStored implements Policy.
func (o *Owner) CacheStored(_ Time, name string, prefix uint64, stored bool) {
	i, ok := o.byName[name]
	if !ok {
		return
	}
	t := &o.targets[i]
	if !stored {
		delete(t.cache, prefix)
		return
	}
	t.cache[prefix] = struct{}{}
}

// TargetGone implements Policy. What ran there is moved in the next tick.
func (o *Owner) TargetGone(now Time, name string) {
	i, ok := o.byName[name]
	if !ok {
		return
	}
	t := &o.targets[i]
	t.gone = true
	t.goneAt = now
	clear(t.cache)
}
