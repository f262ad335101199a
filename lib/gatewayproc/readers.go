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
	// readersMax is the number of candidates to read the store, and the minimum number of relay candidates per failure domain.
	readersMax = 3
	// followersPerRelay is the approximate number of followers per relay. A failure domain with more followers has more active relays, which
	// get the tables from the first.
	followersPerRelay = 24
)

// siteKey is the rendezvous key for the readers of the store.
const siteKey = "site"

// assignment returns this instance's assignment (reader, relay or follower) by the last list of instances. Before the
// first list it is a guess from the seeds.
func (p *Process) assignment() feedlink.Assignment {
	if at := p.assigned.Load(); at != nil {
		return *at
	}
	return assignBySeeds(p.cfg.Link, p.cfg.Seeds)
}

// assignBySeeds returns the assignment of an instance that knows only the seeds: seeds read the store, other instances follow
// them, each with a different seed first. Otherwise hundreds of instances that start while the store is unavailable would each
// call it several times a second.
func assignBySeeds(ownLink string, seeds []string) feedlink.Assignment {
	if i := slices.Index(seeds, ownLink); i >= 0 {
		return feedlink.Assignment{Role: feedlink.RoleReader, Rank: i, Upstreams: []mesh.Peer{{}}}
	}
	h := rendezvous.Hash(ownLink)
	rank := func(addr string) uint64 { return rendezvous.Rank(h, rendezvous.Hash(addr)) }
	seeds = slices.SortedFunc(slices.Values(seeds), func(a, b string) int { return cmp.Compare(rank(b), rank(a)) })
	assigned := feedlink.Assignment{Bootstrap: true, Role: feedlink.RoleFollower}
	for _, addr := range seeds {
		assigned.Upstreams = append(assigned.Upstreams, mesh.Peer{Addr: addr})
	}
	assigned.Upstreams = append(assigned.Upstreams, mesh.Peer{})
	return assigned
}

// assignByList returns the assignment of an instance by the list of instances.
//
// Load pattern: all instances of a new site start at once, before any has written its row. Each found the list empty, concluded
// that it was the reader, and read all tables: some nine calls each, 2,600 for 295 instances. An instance that is not listed is
// unknown to the others and reads for nobody, so it follows the listed instances and, while there are none, the seeds.
func assignByList(self owner.Instance, list []owner.Instance, seeds []string) feedlink.Assignment {
	if len(list) == 0 {
		assigned := assignBySeeds(self.Link, seeds)
		assigned.Bootstrap = false // the list is known, and empty
		return assigned
	}
	assigned := assignAmong(self.Name, self.Domain, list)
	assigned.Upstreams = withSeeds(assigned.Upstreams, self.Link, seeds)
	return assigned
}

// withSeeds appends the seeds to an instance's upstreams. A list read just before the store became unavailable may name only
// instances that do not have the tables; a seed may not have written its row yet but has read them.
func withSeeds(upstreams []mesh.Peer, ownLink string, seeds []string) []mesh.Peer {
	for _, addr := range seeds {
		known := slices.ContainsFunc(upstreams, func(r mesh.Peer) bool { return r.Addr == addr })
		if addr != ownLink && !known {
			upstreams = append(upstreams, mesh.Peer{Addr: addr})
		}
	}
	return upstreams
}

// assignAmong returns the assignment of an instance. The first candidate reads the store for all, the first in each failure domain
// gets the tables from it and relays them, so that there is little traffic between failure domains.
func assignAmong(self string, domain string, list []owner.Instance) feedlink.Assignment {
	c := owner.NewCandidates(list)
	assigned := ranksIn(c, domain).assign(self)
	if assigned.Role != feedlink.RoleFollower {
		assigned.RemoteRelays = relaysElsewhere(c, domain)
	}
	return assigned
}

// ranks names the readers of the store and the relays of a failure domain, in rank order.
type ranks struct {
	Readers []owner.Instance `json:"readers"`
	Relays  []owner.Instance `json:"relays"`
	Serving int              `json:"serving"` // how many of Relays have followers
}

func ranksIn(c *owner.Candidates, domain string) ranks {
	return ranks{Readers: c.Top("", rendezvous.Hash(siteKey), readersMax), Relays: relaysIn(c, domain), Serving: activeRelays(c.Count(domain))}
}

// assign returns the assignment of an instance by the ranks in its failure domain.
func (r ranks) assign(self string) feedlink.Assignment {
	if i := indexOf(r.Readers, self); i >= 0 {
		return feedlink.Assignment{Role: feedlink.RoleReader, Rank: i,
			Upstreams: peers(self, r.Readers, r.Relays[:min(readersMax, len(r.Relays))])}
	}
	if i := indexOf(r.Relays, self); i >= 0 {
		upstreams := peers(self, r.Relays[:min(i, higherRankedMax)], r.Readers, r.Relays[i:i+1])
		return feedlink.Assignment{Role: feedlink.RoleRelay, Rank: i, Upstreams: upstreams}
	}
	upstreams := append(peers(self, preferred(self, r.Relays, r.Serving), r.Readers), mesh.Peer{})
	return feedlink.Assignment{Role: feedlink.RoleFollower, Upstreams: upstreams, LargeSite: r.Serving > 1}
}

// higherRankedMax is the number of higher-ranked relays that a relay queries.
const higherRankedMax = 2

// relaysIn returns the relay candidates of a failure domain in rank order: as many as its followers need, and some stand-bys.
func relaysIn(c *owner.Candidates, domain string) []owner.Instance {
	return c.Top(domain, rendezvous.Hash(domain), max(readersMax, activeRelays(c.Count(domain))))
}

// activeRelays returns how many relays are active in a failure domain with that many instances: one, up to the size at which
// readersMax relays are full.
func activeRelays(instances int) int {
	n := (instances + followersPerRelay - 1) / followersPerRelay
	if n <= readersMax {
		return 1
	}
	return n
}

// preferred returns the relays that a follower uses: the active ones in the follower's own rank order, then the stand-bys.
func preferred(self string, relays []owner.Instance, active int) []owner.Instance {
	selfHash := rendezvous.Hash(self)
	rank := func(in owner.Instance) uint64 { return rendezvous.Rank(selfHash, rendezvous.Hash(in.Name)) }
	out := slices.Clone(relays)
	slices.SortFunc(out[:min(active, len(out))], func(a, b owner.Instance) int { return cmp.Compare(rank(b), rank(a)) })
	return out[:min(readersMax, len(out))]
}

// maxRemoteDomains bounds the failure domains whose relays are queried when no reader nearby is in contact with the store.
const maxRemoteDomains = 8

// relaysElsewhere returns the first relay candidates of other failure domains.
func relaysElsewhere(c *owner.Candidates, domain string) []mesh.Peer {
	domains := slices.DeleteFunc(c.Domains(), func(d string) bool { return d == domain })
	var out []mesh.Peer
	for _, d := range domains[:min(maxRemoteDomains, len(domains))] {
		out = append(out, peers("", c.Top(d, rendezvous.Hash(d), readersMax))...)
	}
	return out
}

func indexOf(list []owner.Instance, name string) int {
	return slices.IndexFunc(list, func(in owner.Instance) bool { return in.Name == name })
}

// peers joins lists of instances into one without duplicates, in which the instance self has an empty address.
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
