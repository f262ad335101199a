package record

import (
	"cmp"
	"slices"

	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/rendezvous"
)

// key identifies a record without revealing the caller's idempotency key.
type key struct {
	workspace string
	hash      uint64
}

func keyOf(workspace, idempotencyKey string) key {
	return key{workspace: workspace, hash: rendezvous.Hash(workspace + "\x00" + idempotencyKey)}
}

// replicas is how many peers hold a record.
const replicas = 2

// rankedMembers orders members by rendezvous weight for k, highest first.
func rankedMembers(k key, members []member.Member) []member.Member {
	weight := func(m member.Member) uint64 {
		return rendezvous.Rank(k.hash, rendezvous.Hash(m.Instance))
	}
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b member.Member) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Instance, b.Instance))
	})
	return out
}

// holders returns the members that store a record of owner: the highest ranked, and the next one in another failure domain.
func holders(order []member.Member, owner string) []member.Member {
	order = slices.DeleteFunc(slices.Clone(order), func(m member.Member) bool { return m.Instance == owner })
	if len(order) <= replicas {
		return order
	}
	first, second := order[0], order[1]
	for _, m := range order[1:] {
		if m.FailureDomain != first.FailureDomain {
			second = m
			break
		}
	}
	return []member.Member{first, second}
}

// candidates returns the members that may hold a record whose owner is unknown. An owner never holds its own record, so the
// holders depend on which member it was.
func candidates(order []member.Member) []member.Member {
	out := holders(order, "")
	for _, owner := range slices.Clone(out) {
		for _, m := range holders(order, owner.Instance) {
			if !slices.Contains(out, m) {
				out = append(out, m)
			}
		}
	}
	return out
}
