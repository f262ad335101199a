package sched

import (
	"anvilwick.example/anvilwick/lib/forecast"
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/length"
	"anvilwick.example/anvilwick/lib/result"
)

// none is the end of a list or an absent index.
const none = int32(-1)

// state is the state of a generation.
type state uint8

const (
	stateFree    state = iota // the slot is on the free list
	stateQueued               // in its group's queue, or in the resume queue
	stateRunning              // granted; its attempt occupies a target
	stateMoving               // preempted by the owner; occupies its target until its End arrives
	stateRefused              // refused in the next tick
)

// gen is one row of the generations table.
type gen struct {
	id           ids.Generation
	state        state
	started      bool // the running attempt has produced a token
	refuse       result.Code
	attempt      uint32
	group        int32
	target       int32 // running and moving only
	prev         int32 // neighbours in its queue or on its target; next also links the free list
	next         int32
	prompt       int
	maxTokens    int
	knownLength  int
	emitted      int // tokens before the running attempt
	tokens       int // tokens so far, as last reported
	cached       int // prompt tokens cached on the target at the grant
	moves        int
	charged      float64 // work charged to its group at the grant
	prefixes     []uint64
	software     string  // version that began it, once it has tokens
	avoid        []int32 // not allocated in steady state: most requests avoid no target
	deadline     Time
	queued       Time // when it was submitted
	granted      Time
	lastUpdate   Time // last update from its entry
	lastProgress Time // when tokens last increased
}

// held returns the memory, in tokens, that the generation takes once it is prefilled.
func (g *gen) held() int { return g.prompt + max(g.tokens, g.emitted) }

// list is a doubly linked list through gen.prev and gen.next.
type list struct {
	head, tail int32
	n          int
}

func newList() list { return list{head: none, tail: none} }

func (o *Owner) pushBack(l *list, i int32) {
	g := &o.gens[i]
	g.prev, g.next = l.tail, none
	if l.tail == none {
		l.head = i
	} else {
		o.gens[l.tail].next = i
	}
	l.tail = i
	l.n++
}

func (o *Owner) remove(l *list, i int32) {
	g := &o.gens[i]
	if g.prev == none {
		l.head = g.next
	} else {
		o.gens[g.prev].next = g.next
	}
	if g.next == none {
		l.tail = g.prev
	} else {
		o.gens[g.next].prev = g.prev
	}
	g.prev, g.next = none, none
	l.n--
}

// alloc takes a slot from the free list, or grows the table.
func (o *Owner) alloc(id ids.Generation) int32 {
	i := o.free
	if i == none {
		i = int32(len(o.gens))
		o.gens = append(o.gens, gen{})
	} else {
		o.free = o.gens[i].next
	}
	avoid := o.gens[i].avoid[:0]
	o.gens[i] = gen{id: id, target: none, prev: none, next: none, avoid: avoid}
	o.byID[id] = i
	return i
}

// release returns the slot of a generation that is in no list to the free list.
func (o *Owner) release(i int32) {
	g := &o.gens[i]
	delete(o.byID, g.id)
	g.state = stateFree
	g.prefixes = nil
	g.next = o.free
	o.free = i
}

// target is one row of the targets table.
type target struct {
	spec        TargetSpec
	listed      bool // contained in the last SetTargets
	gone        bool // TargetGone was called, and no newer report was received
	goneAt      Time
	leavingAt   Time
	reportAt    Time // time of the newest report
	leaving     bool
	incarnation uint64
	kvTotal     int
	maxBatch    int
	remote      int     // sequences placed by others, according to its reports
	remoteKV    float64 // tokens held by those
	wattsExcess float64 // correction of the power model from its reports
	run         list
	moving      int // number in run that are being moved away
	urgent      int // number in run that are urgent
	prefilling  int // number in run without a token yet
	prefillLeft int // their prompt tokens to prefill, as of the grant
	cache       map[uint64]struct{}
	ends        endRing
	stepSeconds float64 // seconds per token, measured
	lastGrant   Time
	lastToken   Time    // last token of any generation on it
	tokenGap    float64 // mean seconds between token updates
	idleSince   Time    // end of the last idle period
	silent      bool
	nextProbe   Time // when a silent target may be probed next
	load        forecast.Load
	exact       forecast.Exact // of generations of known length
	dirty       bool
	loadAt      Time
	reserved    bool // kept free for an aged request in this tick
}

// group is a (workspace, class) pair with its queue.
type group struct {
	workspace string
	class     string
	length    length.Group
	policy    ClassPolicy
	deviation float64 // standard deviations for its memory risk
	queue     list
	vtime     float64 // weighted work granted
	arrivals  rate
	drain     drain
	output    float64 // mean output, decayed
	prompt    float64 // mean prompt, decayed
	residence float64 // mean seconds from grant to end, decayed
	blocked   bool    // none of its requests fits in this tick
}

type groupKey struct{ workspace, class string }
