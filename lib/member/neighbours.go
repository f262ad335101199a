package member

import (
	"cmp"
	"slices"

	"anvilwick.example/anvilwick/lib/rendezvous"
)

// ringSuccessors is the number of neighbours that are the next members on the ring of hashed names: they keep the heartbeat graph
// connected, and make sure that each member is monitored by at least as many others.
const ringSuccessors = 2

type ranked struct {
	name string
	rank uint64
}

// chooseNeighbours returns the members that self sends heartbeats to, sorted. Below full members these are all. In larger sets they are
// the ring successors and the members with the highest rendezvous rank for self: one join or death changes about as many links as a
// member has neighbours, whatever the size.
func chooseNeighbours(self string, names []string, full, count int) []string {
	if len(names) < full || len(names) <= count {
		return slices.Clone(names)
	}
	out := successors(self, names, ringSuccessors)
	for _, r := range byRank(self, names) {
		if len(out) == count {
			break
		}
		if !slices.Contains(out, r.name) {
			out = append(out, r.name)
		}
	}
	slices.Sort(out)
	return out
}

// successors returns the n names that follow self on the ring.
func successors(self string, names []string, n int) []string {
	origin := rendezvous.Hash(self)
	ring := make([]ranked, len(names))
	for i, name := range names {
		ring[i] = ranked{name, rendezvous.Hash(name) - origin} // wraps: the distance clockwise
	}
	slices.SortFunc(ring, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	out := make([]string, 0, n)
	for _, r := range ring[:min(n, len(ring))] {
		out = append(out, r.name)
	}
	return out
}

func byRank(self string, names []string) []ranked {
	h := rendezvous.Hash(self)
	all := make([]ranked, len(names))
	for i, name := range names {
		all[i] = ranked{name, rendezvous.Rank(h, rendezvous.Hash(name))}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	return all
}
