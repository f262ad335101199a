package owner

import (
	"cmp"
	"fmt"
	"slices"
	"sync"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/rendezvous"
)

const (
	// poolInstances and poolEngines are how many instances and engines one owner decides for: what it is told and asked grows
	// with the streams. The first is the narrower on most sites, since instances that are gone stay listed: a bound on engines
	// that come and go by a third would change all owners each time that it is crossed, and with them what is known.
	poolInstances = 160
	poolEngines   = 256
	// shardLimit is the most engines of a shard of a larger site.
	shardLimit = 64
	// candidates is how many instances rank to own a shard: the owner, one that is told as much, and one more for when both
	// are gone.
	candidates = 3
	// neighbours bounds the shards that an owner tells how full its own are, and passes streams on to.
	neighbours = 8
)

// Instance is one that may own shards.
type Instance struct {
	Name     string
	Domain   string // failure domain
	Addr     string // for datagrams
	Link     string // for streams between instances
	Capacity uint32 // what it can carry for others, by its link and processor; to compare only
}

// Shard is a part of a service's engines. All of them are in one failure domain, unless the service has so few that one
// owner decides for all.
type Shard struct {
	Key        string // names it, the same at every instance
	Service    string
	Domain     string   // of its engines; empty: all
	Engines    []string // ids, sorted
	Ranked     []Instance
	Neighbours []*Shard // others of the service, the nearest first
}

// Layout says which shards there are and who ranks to own them. Every instance works it out from the lists of targets and
// instances alone. Where lists differ for a moment, two instances may decide for one shard, which costs room that both
// give away and no promise.
type Layout struct {
	shards   map[string]*Shard
	all      []*Shard          // by key
	of       map[string]*Shard // by engine
	services map[string][]*Shard
	plain    map[string]*Shard // by service
}

// Candidates ranks instances for shards. It keeps what it has worked out: engines come and go many times a minute,
// instances seldom. It is safe for concurrent use.
type Candidates struct {
	instances []Instance
	hashes    []uint64

	mu     sync.Mutex
	ranked map[string][]Instance // by shard
}

// NewCandidates returns the ranking of some instances.
func NewCandidates(instances []Instance) *Candidates {
	c := &Candidates{instances: instances, hashes: make([]uint64, len(instances)), ranked: make(map[string][]Instance)}
	for i, in := range instances {
		c.hashes[i] = rendezvous.Hash(in.Name)
	}
	return c
}

// NewLayout splits engines that take requests among instances. Those that leave are in a shard for their runs' sake only.
func NewLayout(engines, leaving []fleet.Info, instances []Instance) *Layout {
	return NewCandidates(instances).Layout(engines, leaving)
}

// Layout splits engines as NewLayout does.
func (c *Candidates) Layout(engines, leaving []fleet.Info) *Layout {
	l := &Layout{shards: make(map[string]*Shard), of: make(map[string]*Shard), services: make(map[string][]*Shard)}
	byService := make(map[string][]fleet.Info)
	for _, e := range engines {
		byService[e.Service] = append(byService[e.Service], e)
	}
	for service, list := range byService {
		for _, s := range split(service, list, len(c.instances)) {
			s.Ranked = c.rank(s)
			l.add(s)
		}
	}
	for _, list := range l.services {
		for _, s := range list {
			s.Neighbours = nearest(s, list)
		}
	}
	slices.SortFunc(l.all, func(a, b *Shard) int { return cmp.Compare(a.Key, b.Key) })
	for _, e := range leaving {
		if s := l.Home(e.Service, e.Domain, e.ID); s != nil {
			l.of[e.ID] = s
		}
	}
	return l
}

func (l *Layout) add(s *Shard) {
	l.shards[s.Key] = s
	l.all = append(l.all, s)
	l.services[s.Service] = append(l.services[s.Service], s)
	for _, id := range s.Engines {
		l.of[id] = s
	}
}

