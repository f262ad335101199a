package feedlink

import (
	"context"
	"slices"
	"time"

	"anvilwick.example/anvilwick/lib/mesh"
)

// opened is how opening a subscription ended.
type opened struct {
	reader mesh.Peer
	s      *subscription
	err    error
}

// search looks for one that has the store's word among all that read or relay, in other failure domains, too, and
// subscribes to it. lost is the one that has lost the store; who has the tables through it knows nothing newer, although its last
// page may not say so yet. Those that only follow leave it to the one that relays to them.
//
// Failure: the instances that read for all died with half of the others while the store turned away those that relay in two
// failure domains. These asked one dead reader after the other, then the store, and their domains served by settings that
// were 3.7 s old, although those that relay in a third domain had new ones. All are asked at once, since time-outs of dead
// ones add up to more than the two seconds in which a change is to be in force.
func (t *Syncer) search(ctx context.Context, lost mesh.Peer) bool {
	place := t.Assignment()
	if place.Role == RoleFollower {
		return false
	}
	now := time.Now()
	found := make(chan opened)
	asked := 0
	for _, p := range slices.Concat(place.Upstreams, place.RemoteRelays) {
		if p.Addr == "" || p.Addr == lost.Addr || now.Before(t.avoid[p.Addr].until) {
			continue
		}
		asked++
		go func() {
			s, err := t.open(ctx, p)
			found <- opened{reader: p, s: s, err: err}
		}()
	}
	for ; asked > 0; asked-- {
		o := <-found
		switch {
		case o.err != nil:
			t.doubt(ctx, o.reader, o.err)
		case o.s.behind() || o.s.circular() || slices.Contains(o.s.path, lost.Instance):
			o.s.close()
		default:
			t.better = o.s
			go closeRest(found, asked-1)
			return true
		}
	}
	return false
}

// closeRest closes what is opened later than the one that is used.
func closeRest(found <-chan opened, left int) {
	for range left {
		if o := <-found; o.err == nil {
			o.s.close()
		}
	}
}
