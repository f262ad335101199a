package bench

import (
	"container/heap"
	"time"

	"anvilwick.example/anvilwick/lib/enginemodel"
	"anvilwick.example/anvilwick/lib/sched"
)

// eventKind says where an event happens and what it is.
type eventKind uint8

const (
	atEntryArrive   eventKind = iota + 1 // flow
	atEntryAction                        // action
	atEntryTokens                        // engine, tokens
	atEntryRefused                       // flow, attempt, engine: the engine ran nothing
	atEntryBroken                        // engine, n = its life: connections broke
	atEntryFlush                         // entry
	atOwnerSubmit                        // flow, attempt
	atOwnerProgress                      // progress
	atOwnerEnd                           // flow, attempt, n = tokens, reason
	atOwnerReport                        // report
	atOwnerCache                         // engine, cache
	atOwnerGone                          // engine
	atOwnerPower
	atOwnerTick
	atEngineAdd    // flow, attempt, engine, n = priority
	atEngineCancel // flow, attempt, engine
	atEngineStep   // engine, n = its life
	atEnginePoll   // engine
	atFault        // fault
)

// event is one entry of the timeline; which fields are used depends on kind.
type event struct {
	at       time.Duration
	order    uint64 // breaks ties by order of making
	kind     eventKind
	flow     int32
	engine   int32
	attempt  uint32
	n        int
	reason   sched.EndReason
	action   sched.Action
	report   sched.Report
	tokens   []enginemodel.Event
	progress []progressItem
	cache    *cachePage
	fault    func()
}

type progressItem struct {
	flow    int32
	attempt uint32
	tokens  int
}

type cachePage struct {
	snapshot bool
	prefixes []uint64
	events   []enginemodel.CacheEvent
}

// timeline is a queue of events by time.
type timeline struct {
	items []*event
	made  uint64
	spare []*event
}

// Len implements heap.Interface.
func (t *timeline) Len() int { return len(t.items) }

// Less implements heap.Interface.
func (t *timeline) Less(i, j int) bool {
	a, b := t.items[i], t.items[j]
	if a.at != b.at {
		return a.at < b.at
	}
	return a.order < b.order
}

// Swap implements heap.Interface.
func (t *timeline) Swap(i, j int) { t.items[i], t.items[j] = t.items[j], t.items[i] }

// Push implements heap.Interface.
func (t *timeline) Push(x any) { t.items = append(t.items, x.(*event)) }

// Pop implements heap.Interface.
func (t *timeline) Pop() any {
	last := len(t.items) - 1
	e := t.items[last]
	t.items = t.items[:last]
	return e
}

// add queues e.
func (t *timeline) add(e event) {
	t.made++
	e.order = t.made
	var p *event
	if n := len(t.spare); n > 0 {
		p = t.spare[n-1]
		t.spare = t.spare[:n-1]
	} else {
		p = new(event)
	}
	*p = e
	heap.Push(t, p)
}

// next takes the earliest event out.
func (t *timeline) next() event {
	p := heap.Pop(t).(*event)
	e := *p
	*p = event{}
	t.spare = append(t.spare, p)
	return e
}
