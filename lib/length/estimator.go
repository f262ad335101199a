// Package length estimates the lengths of outputs while they run.
//
// Output lengths are not known in advance, but outputs of one workspace and class resemble each other. An Estimator keeps, for each
// (workspace, class), each class and the whole service, a decayed hazard per length: the share of the outputs reaching this length that
// ended here. Running outputs count as having reached their current length, so a cold estimator does not take the short outputs, which end
// first, for typical. A workspace with few observations falls back to its class, then to the service, then to a heavy-tailed prior.
//
// An Estimator is for one service. It is not safe for concurrent use.
package length

// Group identifies a (workspace, class) pair of an Estimator.
type Group int32

// Options tunes an Estimator. Zero fields take their defaults.
type Options struct {
	Memory   float64 // number of outputs remembered per length; older ones decay (default 256)
	Strength float64 // weight of the parent's estimate, in outputs of a group's own (default 8)
}

const (
	defaultMemory     = 256
	defaultStrength   = 8
	rebuildAfterLocal = 16  // updates of the group, lengths passed and weighted ends, after which its curve is rebuilt
	endWeight         = 4   // updates that one end counts for
	rebuildAfterTotal = 512 // updates of the whole service after which a curve is rebuilt
)

// Prior hazards: about half of the outputs end within 200 tokens; beyond that, a share of 0.6 survives each doubling.
const (
	priorShortEnd    = 64
	priorShortHazard = 0.004
	priorTailHazard  = 0.04
)

// hazard counts, per bucket, the outputs that reached it and those that ended in it, both decayed.
type hazard struct {
	reached, ended [numBuckets]float32
}

func (h *hazard) addReached(b int, decay float32) {
	h.reached[b] = h.reached[b]*decay + 1
	h.ended[b] *= decay
}

func (h *hazard) addEnded(b int, decay float32) {
	h.reached[b] = h.reached[b]*decay + 1
	h.ended[b] = h.ended[b]*decay + 1
}

type groupNode struct {
	hazard
	class   int32
	curve   Curve
	pending int    // updates since the curve was built
	builtAt uint64 // Estimator.updates when the curve was built
	built   bool
}

type groupKey struct{ workspace, class string }

// Estimator estimates the output lengths of one service.
type Estimator struct {
	opt     Options
	decay   float32
	updates uint64
	service hazard
	classes []hazard
	groups  []groupNode
	classID map[string]int32
	groupID map[groupKey]Group
}

// New returns an Estimator without observations.
func New(opt Options) *Estimator {
	if opt.Memory <= 1 {
		opt.Memory = defaultMemory
	}
	if opt.Strength <= 0 {
		opt.Strength = defaultStrength
	}
	return &Estimator{
		opt:     opt,
		decay:   float32(1 - 1/opt.Memory),
		classID: make(map[string]int32),
		groupID: make(map[groupKey]Group),
	}
}

// Group returns the group of a workspace and class, creating it on first use.
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

// ObserveProgress records that a running output of g, last observed with from tokens, now has to tokens.
func (e *Estimator) ObserveProgress(g Group, from, to int) {
	first, last := bucketOf(from), bucketOf(to)
	if first == last {
		return
	}
	n := &e.groups[g]
	c := &e.classes[n.class]
	n.pending++
	e.updates++
	for b := first; b < last; b++ {
		n.addReached(b, e.decay)
		c.addReached(b, e.decay)
		e.service.addReached(b, e.decay)
	}
}

// ObserveEnd records that an output of g, last observed with from tokens, ended with total tokens.
func (e *Estimator) ObserveEnd(g Group, from, total int) {
	e.ObserveProgress(g, from, total)
	b := bucketOf(max(from, total))
	n := &e.groups[g]
	c := &e.classes[n.class]
	n.addEnded(b, e.decay)
	c.addEnded(b, e.decay)
	e.service.addEnded(b, e.decay)
	n.pending += endWeight
	e.updates += endWeight
}

// Observe records a complete output of total tokens.
func (e *Estimator) Observe(g Group, total int) { e.ObserveEnd(g, 0, total) }

// Curve returns the survival function of g. The pointer stays valid until the next call of Group; its content is updated with new
// observations.
func (e *Estimator) Curve(g Group) *Curve {
	n := &e.groups[g]
	if !n.built || n.pending >= rebuildAfterLocal || e.updates-n.builtAt > rebuildAfterTotal {
		e.rebuild(n)
	}
	return &n.curve
}

// Quantile returns the number of further tokens that an output of g with generated tokens stays within with probability q.
func (e *Estimator) Quantile(g Group, generated int, q float64) int {
	return e.Curve(g).Quantile(generated, q)
}

// Mean returns the expected further tokens of an output of g with generated tokens, with the total capped at limit (0: no limit).
func (e *Estimator) Mean(g Group, generated, limit int) float64 {
	return e.Curve(g).Mean(generated, limit)
}

// rebuild blends the estimates of each level into the next: prior, service, class, group.
func (e *Estimator) rebuild(n *groupNode) {
	k := float32(e.opt.Strength)
	c := &e.classes[n.class]
	reach := float32(1)
	for b := range numBuckets {
		rate := priorHazard(b)
		rate = blend(e.service.ended[b], e.service.reached[b], rate, k)
		rate = blend(c.ended[b], c.reached[b], rate, k)
		rate = blend(n.ended[b], n.reached[b], rate, k)
		n.curve.reach[b] = reach
		reach *= 1 - rate
	}
	n.curve.reach[numBuckets] = 0
	n.built = true
	n.pending = 0
	n.builtAt = e.updates
}

func blend(ended, reached, parent, k float32) float32 { return (ended + k*parent) / (reached + k) }

func priorHazard(b int) float32 {
	if lowerEdge(b) < priorShortEnd {
		return priorShortHazard
	}
	return priorTailHazard
}
