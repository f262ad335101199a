package resume

import (
	"cmp"
	"slices"

	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/rendezvous"
)

const (
	// copies is the number of peers that hold a record.
	copies = 2
	// queriedPeers is the number of peers that are queried for a record: two in each of three failure domains. The holders are among them also if
	// one of the two instances that rank is the one that began the stream, or one that the other's list of instances lacks.
	queriedPeers = 6
)

// ranking finds the peers that hold a record. It is immutable.
type ranking struct {
	peers   []owner.Instance // all other instances
	hashes  []uint64         // of their names
	domains []int            // of each peer
	count   int              // of domains
}

func newRanking(self string, instances []owner.Instance) *ranking {
	r := new(ranking)
	known := make(map[string]int)
	for _, in := range instances {
		if in.Name == self || in.Addr == "" {
			continue
		}
		domain, ok := known[in.Domain]
		if !ok {
			domain = len(known)
			known[in.Domain] = domain
		}
		r.peers = append(r.peers, in)
		r.hashes = append(r.hashes, rendezvous.Hash(in.Name))
		r.domains = append(r.domains, domain)
	}
	r.count = len(known)
	return r
}

// rankedPeer is a peer with its weight for a key.
type rankedPeer struct {
	weight uint64
	index  int
}

func heavierFirst(a, b rankedPeer) int { return cmp.Compare(b.weight, a.weight) }

// top returns n peers for a key: the highest ranked of each failure domain, then the second of each, with the domains in the order of their
// highest.
func (r *ranking) top(key uint64, n int) []owner.Instance {
	byDomain := make([][]rankedPeer, r.count)
	for i, h := range r.hashes {
		best := byDomain[r.domains[i]]
		p := rankedPeer{rendezvous.Rank(key, h), i}
		at, _ := slices.BinarySearchFunc(best, p, heavierFirst)
		if at < n {
			best = slices.Insert(best, at, p)
			byDomain[r.domains[i]] = best[:min(n, len(best))]
		}
	}
	slices.SortFunc(byDomain, func(a, b []rankedPeer) int { return heavierFirst(a[0], b[0]) })
	var out []owner.Instance
	for place := 0; len(out) < min(n, len(r.peers)); place++ {
		for _, best := range byDomain {
			if place < len(best) && len(out) < n {
				out = append(out, r.peers[best[place].index])
			}
		}
	}
	return out
}
