package shard

import (
	"cmp"
	"math"
	"slices"

	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/rendezvous"
)

// Owner returns the member that ranks highest for a shard among those that may own anything. ok is false when there is
// none. It is the owner where nothing else is known of the site's shards; Assign is what entries agree on.
//
// Failure domains play no part: an owner sees targets of all domains, and a millisecond between domains is far under
// a scheduler's tick.
func Owner(id ID, workers []member.Member) (owner member.Member, ok bool) {
	h := rendezvous.Hash(id.String())
	var best uint64
	for _, m := range workers {
		r := rendezvous.Rank(h, rendezvous.Hash(m.Instance))
		if !ok || r > best || (r == best && m.Instance < owner.Instance) {
			owner, best, ok = m, r, true
		}
	}
	return owner, ok
}

// Assign returns the owner of every shard of a site. Each goes to the highest-ranked member that has room, so that none
// owns more than overload times its part, rounded up. By rank alone one of 430 members would own eight times the mean,
// and poll eight times the targets.
//
// A member that comes or goes moves what it owns and a few more.
func Assign(ids []ID, workers []member.Member) map[ID]member.Member {
	out := make(map[ID]member.Member, len(ids))
	if len(workers) == 0 {
		return out
	}
	limit := int(math.Ceil(overload * float64(len(ids)) / float64(len(workers))))
	hashes := make([]uint64, len(workers))
	for i, m := range workers {
		hashes[i] = rendezvous.Hash(m.Instance)
	}
	owned := make([]int, len(workers))
	for _, s := range byRank(ids) {
		best := -1
		var top uint64
		for i, h := range hashes {
			r := rendezvous.Rank(s.hash, h)
			if owned[i] < limit && (best < 0 || r > top) {
				best, top = i, r
			}
		}
		owned[best]++
		out[s.id] = workers[best]
	}
	return out
}

// overload is how far over the mean a member may be loaded.
const overload = 1.25

type hashed struct {
	id   ID
	hash uint64
}

// byRank orders shards the same way everywhere.
func byRank(ids []ID) []hashed {
	out := make([]hashed, len(ids))
	for i, id := range ids {
		out[i] = hashed{id, rendezvous.Hash(id.String())}
	}
	slices.SortFunc(out, func(a, b hashed) int { return cmp.Compare(a.hash, b.hash) })
	return out
}

// Find finds the shard that holds a target.
func Find(shards []Shard, target string) (ID, bool) {
	for _, s := range shards {
		if _, ok := slices.BinarySearch(s.Targets, target); ok {
			return s.ID, true
		}
	}
	return ID{}, false
}
