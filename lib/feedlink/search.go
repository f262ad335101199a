package feedlink

import (
	"context"
	"slices"
	"time"

	"anvilwick.example/anvilwick/lib/mesh"
)

// openResult is the result of opening a subscription.
type openResult struct {
	upstream mesh.Peer
	sub      *subscription
	err      error
}

// search queries all readers and relays, those of other failure domains too, for one that is in contact with the store, and
// subscribes to it. lost is the peer that has lost the store; an instance that has the tables through it knows nothing newer, even
// if its last page does not say so yet. Followers don't search: their relay does.
//
// The case behind it: the reader candidates died together with half of the other instances, while the store rejected the relays of
// two failure domains. These tried one dead reader after the other, then the store, and their domains served by settings that were
// 3.7 s old, although the relays of a third domain had new ones. All peers are queried at once, since the time-outs of dead ones
// add up to more than the two seconds within which a change must take effect.
func (t *Syncer) search(ctx context.Context, lost mesh.Peer) bool {
	assignment := t.Assignment()
	if assignment.Role == RoleFollower {
		return false
	}
	now := time.Now()
	results := make(chan openResult)
	pending := 0
	for _, p := range slices.Concat(assignment.Upstreams, assignment.RemoteRelays) {
		if p.Addr == "" || p.Addr == lost.Addr || now.Before(t.avoidances[p.Addr].until) {
			continue
		}
		pending++
		go func() {
			s, err := t.subscribe(ctx, p)
			results <- openResult{upstream: p, sub: s, err: err}
		}()
	}
	for ; pending > 0; pending-- {
		o := <-results
		switch {
		case o.err != nil:
			t.avoidUpstream(ctx, o.upstream, o.err)
		case o.sub.isStale() || o.sub.isCycle() || slices.Contains(o.sub.path, lost.Instance):
			o.sub.close()
		default:
			t.next = o.sub
			go closeRemaining(results, pending-1)
			return true
		}
	}
	return false
}

// closeRemaining closes the subscriptions that are opened after one was chosen.
func closeRemaining(results <-chan openResult, remaining int) {
	for range remaining {
		if o := <-results; o.err == nil {
			o.sub.close()
		}
	}
}
