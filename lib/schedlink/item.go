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

// item is one attempt for which the entry requested a placement, until its End. Link.mu guards it.
type item struct {
	id         shard.ID
	req        sched.Request
	notify     placer.Notify
	conn       *ownerConn // nil: no member owns the shard
	submitted  time.Time  // when it was submitted
	requested  time.Time  // when its owner was first sent the request
	handle     uint32     // short identifier of the generation on streams
	target     string     // where it runs; empty: queued
	selfPlaced bool       // placed there without the owner
	tokens     int        // tokens delivered, as last reported
	dirty      bool       // tokens not yet sent to the owner
}

func (it *item) queued() bool { return it.target == "" }

// submit returns the message that reports the full state of the item to an owner; repeating it is harmless.
func (it *item) submit(now sched.Time) *meshpb.SchedUp {
	return encodeSubmit(it.id, &it.req, it.handle, it.target, now)
}

// progress returns the token count to send and marks the item as clean.
func (it *item) progress() *meshpb.ProgressItem {
	it.dirty = false
	return &meshpb.ProgressItem{Handle: it.handle, Attempt: it.req.Attempt, Tokens: uint32(it.tokens)}
}

// items is an entry's attempts by generation.
type items map[ids.Generation]*item

// inOrder returns running items before queued ones, each oldest first: an owner must know what runs before it grants more,
// and must keep the order of the queue.
func (m items) inOrder() []*item {
	out := slices.Collect(maps.Values(m))
	slices.SortFunc(out, func(a, b *item) int {
		switch {
		case a.queued() == b.queued():
			return a.submitted.Compare(b.submitted)
		case b.queued():
			return -1
		default:
			return 1
		}
	})
	return out
}
