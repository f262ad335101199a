package sched

import (
	"anvilwick.example/anvilwick/lib/forecast"
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/length"
)

// Owner schedules one shard of a service's targets. It is not safe for concurrent use.
type Owner struct {
	service      string
	opt          Options
	policy       PolicyFunc
	lengths      *length.Estimator
	priorLengths *length.Estimator // for DisableLengths

	gens    []gen
	free    int32
	byID    map[ids.Generation]int32
	targets []target
	byName  map[string]int32
	groups  []group
	byGroup map[groupKey]int32

	resumes list // generations with output that wait for a new target
	refused list // refused in the next tick
	queued  int  // over all groups, without resumes

	now             Time    // of the tick in progress
	usable          int     // targets that accept work
	warmOnly        bool    // first pass of a tick: only targets that hold the prefix
	largestCharge   float64 // largest vtime charge of any group, decayed
	powerBound      bool    // the cap prevented a grant since the last maintenance run
	power           power
	headroom        headroom
	virtualTime     float64 // vtime of the group granted last
	steps           int     // grid points within the horizon
	victimSteps     int
	lastMaintenance Time
	maintainedOnce  bool // lastMaintenance is set
	sweepCursor     int32
	lastProgress    Time // last Progress about any generation
	cand            candidate
	stats           Stats
	scratch         length.Curve // of a known length, outside cand
}

// candidate is scratch space for the generation being placed.
type candidate struct {
	gen       int32
	held      int
	urgent    bool
	minCached int  // minimum of cached prompt tokens on the target; 0: any
	resumed   bool // it already produced tokens
	z         float64
	steps     int
	capped    bool    // a power cap is in force
	spare     float64 // watts under it
	load      forecast.Load
	fixed     length.Curve
}

// NewOwner returns an Owner without targets.
func NewOwner(service string, opt Options) *Owner {
	opt.setDefaults()
	return &Owner{
		service:      service,
		opt:          opt,
		policy:       func(string, string) ClassPolicy { return ClassPolicy{} },
		lengths:      length.New(length.Options{}),
		priorLengths: length.New(length.Options{}),
		free:         none,
		byID:         make(map[ids.Generation]int32),
		byName:       make(map[string]int32),
		byGroup:      make(map[groupKey]int32),
		resumes:      newList(),
		refused:      newList(),
		steps:        forecast.StepsWithin(opt.HorizonTokens),
		victimSteps:  forecast.StepsWithin(opt.VictimSteps),
	}
}

var _ Policy = (*Owner)(nil)

// SetPolicy implements Policy. It resolves the policy of every known group again.
func (o *Owner) SetPolicy(f PolicyFunc) {
	o.policy = f
	for i := range o.groups {
		o.resolve(&o.groups[i])
	}
}

// resolve sets the policy of a group, with defaults for unset fields.
func (o *Owner) resolve(g *group) {
	p := o.policy(g.workspace, g.class)
	orDefault(&p.MaxWait, o.opt.MaxWait)
	if p.MaxPreemptions != NoPreemptions {
		orDefault(&p.MaxPreemptions, o.opt.MaxPreemptions)
	}
	orDefault(&p.MemoryRisk, o.opt.MemoryRisk)
	orDefault(&p.Weight, 1)
	g.policy = p
	g.deviation = forecast.Deviations(p.MemoryRisk, o.steps)
}

// groupOf returns the index of the row for a workspace and class and creates the row on first use.
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

// SetTargets implements Policy. A target that is not in specs keeps its running generations and gets no new work.
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

// newTarget adds a target. It reuses the row of a removed one, so that the table stays as small as the shard.
func (o *Owner) newTarget(now Time, name string) int32 {
	fresh := target{
		spec:        TargetSpec{Name: name},
		run:         newList(),
		cache:       make(map[uint64]struct{}),
		stepSeconds: o.opt.StepSeconds,
		idleSince:   now,
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

// Report implements Policy. The owner's own records take precedence over a report. The report adds work that others placed
// on the target, its sizes, and whether it is leaving. A frozen or missing report therefore has little effect.
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
	o.reconcile(t, at, r)
	t.dirty = true
}

// reconcile compares a report with what the owner had placed on the target when the report was made.
func (o *Owner) reconcile(t *target, at Time, r Report) {
	n, held := t.ends.activeAt(at)
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
	t.remote = max(r.Running+r.Waiting-n, 0)
	t.remoteKV = 0
	if t.remote > 0 {
		t.remoteKV = max(float64(r.KVUsed-held), 0)
	}
	model := t.spec.IdleWatts + t.spec.SeqWatts*float64(n+t.remote)
	excess := r.Watts - model
	t.wattsExcess = max(t.wattsExcess*wattsDecay, excess, 0)
}

// wattsDecay lets the correction of the power model decay over several reports.
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

// TargetGone implements Policy. Generations on the target are moved in the next tick.
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
