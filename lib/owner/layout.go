package owner

import (
	"cmp"
	"maps"

	"slices"
	"sync"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/rendezvous"
)

// maxNeighbours bounds the shards to whose owners a shard's fill level is sent and to which its streams are forwarded.
const maxNeighbours = 8

// Instance is an instance that may own shards.
type Instance struct {
	Name     string
	Domain   string // failure domain
	Addr     string // for datagrams
	Link     string // address for streams between instances
	Capacity uint32 // relative capacity for work on behalf of others, from its link and processor
}

// Shard is a part of a service's engines. All of them are in one failure domain, unless the service is so small that one shard
// holds all. Only its list of engines changes during its lifetime.
type Shard struct {
	Key     string // identifies the shard; the same at every instance
	Service string
	Domain  string // of its engines; empty: all domains
	Ranked  []Instance

	hash    uint64 // of Key
	members *members
	all     []*Shard // all shards of the service
	near    sync.Once
	nearest []*Shard
}

// Engines returns the sorted IDs of the shard's engines that accept requests. The list is immutable.
func (s *Shard) Engines() []string {
	if s.members == nil {
		return nil
	}
	return s.members.list()
}

// Neighbours returns the other shards of the service that this one exchanges fill levels and streams with.
func (s *Shard) Neighbours() []*Shard {
	s.near.Do(func() {
		if s.nearest == nil {
			s.nearest = nearest(s, s.all)
		}
	})
	return s.nearest
}

// IsCandidate reports whether an instance is a candidate for the shard.
func (s *Shard) IsCandidate(instance string) bool {
	return slices.ContainsFunc(s.Ranked, func(in Instance) bool { return in.Name == instance })
}

// Layout lists the shards and their candidates. Every instance computes it from the lists of targets and instances
// alone. While lists differ, two instances may decide for one shard, which may overcommit capacity but breaks no guarantee
// to callers.
type Layout struct {
	shards   map[string]*Shard // by key
	all      []*Shard          // sorted by key
	services map[string]*division
	plain    map[string]*Shard // by service

	mu         sync.Mutex
	byInstance map[string][]*Shard // by instance
}

// division is the split of a service's engines into shards.
type division struct {
	shards  []*Shard            // sorted by key
	domains map[string][]*Shard // by failure domain, then index; the empty domain holds one shard for all
}

// Shard returns a shard by its key; nil when there is none.
func (l *Layout) Shard(key string) *Shard { return l.shards[key] }

// All returns all shards, sorted by key.
func (l *Layout) All() []*Shard { return l.all }

// Plain returns the candidates for the targets of plain services, by service.
func (l *Layout) Plain() map[string]*Shard { return l.plain }

// ShardOf returns the shard of an engine, also while it leaves; nil when its service has no engines that accept requests.
func (l *Layout) ShardOf(t fleet.Info) *Shard {
	d := l.services[t.Service]
	if d == nil {
		return nil
	}
	for _, domain := range []string{"", t.Domain} {
		if list := d.domains[domain]; len(list) > 0 {
			return list[rendezvous.Hash(t.ID)%uint64(len(list))]
		}
	}
	return l.HomeShard(t.Service, t.Domain, t.ID)
}

// PermitShard returns the shard whose owner grants permits for a target; nil when there is none.
func (l *Layout) PermitShard(t fleet.Info) *Shard {
	if s := l.plain[t.Service]; s != nil {
		return s
	}
	return l.ShardOf(t)
}

// HomeShard returns the shard in a failure domain that ranks highest for a name: the one that an instance queries first for a
// service. It is nil when the service has no engines.
func (l *Layout) HomeShard(service, domain, name string) *Shard {
	d := l.services[service]
	if d == nil {
		return nil
	}
	list := d.domains[domain]
	if len(list) == 0 {
		list = d.shards
	}
	var best *Shard
	key, bestRank := rendezvous.Hash(name), uint64(0)
	for _, s := range list {
		if rank := rendezvous.Rank(key, s.hash); best == nil || rank > bestRank {
			best, bestRank = s, rank
		}
	}
	return best
}

// Services returns the services that have shards, sorted.
func (l *Layout) Services() []string { return slices.Sorted(maps.Keys(l.services)) }

// Domains returns the failure domains in which a service has shards, sorted; one empty name if a single shard holds all engines.
func (l *Layout) Domains(service string) []string {
	if d := l.services[service]; d != nil {
		return slices.Sorted(maps.Keys(d.domains))
	}
	return nil
}

// CandidateShards returns the shards that an instance is a candidate for, sorted by key.
func (l *Layout) CandidateShards(instance string) []*Shard {
	l.mu.Lock()
	defer l.mu.Unlock()
	if out, ok := l.byInstance[instance]; ok {
		return out
	}
	var out []*Shard
	for _, s := range l.all {
		if s.IsCandidate(instance) {
			out = append(out, s)
		}
	}
	l.byInstance[instance] = out
	return out
}

// nearest returns the neighbours of a shard, to which it forwards streams when it is full: all other shards of a small service, and of
// a large one a few, the same in both directions as far as ranks allow. At most half of these are of its own failure domain, which
// may be full, evacuated or lost as a whole.
func nearest(s *Shard, list []*Shard) []*Shard {
	var same, others []*Shard
	for _, o := range list {
		switch {
		case o == s:
		case o.Domain == s.Domain:
			same = append(same, o)
		default:
			others = append(others, o)
		}
	}
	far := min(len(others), max(maxNeighbours/2, maxNeighbours-len(same)))
	return append(s.topRanked(same, maxNeighbours-far), s.topRanked(others, far)...)
}

// topRanked returns the n highest-ranked of some shards.
func (s *Shard) topRanked(among []*Shard, n int) []*Shard {
	compare := func(a, b int) int {
		return cmp.Compare(rendezvous.Rank(s.hash, among[b].hash), rendezvous.Rank(s.hash, among[a].hash))
	}
	out := make([]*Shard, 0, maxNeighbours)
	for _, i := range topK(len(among), n, compare) {
		out = append(out, among[i])
	}
	return out
}
