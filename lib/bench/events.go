package bench

import (
	"container/heap"
	"time"

	"anvilwick.example/anvilwick/lib/enginemodel"
	"anvilwick.example/anvilwick/lib/sched"
)

// eventKind identifies an event and the component at which it happens.
type eventKind uint8

const (
	atEntryArrive   eventKind = iota + 1 // flow
	atEntryAction                        // action
	atEntryTokens                        // engine, tokens
	atEntryRefused                       // flow, attempt, engine: the engine ran no part of the attempt
	atEntryBroken                        // engine, n = its incarnation: connections broke
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
	atEngineStep   // engine, n = its incarnation
	atEnginePoll   // engine
	atFault        // fault
)

// event is one entry of the timeline; the fields in use depend on kind.
type event struct {
	at       time.Duration
	seq      uint64 // creation order, breaks ties
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
	cache    *cacheUpdate
	fault    func()
}

type progressItem struct {
	flow    int32
	attempt uint32
	tokens  int
}

type cacheUpdate struct {
	snapshot bool
	prefixes []uint64
	events   []enginemodel.CacheEvent
}

// timeline is a priority queue of events ordered by time.
type timeline struct {
	items   []*event
	created uint64
	free    []*event
}

// Len implements heap.Interface.
func (t *timeline) Len() int { return len(t.items) }

// Less implements heap.Interface.
func (t *timeline) Less(i, j int) bool {
	a, b := t.items[i], t.items[j]
	if a.at != b.at {
		return a.at < b.at
	}
	return a.seq < b.seq
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

// add inserts e.
func (t *timeline) add(e event) {
	t.created++
	e.seq = t.created
	var p *event
	if n := len(t.free); n > 0 {
		p = t.free[n-1]
		t.free = t.free[:n-1]
	} else {
		p = new(event)
	}
	*p = e
	heap.Push(t, p)
}

// next removes and returns the earliest event.
func (t *timeline) next() event {
	p := heap.Pop(t).(*event)
	e := *p
	*p = event{}
	t.free = append(t.free, p)
	return e
}
