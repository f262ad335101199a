package schedlink

import (
	"maps"
	"slices"
	"time"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/placer"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/shard"
)

// item is one attempt that the entry asked a place for, until its End. Link.mu guards it.
type item struct {
	id     shard.ID
	req    sched.Request
	notify placer.Notify
	conn   *ownerConn // nil: no member owns the shard
	since  time.Time  // when it was submitted
	asked  time.Time  // when its owner was first asked
	handle uint32     // short name of the generation on streams
	target string     // where it runs; empty: queued
	self   bool       // placed there without the owner
	tokens int        // delivered, as last told
	dirty  bool       // tokens not yet told to the owner
}

func (it *item) queued() bool { return it.target == "" }

// submit is the message that tells an owner all about the item, whether it heard of it before or not.
func (it *item) submit(now sched.Time) *meshpb.SchedUp {
	return submitOf(it.id, &it.req, it.handle, it.target, now)
}

// progress takes the tokens not yet told.
func (it *item) progress() *meshpb.ProgressItem {
	it.dirty = false
	return &meshpb.ProgressItem{Handle: it.handle, Attempt: it.req.Attempt, Tokens: uint32(it.tokens)}
}

// items is the table of an entry's attempts.
type items map[ids.Generation]*item

// inOrder returns what runs, then what is queued, oldest first: an owner must know what runs before it is asked for
// more, and must not turn the queue round.
func (m items) inOrder() []*item {
	out := slices.Collect(maps.Values(m))
	slices.SortFunc(out, func(a, b *item) int {
		switch {
		case a.queued() == b.queued():
			return a.since.Compare(b.since)
		case b.queued():
			return -1
		default:
			return 1
		}
	})
	return out
}
