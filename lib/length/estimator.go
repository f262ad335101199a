// Package length learns the lengths of outputs while they run.
//
// Nobody knows how long an output will be, but outputs of one workspace and class resemble each other. An Estimator
// keeps, for each (workspace, class), each class and the whole service, a decayed hazard for every length: of the
// outputs that came this far, how many ended here. Outputs that still run count as having come this far, so a cold
// estimator does not mistake the short outputs, which end first, for all of them. Where a workspace has shown
// little, its class speaks, then the service, then a heavy-tailed prior.
//
// An Estimator is for one service. It is not safe for concurrent use.
package length

// Group names a (workspace, class) pair of an Estimator.
type Group int32

// Options tunes an Estimator. The zero value of a field takes its default.
type Options struct {
	Memory   float64 // outputs that each length remembers; older ones fade (default 256)
	Strength float64 // outputs that the parent's view is worth against a group's own (default 8)
}

const (
	defaultMemory   = 256
	defaultStrength = 8
	freshNews       = 16  // a curve is rebuilt after so much news of its own group: lengths passed, and ends
	newsOfEnd       = 4   // what an end counts for
	staleNews       = 512 // or so much of the service
)

// Prior hazards: about half of the outputs end within 200 tokens, and from there each doubling is outlived by 0.6.
const (
	priorShortEnd    = 64
	priorShortHazard = 0.004
	priorTailHazard  = 0.04
)

// hazard counts, for each bucket, outputs that came to it and outputs that ended in it, both decayed.
type hazard struct {
	came, ended [numBuckets]float32
}

func (h *hazard) pass(b int, keep float32) {
	h.came[b] = h.came[b]*keep + 1
	h.ended[b] *= keep
}

func (h *hazard) end(b int, keep float32) {
	h.came[b] = h.came[b]*keep + 1
	h.ended[b] = h.ended[b]*keep + 1
}

type groupNode struct {
	hazard
	class   int32
	curve   Curve
	fresh   int    // news since the curve was built
	builtAt uint64 // Estimator.news when the curve was built
	built   bool
}

type groupKey struct{ workspace, class string }

// Estimator learns the lengths of one service.
type Estimator struct {
	opt     Options
	keep    float32
	news    uint64
	service hazard
	classes []hazard
	groups  []groupNode
	classID map[string]int32
	groupID map[groupKey]Group
}

// New returns an Estimator that has seen nothing.
func New(opt Options) *Estimator {
	if opt.Memory <= 1 {
		opt.Memory = defaultMemory
	}
	if opt.Strength <= 0 {
		opt.Strength = defaultStrength
	}
	return &Estimator{
		opt:     opt,
		keep:    float32(1 - 1/opt.Memory),
		classID: make(map[string]int32),
		groupID: make(map[groupKey]Group),
	}
}

// Group returns the group of a workspace and class, made on first use.
func (e *Estimator) Group(workspace, class string) Group {
	key := groupKey{workspace, class}
	if g, ok := e.groupID[key]; ok {
		return g
	}
	c, ok := e.classID[class]
	if !ok {
		c = int32(len(e.classes))
		e.classes = append(e.classes, hazard{})
		e.classID[class] = c
	}
	g := Group(len(e.groups))
	e.groups = append(e.groups, groupNode{class: c})
	e.groupID[key] = g
	return g
}

// ObserveProgress records that a running output of g, last known to have from tokens, now has to tokens.
func (e *Estimator) ObserveProgress(g Group, from, to int) {
	first, last := bucketOf(from), bucketOf(to)
	if first == last {
		return
	}
	n := &e.groups[g]
	c := &e.classes[n.class]
	n.fresh++
	e.news++
	for b := first; b < last; b++ {
		n.pass(b, e.keep)
		c.pass(b, e.keep)
		e.service.pass(b, e.keep)
	}
}

// ObserveEnd records that an output of g, last known to have from tokens, ended with total tokens.
func (e *Estimator) ObserveEnd(g Group, from, total int) {
	e.ObserveProgress(g, from, total)
	b := bucketOf(max(from, total))
	n := &e.groups[g]
	c := &e.classes[n.class]
	n.end(b, e.keep)
	c.end(b, e.keep)
	e.service.end(b, e.keep)
	n.fresh += newsOfEnd
	e.news += newsOfEnd
}

// Observe records a whole output of total tokens.
func (e *Estimator) Observe(g Group, total int) { e.ObserveEnd(g, 0, total) }

// Curve returns the survival function of g. The pointer stays valid until the next call of Group; its content
// follows what is learnt.
func (e *Estimator) Curve(g Group) *Curve {
	n := &e.groups[g]
	if !n.built || n.fresh >= freshNews || e.news-n.builtAt > staleNews {
		e.rebuild(n)
	}
	return &n.curve
}

// Quantile returns the further tokens that an output of g with had tokens stays within with chance q.
func (e *Estimator) Quantile(g Group, had int, q float64) int { return e.Curve(g).Quantile(had, q) }

// Mean returns the expected further tokens of an output of g with had tokens, none beyond limit (0: no limit).
func (e *Estimator) Mean(g Group, had, limit int) float64 { return e.Curve(g).Mean(had, limit) }

// rebuild blends each level into the next: prior, service, class, group.
func (e *Estimator) rebuild(n *groupNode) {
	k := float32(e.opt.Strength)
	c := &e.classes[n.class]
	reach := float32(1)
	for b := range numBuckets {
		rate := priorHazard(b)
		rate = blend(e.service.ended[b], e.service.came[b], rate, k)
		rate = blend(c.ended[b], c.came[b], rate, k)
		rate = blend(n.ended[b], n.came[b], rate, k)
		n.curve.reach[b] = reach
		reach *= 1 - rate
	}
	n.curve.reach[numBuckets] = 0
	n.built = true
	n.fresh = 0
	n.builtAt = e.news
}

func blend(ended, came, parent, k float32) float32 { return (ended + k*parent) / (came + k) }

func priorHazard(b int) float32 {
	if lowerEdge(b) < priorShortEnd {
		return priorShortHazard
	}
	return priorTailHazard
}
