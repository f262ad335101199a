package member

import (
	"cmp"
	"slices"

	"anvilwick.example/anvilwick/lib/rendezvous"
)

// ringSuccessors of the neighbours are the next ones on the ring of hashed names: they keep the graph of heartbeats
// connected whatever the others are, and give each member at least as many watchers.
const ringSuccessors = 2

type ranked struct {
	name string
	rank uint64
}

// chooseNeighbours returns whom self sends heartbeats to, sorted. Up to full members it is everyone. Over it, it is the
// ring successors and those with the highest rendezvous rank for self: one join or death changes about as many links
// as a member has neighbours, at whatever size.
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
	at := rendezvous.Hash(self)
	ring := make([]ranked, len(names))
	for i, name := range names {
		ring[i] = ranked{name, rendezvous.Hash(name) - at} // wraps: the distance clockwise
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
