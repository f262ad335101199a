package owner

import (
	"cmp"
	"maps"
	"slices"

	"anvilwick.example/anvilwick/lib/rendezvous"
)

// candidates is how many instances rank to own a shard: the owner, one that is told as much, and one more for when both
// are gone.
const candidates = 3

// Candidates ranks instances for shards. It is not changed once it is made.
type Candidates struct {
	instances []Instance
	hashes    []uint64
	domains   map[string]*tiers // by failure domain; of all by the empty name
}

// tiers are the numbers of a domain's instances, by whether they have half of the largest capacity there or more.
type tiers struct {
	most         uint32
	strong, weak []int
}

// NewCandidates returns the ranking of some instances.
func NewCandidates(instances []Instance) *Candidates {
	c := &Candidates{instances: instances, hashes: make([]uint64, len(instances)), domains: map[string]*tiers{"": {}}}
	for i, in := range instances {
		c.hashes[i] = rendezvous.Hash(in.Name)
		if c.domains[in.Domain] == nil {
			c.domains[in.Domain] = new(tiers)
		}
		c.domains[in.Domain].most = max(c.domains[in.Domain].most, in.Capacity)
		c.domains[""].most = max(c.domains[""].most, in.Capacity)
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
	if capacity >= t.most/2 {
		t.strong = append(t.strong, i)
	} else {
		t.weak = append(t.weak, i)
	}
}

// rank returns the first candidates for a shard: those of its failure domain first, then those with half of the largest
// capacity or more, which many instances' asks do not slow down, then by rendezvous.
func (c *Candidates) rank(domain string, key uint64) []Instance {
	near := c.domains[domain]
	if near == nil {
		near = new(tiers)
	}
	out := c.Top(domain, key, candidates)
	if domain != "" && len(out) < candidates {
		far := c.beyond(domain, near.most)
		out = c.best(out, candidates, far.strong, key)
		out = c.best(out, candidates, far.weak, key)
	}
	return out
}

// Top returns the first n instances of a failure domain for a key, of all by the empty name: those with half of the largest capacity
// there or more, then by rendezvous.
func (c *Candidates) Top(domain string, key uint64, n int) []Instance {
	near := c.domains[domain]
	if near == nil {
		return nil
	}
	return c.best(c.best(nil, n, near.strong, key), n, near.weak, key)
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

// beyond are the instances of other domains, against the largest capacity of one.
func (c *Candidates) beyond(domain string, most uint32) *tiers {
	far := &tiers{most: most}
	for i, in := range c.instances {
		if in.Domain != domain {
			far.add(i, in.Capacity)
		}
	}
	return far
}

// best appends the first in rank of some instances until there are n.
func (c *Candidates) best(out []Instance, n int, among []int, key uint64) []Instance {
	better := func(a, b int) int {
		return cmp.Compare(rendezvous.Rank(key, c.hashes[among[b]]), rendezvous.Rank(key, c.hashes[among[a]]))
	}
	for _, i := range first(len(among), n-len(out), better) {
		out = append(out, c.instances[among[i]])
	}
	return out
}

// first returns the k best of the numbers below n, in order.
func first(n, k int, better func(a, b int) int) []int {
	if k <= 0 {
		return nil
	}
	out := make([]int, 0, k+1)
	for i := range n {
		at, _ := slices.BinarySearchFunc(out, i, better)
		if at < k {
			out = slices.Insert(out, at, i)
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
