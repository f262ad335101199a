package shard

import (
	"slices"

	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/rendezvous"
)

// Owner returns the member that owns the shard: the one that ranks highest for it among those that may own anything.
// ok is false when there is none. A member that comes or goes moves only what it owns.
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

// Owned returns which of the shards self owns.
func Owned(self string, shards []Shard, workers []member.Member) []Shard {
	var out []Shard
	for _, s := range shards {
		if o, ok := Owner(s.ID, workers); ok && o.Instance == self {
			out = append(out, s)
		}
	}
	return out
}

// Of finds the shard that holds a target.
func Of(shards []Shard, target string) (ID, bool) {
	for _, s := range shards {
		if _, ok := slices.BinarySearch(s.Targets, target); ok {
			return s.ID, true
		}
	}
	return ID{}, false
}
