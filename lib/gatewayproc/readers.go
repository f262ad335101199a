package gatewayproc

import (
	"cmp"
	"slices"

	"anvilwick.example/anvilwick/lib/feedlink"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/rendezvous"
)

const (
	// readersMax is how many instances rank to read the store for all, and how many at least to relay in each failure domain.
	readersMax = 3
	// followersMost is about how many instances follow one that relays. A domain with more has more that relay, which have the tables
	// from the first.
	followersMost = 24
)

// siteKey ranks the instances that read for all.
const siteKey = "site"

// place is this instance's place among those that read the store and relay it, as of the last list of instances. Before the
// first list it is a guess by the seeds.
func (p *Process) place() feedlink.Assignment {
	if at := p.placed.Load(); at != nil {
		return *at
	}
	return placeBySeeds(p.cfg.Link, p.cfg.Seeds)
}

// placeBySeeds is the place of an instance that knows of no other than its seeds: seeds read the store, the others wait for
// them, each for another one first. Otherwise hundreds that start while the store is away would each ask it several times a
// second.
func placeBySeeds(own string, seeds []string) feedlink.Assignment {
	if i := slices.Index(seeds, own); i >= 0 {
		return feedlink.Assignment{Role: feedlink.RoleReader, Rank: i, Upstreams: []mesh.Peer{{}}}
	}
	h := rendezvous.Hash(own)
	rank := func(addr string) uint64 { return rendezvous.Rank(h, rendezvous.Hash(addr)) }
	seeds = slices.SortedFunc(slices.Values(seeds), func(a, b string) int { return cmp.Compare(rank(b), rank(a)) })
	at := feedlink.Assignment{Bootstrap: true, Role: feedlink.RoleFollower}
	for _, addr := range seeds {
		at.Upstreams = append(at.Upstreams, mesh.Peer{Addr: addr})
	}
	at.Upstreams = append(at.Upstreams, mesh.Peer{})
	return at
}

// placeOf is the place of an instance by the list of instances.
//
// Load pattern: all instances of a new site start in one moment, before any has written its row. Each found nobody else in the
// list, took itself for the one that reads, and read all tables: some nine calls each, 2,600 for 295 instances. One that is
// not listed is known to nobody and reads for nobody, so it follows those that are, and before there are any the seeds.
func placeOf(self owner.Instance, list []owner.Instance, seeds []string) feedlink.Assignment {
	if len(list) == 0 {
		at := placeBySeeds(self.Link, seeds)
		at.Bootstrap = false // the list is known: nobody is on it
		return at
	}
	at := placeAmong(self.Name, self.Domain, list)
	at.Upstreams = withSeeds(at.Upstreams, self.Link, seeds)
	return at
}

// withSeeds adds the seeds to an instance's readers, as the last. A list that was read just before the store fell silent may
// name nobody who knows the tables: a seed has not written its row yet, but has read them.
func withSeeds(readers []mesh.Peer, own string, seeds []string) []mesh.Peer {
	for _, addr := range seeds {
		known := slices.ContainsFunc(readers, func(r mesh.Peer) bool { return r.Addr == addr })
		if addr != own && !known {
			readers = append(readers, mesh.Peer{Addr: addr})
		}
	}
	return readers
}

// placeAmong works out an instance's place. The first in rank reads for all, the first of each failure domain has it from
// that one and relays it, so that little goes between domains.
func placeAmong(self string, domain string, list []owner.Instance) feedlink.Assignment {
	c := owner.NewCandidates(list)
	at := ranksIn(c, domain).place(self)
	if at.Role != feedlink.RoleFollower {
		at.RemoteRelays = relaysElsewhere(c, domain)
	}
	return at
}

// ranks says who reads the store for all, and who relays in a failure domain.
type ranks struct {
	Readers []owner.Instance `json:"readers"`
	Relays  []owner.Instance `json:"relays"`
	Serving int              `json:"serving"` // how many of Relays have followers
}

func ranksIn(c *owner.Candidates, domain string) ranks {
	return ranks{Readers: c.Top("", rendezvous.Hash(siteKey), readersMax), Relays: relaysIn(c, domain), Serving: serving(c.Count(domain))}
}

// place is an instance's place by the ranks in its failure domain.
func (r ranks) place(self string) feedlink.Assignment {
	if i := indexOf(r.Readers, self); i >= 0 {
		return feedlink.Assignment{Role: feedlink.RoleReader, Rank: i, Upstreams: peers(self, r.Readers, r.Relays[:min(readersMax, len(r.Relays))])}
	}
	if i := indexOf(r.Relays, self); i >= 0 {
		readers := peers(self, r.Relays[:min(i, before)], r.Readers, r.Relays[i:i+1])
		return feedlink.Assignment{Role: feedlink.RoleRelay, Rank: i, Upstreams: readers}
	}
	readers := append(peers(self, preferred(self, r.Relays, r.Serving), r.Readers), mesh.Peer{})
	return feedlink.Assignment{Role: feedlink.RoleFollower, Upstreams: readers, LargeSite: r.Serving > 1}
}

// before is how many of those that relay and rank before another are asked by it.
const before = 2

// relaysIn are the instances that relay in a failure domain, by rank: as many as it takes for its followers, and some that stand by.
func relaysIn(c *owner.Candidates, domain string) []owner.Instance {
	return c.Top(domain, rendezvous.Hash(domain), max(readersMax, serving(c.Count(domain))))
}

// serving is how many instances relay to so many in a failure domain: one, while those that stand by for it would do for all.
func serving(instances int) int {
	n := (instances + followersMost - 1) / followersMost
	if n <= readersMax {
		return 1
	}
	return n
}

// preferred are the instances that a follower has the tables from: those that serve, by its own rank of them, then those that stand by.
func preferred(self string, relays []owner.Instance, serve int) []owner.Instance {
	own := rendezvous.Hash(self)
	rank := func(in owner.Instance) uint64 { return rendezvous.Rank(own, rendezvous.Hash(in.Name)) }
	out := slices.Clone(relays)
	slices.SortFunc(out[:min(serve, len(out))], func(a, b owner.Instance) int { return cmp.Compare(rank(b), rank(a)) })
	return out[:min(readersMax, len(out))]
}

// othersMax bounds the failure domains whose relays are asked when nobody near has the store's word.
const othersMax = 8

// relaysElsewhere are the first instances that rank to relay in other failure domains.
func relaysElsewhere(c *owner.Candidates, domain string) []mesh.Peer {
	domains := slices.DeleteFunc(c.Domains(), func(d string) bool { return d == domain })
	var out []mesh.Peer
	for _, d := range domains[:min(othersMax, len(domains))] {
		out = append(out, peers("", c.Top(d, rendezvous.Hash(d), readersMax))...)
	}
	return out
}

func indexOf(list []owner.Instance, name string) int {
	return slices.IndexFunc(list, func(in owner.Instance) bool { return in.Name == name })
}

// peers joins lists of instances, each of them once, with this one as an empty address.
func peers(self string, lists ...[]owner.Instance) []mesh.Peer {
	var out []mesh.Peer
	known := make(map[string]bool)
	for _, list := range lists {
		for _, in := range list {
			switch {
			case known[in.Name]:
			case in.Name == self:
				out = append(out, mesh.Peer{})
			case in.Link != "":
				out = append(out, mesh.Peer{Instance: in.Name, Addr: in.Link})
			}
			known[in.Name] = true
		}
	}
	return out
}
