package owner

import (
	"cmp"
	"maps"
	"slices"

	"anvilwick.example/anvilwick/lib/rendezvous"
)

// candidateCount is the number of candidates for a shard: the owner, a second that receives the same reports, and a third for when both
// are gone.
const candidateCount = 3

// Candidates ranks instances as owners of shards. It is immutable.
type Candidates struct {
	instances []Instance
	hashes    []uint64
	domains   map[string]*tiers // by failure domain; the empty name stands for all
}

// tiers are the indexes of a domain's instances: strong ones have at least half of the largest capacity there.
type tiers struct {
	maxCapacity  uint32
	strong, weak []int
}

// NewCandidates returns the ranking of instances.
func NewCandidates(instances []Instance) *Candidates {
	c := &Candidates{instances: instances, hashes: make([]uint64, len(instances)), domains: map[string]*tiers{"": {}}}
	for i, in := range instances {
		c.hashes[i] = rendezvous.Hash(in.Name)
		if c.domains[in.Domain] == nil {
			c.domains[in.Domain] = new(tiers)
		}
		c.domains[in.Domain].maxCapacity = max(c.domains[in.Domain].maxCapacity, in.Capacity)
		c.domains[""].maxCapacity = max(c.domains[""].maxCapacity, in.Capacity)
	}
	for i, in := range instances {
		c.domains[in.Domain].add(i, in.Capacity)
		if in.Domain != "" {
			c.domains[""].add(i, in.Capacity)
		}
	}
	return c
}

func (t *tiers) add(i int, capacity uint32) {
	if capacity >= t.maxCapacity/2 {
		t.strong = append(t.strong, i)
	} else {
		t.weak = append(t.weak, i)
	}
}

// rank returns the candidates for a shard: instances of its failure domain first, then those with at least half of the largest
// capacity, which requests of many instances do not slow down, then by rendezvous rank.
func (c *Candidates) rank(domain string, key uint64) []Instance {
	near := c.domains[domain]
	if near == nil {
		near = new(tiers)
	}
	out := c.Top(domain, key, candidateCount)
	if domain != "" && len(out) < candidateCount {
		far := c.otherDomains(domain, near.maxCapacity)
		out = c.appendTop(out, candidateCount, far.strong, key)
		out = c.appendTop(out, candidateCount, far.weak, key)
	}
	return out
}

// Top returns the first n instances of a failure domain for a key, or of all domains if domain is empty: those with at least half
// of the largest capacity there first, then by rendezvous rank.
func (c *Candidates) Top(domain string, key uint64, n int) []Instance {
	near := c.domains[domain]
	if near == nil {
		return nil
	}
	return c.appendTop(c.appendTop(nil, n, near.strong, key), n, near.weak, key)
}

// Count returns how many instances are in a failure domain.
func (c *Candidates) Count(domain string) int {
	if t := c.domains[domain]; t != nil {
		return len(t.strong) + len(t.weak)
	}
	return 0
}

// Domains returns the failure domains that have instances, sorted.
func (c *Candidates) Domains() []string {
	out := slices.Sorted(maps.Keys(c.domains))
	return slices.DeleteFunc(out, func(d string) bool { return d == "" })
}

// otherDomains returns the instances of other domains, in tiers by the given largest capacity.
func (c *Candidates) otherDomains(domain string, maxCapacity uint32) *tiers {
	far := &tiers{maxCapacity: maxCapacity}
	for i, in := range c.instances {
		if in.Domain != domain {
			far.add(i, in.Capacity)
		}
	}
	return far
}

// appendTop appends the highest-ranked instances of among until out has n.
func (c *Candidates) appendTop(out []Instance, n int, among []int, key uint64) []Instance {
	compare := func(a, b int) int {
		return cmp.Compare(rendezvous.Rank(key, c.hashes[among[b]]), rendezvous.Rank(key, c.hashes[among[a]]))
	}
	for _, i := range topK(len(among), n-len(out), compare) {
		out = append(out, c.instances[among[i]])
	}
	return out
}

// topK returns the k first of the numbers below n by compare, in order.
func topK(n, k int, compare func(a, b int) int) []int {
	if k <= 0 {
		return nil
	}
	out := make([]int, 0, k+1)
	for i := range n {
		rank, _ := slices.BinarySearchFunc(out, i, compare)
		if rank < k {
			out = slices.Insert(out, rank, i)
			out = out[:min(k, len(out))]
		}
	}
	return out
}

// CompareTrueFirst orders true before false.
func CompareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
