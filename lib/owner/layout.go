package owner

import (
	"cmp"
	"maps"

	"slices"
	"sync"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/rendezvous"
)

// neighbours bounds the shards that an owner tells how full its own are, and passes streams on to.
const neighbours = 8

// Instance is one that may own shards.
type Instance struct {
	Name     string
	Domain   string // failure domain
	Addr     string // for datagrams
	Link     string // for streams between instances
	Capacity uint32 // what it can carry for others, by its link and processor; to compare only
}

// Shard is a part of a service's engines. All of them are in one failure domain, unless the service has so few that one
// owner decides for all. Its engines change while it stands; all else of it is fixed.
type Shard struct {
	Key     string // names it, the same at every instance
	Service string
	Domain  string // of its engines; empty: all
	Ranked  []Instance

	hash    uint64 // of Key
	members *members
	all     []*Shard // of the service
	near    sync.Once
	nearest []*Shard
}

// Engines returns the ids of the shard's engines that take requests, sorted. The list is not changed afterwards.
func (s *Shard) Engines() []string {
	if s.members == nil {
		return nil
	}
	return s.members.list()
}

// Neighbours returns other shards of the service, the nearest first.
func (s *Shard) Neighbours() []*Shard {
	s.near.Do(func() {
		if s.nearest == nil {
			s.nearest = nearest(s, s.all)
		}
	})
	return s.nearest
}

// IsCandidate reports whether an instance ranks to own a shard.
func (s *Shard) IsCandidate(instance string) bool {
	return slices.ContainsFunc(s.Ranked, func(in Instance) bool { return in.Name == instance })
}

// Layout says which shards there are and who ranks to own them. Every instance works it out from the lists of targets and
// instances alone. Where lists differ for a moment, two instances may decide for one shard, which costs room that both
// give away and no promise.
type Layout struct {
	shards   map[string]*Shard // by key
	all      []*Shard          // by key
	services map[string]*division
	plain    map[string]*Shard // by service

	mu     sync.Mutex
	ranked map[string][]*Shard // by instance
}

// division is how a service's engines are divided.
type division struct {
	shards  []*Shard            // by key
	domains map[string][]*Shard // by failure domain and number; empty domain: one shard for all
}

// Shard returns a shard by its key; nil when there is none.
func (l *Layout) Shard(key string) *Shard { return l.shards[key] }

// All returns all shards, in the order of their keys.
func (l *Layout) All() []*Shard { return l.all }

// Plain returns who ranks to own the targets of plain services, by service.
func (l *Layout) Plain() map[string]*Shard { return l.plain }

// ShardOf returns the shard that an engine is in, also once it leaves; nil when its service has no engines that take requests.
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

// PermitShard returns the shard whose owner gives permits for a target; nil when there is none.
func (l *Layout) PermitShard(t fleet.Info) *Shard {
	if s := l.plain[t.Service]; s != nil {
		return s
	}
	return l.ShardOf(t)
}

// HomeShard returns the shard that is the nearest to a name in a failure domain: what an instance asks first for a service. nil
// when the service has no engines.
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
	key, most := rendezvous.Hash(name), uint64(0)
	for _, s := range list {
		if rank := rendezvous.Rank(key, s.hash); best == nil || rank > most {
			best, most = s, rank
		}
	}
	return best
}

// Services returns the services with shards, sorted.
func (l *Layout) Services() []string { return slices.Sorted(maps.Keys(l.services)) }

// Domains returns the failure domains in which a service has shards, sorted; an empty one, if one shard is for all.
func (l *Layout) Domains(service string) []string {
	if d := l.services[service]; d != nil {
		return slices.Sorted(maps.Keys(d.domains))
	}
	return nil
}

// CandidateShards returns the shards that an instance ranks to own, in the order of their keys.
func (l *Layout) CandidateShards(instance string) []*Shard {
	l.mu.Lock()
	defer l.mu.Unlock()
	if out, ok := l.ranked[instance]; ok {
		return out
	}
	var out []*Shard
	for _, s := range l.all {
		if s.IsCandidate(instance) {
			out = append(out, s)
		}
	}
	l.ranked[instance] = out
	return out
}

// nearest returns the other shards of a service that a shard looks to when it is full: all of a small service, and of a
// large one the same few from each side as far as ranks allow. At most half of these are of its own failure domain, which may be full,
// evacuated or lost as a whole.
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
	far := min(len(others), max(neighbours/2, neighbours-len(same)))
	return append(s.best(same, neighbours-far), s.best(others, far)...)
}

// best returns the first n in rank of some shards.
func (s *Shard) best(among []*Shard, n int) []*Shard {
	better := func(a, b int) int {
		return cmp.Compare(rendezvous.Rank(s.hash, among[b].hash), rendezvous.Rank(s.hash, among[a].hash))
	}
	out := make([]*Shard, 0, neighbours)
	for _, i := range first(len(among), n, better) {
		out = append(out, among[i])
	}
	return out
}