// split makes one shard on a small site, else shards that each lie in one failure domain: copies of runs take twice as
// long between domains, and what a domain loses is then one owner's business.
func split(service string, engines []fleet.Info, instances int) []*Shard {
	if instances <= poolInstances && len(engines) <= poolEngines {
		return splitDomain(service, "", engines)
	}
	byDomain := make(map[string][]fleet.Info)
	for _, e := range engines {
		byDomain[e.Domain] = append(byDomain[e.Domain], e)
	}
	var out []*Shard
	for domain, list := range byDomain {
		out = append(out, splitDomain(service, domain, list)...)
	}
	slices.SortFunc(out, func(a, b *Shard) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// splitDomain splits the engines of a domain by the hash of their names. The number of shards is a power of two, so that it
// changes at few sizes.
func splitDomain(service, domain string, engines []fleet.Info) []*Shard {
	n := 1
	for domain != "" && n*shardLimit < len(engines) {
		n *= 2
	}
	out := make([]*Shard, n)
	for i := range out {
		out[i] = &Shard{Key: fmt.Sprintf("%s@%s/%d.%d", service, domain, i, n), Service: service, Domain: domain}
	}
	for _, e := range engines {
		s := out[rendezvous.Hash(e.ID)%uint64(n)]
		s.Engines = append(s.Engines, e.ID)
	}
	for _, s := range out {
		slices.Sort(s.Engines)
	}
	return out
}

// rank returns the first candidates for a shard: those of its failure domain first, then those with half of the largest
// capacity or more, which many instances' asks do not slow down, then by rendezvous.
func (c *Candidates) rank(s *Shard) []Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.ranked[s.Key]; ok {
		return r
	}
	near := func(in *Instance) bool { return s.Domain == "" || in.Domain == s.Domain }
	most := uint32(0)
	for i := range c.instances {
		if near(&c.instances[i]) {
			most = max(most, c.instances[i].Capacity)
		}
	}
	key := rendezvous.Hash(s.Key)
	better := func(a, b int) int {
		x, y := &c.instances[a], &c.instances[b]
		return cmp.Or(
			Before(near(x), near(y)),
			Before(x.Capacity >= most/2, y.Capacity >= most/2),
			cmp.Compare(rendezvous.Rank(key, c.hashes[b]), rendezvous.Rank(key, c.hashes[a])),
		)
	}
	out := make([]Instance, 0, candidates)
	for _, i := range first(len(c.instances), candidates, better) {
		out = append(out, c.instances[i])
	}
	c.ranked[s.Key] = out
	return out
}

// first returns the k best of the numbers below n, in order.
func first(n, k int, better func(a, b int) int) []int {
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

// Before orders true before false.
func Before(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// nearest returns the other shards of a service that a shard looks to when it is full: all of a small service, and of a
// large one the same few from each side as far as ranks allow.
func nearest(s *Shard, list []*Shard) []*Shard {
	key := rendezvous.Hash(s.Key)
	out := make([]*Shard, 0, len(list))
	for _, o := range list {
		if o != s {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b *Shard) int {
		ra, rb := rendezvous.Rank(key, rendezvous.Hash(a.Key)), rendezvous.Rank(key, rendezvous.Hash(b.Key))
		return cmp.Or(Before(a.Domain == s.Domain, b.Domain == s.Domain), cmp.Compare(rb, ra))
	})
	return out[:min(neighbours, len(out))]
}

// AddPlain adds plain services. Their targets are chosen by each instance; who ranks first gives permits for those that take few
// requests.
func (c *Candidates) AddPlain(l *Layout, services []string) {
	l.plain = make(map[string]*Shard, len(services))
	for _, service := range services {
		s := &Shard{Key: service + "@plain", Service: service}
		s.Ranked = c.rank(s)
		l.plain[service] = s
	}
}

// Plain returns who ranks to own the targets of plain services, by service.
func (l *Layout) Plain() map[string]*Shard { return l.plain }

// Owning returns the shard whose owner gives permits for a target; nil when there is none.
func (l *Layout) Owning(t fleet.Info) *Shard {
	if s := l.of[t.ID]; s != nil {
		return s
	}
	if s := l.plain[t.Service]; s != nil {
		return s
	}
	return l.Home(t.Service, t.Domain, t.ID)
}

// Shard returns a shard by its key; nil when there is none.
func (l *Layout) Shard(key string) *Shard { return l.shards[key] }

// Of returns the shard that an engine is in; nil when it is in none.
func (l *Layout) Of(engine string) *Shard { return l.of[engine] }

// All returns all shards, in the order of their keys.
func (l *Layout) All() []*Shard { return l.all }

// Home returns the shard that is the nearest to a name in a failure domain: what an instance asks first for a service. nil
// when the service has no engines.
func (l *Layout) Home(service, domain, name string) *Shard {
	var best *Shard
	key := rendezvous.Hash(name)
	for _, s := range l.services[service] {
		if best == nil {
			best = s
			continue
		}
		order := cmp.Or(
			Before(s.Domain == domain, best.Domain == domain),
			cmp.Compare(rendezvous.Rank(key, rendezvous.Hash(best.Key)), rendezvous.Rank(key, rendezvous.Hash(s.Key))),
		)
		if order < 0 {
			best = s
		}
	}
	return best
}

// IsCandidate reports whether an instance ranks to own a shard.
func (s *Shard) IsCandidate(instance string) bool {
	return slices.ContainsFunc(s.Ranked, func(in Instance) bool { return in.Name == instance })
}
