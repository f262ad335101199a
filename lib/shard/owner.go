package shard

import (
	"cmp"
	"math"
	"slices"

	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/rendezvous"
)

// Owner returns the member that ranks highest for a shard among the possible owners. ok is false when there is
// none. It is used where the site's other shards are unknown; entries agree on owners through Assign.
//
// Failure domains play no part: an owner serves targets of all domains, and the millisecond between domains is far below
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

// Assign returns the owner of every shard of a site. Each shard goes to the highest-ranked member that is below its limit, so that none
// owns more than maxOverMean times the mean, rounded up. By rank alone one of 430 members would own eight times the mean,
// and poll eight times the targets.
//
// When a member is added or removed, the shards it owns and a few more change owner.
func Assign(ids []ID, workers []member.Member) map[ID]member.Member {
	out := make(map[ID]member.Member, len(ids))
	if len(workers) == 0 {
		return out
	}
	limit := int(math.Ceil(maxOverMean * float64(len(ids)) / float64(len(workers))))
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

// maxOverMean bounds a member's shards as a multiple of the mean.
const maxOverMean = 1.25

type hashedID struct {
	id   ID
	hash uint64
}

// byRank sorts shards in an order that is the same at every entry.
func byRank(ids []ID) []hashedID {
	out := make([]hashedID, len(ids))
	for i, id := range ids {
		out[i] = hashedID{id, rendezvous.Hash(id.String())}
	}
	slices.SortFunc(out, func(a, b hashedID) int { return cmp.Compare(a.hash, b.hash) })
	return out
}

// Find returns the shard that holds a target.
func Find(shards []Shard, target string) (ID, bool) {
	for _, s := range shards {
		if _, ok := slices.BinarySearch(s.Targets, target); ok {
			return s.ID, true
		}
	}
	return ID{}, false
}
