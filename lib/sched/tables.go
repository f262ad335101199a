package sched

import (
	"anvilwick.example/anvilwick/lib/forecast"
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/length"
	"anvilwick.example/anvilwick/lib/result"
)

// none marks the end of a list and an absent index.
const none = int32(-1)

// state is where a generation is; it is in exactly one.
type state uint8

const (
	stateFree    state = iota // the slot is on the free list
	stateQueued               // waits in its group's queue, or in the resume queue
	stateRunning              // granted; its attempt holds a place on a target
	stateMoving               // preempted by the owner; holds its place until its End comes
	stateRefused              // will be refused in the next tick
)

// gen is one row of the generations table.
type gen struct {
	id       ids.Generation
	state    state
	started  bool // the running attempt gave a token
	refuse   result.Code
	attempt  uint32
	group    int32
	target   int32 // running and moving only
	prev     int32 // neighbours in its queue or on its target; next also links the free list
	next     int32
	prompt   int
	maxTok   int
	known    int
	emitted  int // tokens before the running attempt
	tokens   int // tokens so far, as last reported
	cached   int // prompt tokens that the target held when it was granted
	moves    int
	charged  float64 // work charged to its group at the grant
	prefixes []uint64
	avoid    []int32 // never allocated in steady state: most requests avoid nothing
	deadline Time
	queued   Time // when it was submitted
	granted  Time
	heard    Time // last message about it
	advanced Time // when tokens last grew
}

// held is the memory, in tokens, that the generation takes once it is prefilled.
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

// release gives the slot of a generation that is in no list back.
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
	listed      bool // named by the last SetTargets
	gone        bool // TargetGone was told, and nothing newer was reported
	goneAt      Time
	leavingAt   Time
	reportAt    Time // time of the newest report
	leaving     bool
	incarnation uint64
	kvTotal     int
	maxBatch    int
	foreign     int     // sequences that others placed there, by its reports
	foreignKV   float64 // tokens that those hold
	watts       float64 // correction of the power model by its reports
	run         list
	moving      int // of run, generations being moved away
	urgent      int // of run, urgent ones
	prefilling  int // of run, not started
	prefillLeft int // prompt tokens not yet prefilled, as granted
	cache       map[uint64]struct{}
	ends        endRing
	step        float64 // seconds a token, measured
	lastGrant   Time
	lastToken   Time    // last token of any generation on it
	gap         float64 // mean seconds between news of tokens
	idleSince   Time    // when it last ran nothing
	silent      bool
	probe       Time // when a silent target may be tried again
	load        forecast.Load
	exact       forecast.Exact // of generations whose lengths were told
	dirty       bool
	loadAt      Time
	reserved    bool // held for an aged request in this tick
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
	blocked   bool    // nothing of it fits in this tick
}

type groupKey struct{ workspace, class string }
