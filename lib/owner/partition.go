package owner

import (
	"cmp"
	"fmt"
	"maps"
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
)

// Partition divides the engines of services into shards as they come and go. A change costs what it changes: the list of one shard;
// a domain is divided anew only when the number of its shards changes, and all are ranked anew when instances change. It is safe
// for concurrent use.
type Partition struct {
	mu       sync.Mutex
	cands    *Candidates
	services map[string]*parts // of engines, by service
	plain    []string          // services without engines
	told     Division          // by one that knows all engines; nil: this instance does
	layout   *Layout
}

// Division is the number of shards of each service and failure domain; of the empty domain, if one shard is for all.
type Division map[string]map[string]int

// parts are a service's engines as they are divided.
type parts struct {
	domainOf map[string]string     // by engine
	counts   map[string]int        // engines by failure domain
	pooled   bool                  // one shard for all, under the empty domain
	split    map[string][]*members // by failure domain and number of the shard
}

// NewPartition returns a Partition without services and instances.
func NewPartition() *Partition {
	p := &Partition{cands: NewCandidates(nil), services: make(map[string]*parts)}
	p.rank()
	return p
}

// NewLayout divides engines that take requests among instances.
func NewLayout(engines []fleet.Info, instances []Instance) *Layout {
	p := NewPartition()
	p.SetInstances(instances)
	services := make(map[string]bool)
	for _, e := range engines {
		services[e.Service] = true
	}
	return p.SetServices(slices.Collect(maps.Keys(services)), nil, engines)
}

// Layout returns the layout in force.
func (p *Partition) Layout() *Layout {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.layout
}

// SetInstances replaces the instances that may own shards, and returns the layout that is in force then.
func (p *Partition) SetInstances(instances []Instance) *Layout {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cands = NewCandidates(instances)
	for service, s := range p.services {
		p.divide(service, s)
	}
	return p.rank()
}

// SetDivision takes in how one divides the engines that knows all of them, while this instance holds a part; nil: it holds all itself. It
// returns the layout that is in force then.
func (p *Partition) SetDivision(told Division) *Layout {
	p.mu.Lock()
	defer p.mu.Unlock()
	if told == nil && p.told == nil {
		return p.layout
	}
	p.told = told
	changed := false
	for service, s := range p.services {
		changed = p.divide(service, s) || changed
	}
	if changed {
		p.rank()
	}
	return p.layout
}

// Division returns the number of shards of each service and failure domain.
func (l *Layout) Division() Division {
	out := make(Division, len(l.services))
	for service, d := range l.services {
		out[service] = make(map[string]int, len(d.domains))
		for domain, list := range d.domains {
			out[service][domain] = len(list)
		}
	}
	return out
}

// SetServices replaces the services with engines, those without, and all engines that take requests. It returns the layout that is in
// force then.
func (p *Partition) SetServices(engines, plain []string, ready []fleet.Info) *Layout {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.plain = plain
	p.services = make(map[string]*parts, len(engines))
	for _, service := range engines {
		p.services[service] = &parts{
			domainOf: make(map[string]string), counts: make(map[string]int), split: make(map[string][]*members),
		}
	}
	for _, e := range ready {
		if s := p.services[e.Service]; s != nil && s.domainOf[e.ID] == "" {
			s.domainOf[e.ID] = e.Domain
			s.counts[e.Domain]++
		}
	}
	for service, s := range p.services {
		p.redivide(service, s)
	}
	return p.rank()
}

// Update takes in engines that take requests from now on, and others that take none any more. It returns the layout in force, which
// is the same one as before unless shards have come or gone.
func (p *Partition) Update(added, removed []fleet.Info) *Layout {
	p.mu.Lock()
	defer p.mu.Unlock()
	touched := make(map[*members]bool)
	for _, e := range added {
		if s := p.services[e.Service]; s != nil {
			s.remove(e.ID, touched)
			s.add(e.ID, e.Domain, touched)
		}
	}
	for _, e := range removed {
		if s := p.services[e.Service]; s != nil {
			s.remove(e.ID, touched)
		}
	}
	for m := range touched {
		m.publish()
	}
	changed := false
	for service, s := range p.services {
		changed = p.divide(service, s) || changed || p.empty(service, s) == (p.layout.services[service] != nil)
	}
	if changed {
		p.rank()
	}
	return p.layout
}

func (s *parts) add(id, domain string, touched map[*members]bool) {
	s.domainOf[id] = domain
	s.counts[domain]++
	if m := s.shardOf(id, domain); m != nil {
		m.add(id)
		touched[m] = true
	}
}

func (s *parts) remove(id string, touched map[*members]bool) {
	domain, known := s.domainOf[id]
	if !known {
		return
	}
	delete(s.domainOf, id)
	if s.counts[domain]--; s.counts[domain] == 0 {
		delete(s.counts, domain)
	}
	if m := s.shardOf(id, domain); m != nil {
		m.remove(id)
		touched[m] = true
	}
}

// shardOf returns the list that an engine is in; nil when its domain has none yet.
func (s *parts) shardOf(id, domain string) *members {
	if s.pooled {
		domain = ""
	}
	list := s.split[domain]
	if len(list) == 0 {
		return nil
	}
	return list[rendezvous.Hash(id)%uint64(len(list))]
}

// divide makes one shard on a small site, else shards that each lie in one failure domain: copies of runs take twice as
// long between domains, and what a domain loses is then one owner's business. It reports whether that changes the shards.
func (p *Partition) divide(service string, s *parts) bool {
	if told := p.told[service]; told != nil {
		return s.divideAs(told)
	}
	if p.pools(s) != s.pooled || s.pooled && len(s.split[""]) == 0 {
		p.redivide(service, s)
		return true
	}
	if s.pooled {
		return false
	}
	changed := false
	for domain := range s.split {
		if s.counts[domain] == 0 {
			delete(s.split, domain)
			changed = true
		}
	}
	for domain, count := range s.counts {
		if n := shardsFor(count); n != len(s.split[domain]) {
			s.split[domain] = splitInto(n, s.in(domain))
			changed = true
		}
	}
	return changed
}

func (p *Partition) pools(s *parts) bool {
	return len(p.cands.instances) <= poolInstances && len(s.domainOf) <= poolEngines
}

// redivide divides all engines of a service anew.
func (p *Partition) redivide(service string, s *parts) {
	if told := p.told[service]; told != nil {
		s.divideAs(told)
		return
	}
	s.pooled = p.pools(s)
	clear(s.split)
	if s.pooled {
		s.split[""] = splitInto(1, slices.Collect(maps.Keys(s.domainOf)))
		return
	}
	for domain, count := range s.counts {
		s.split[domain] = splitInto(shardsFor(count), s.in(domain))
	}
}

// divideAs divides the engines into as many shards as are told, and reports whether that changes them.
func (s *parts) divideAs(told map[string]int) bool {
	changed := s.pooled != (told[""] > 0)
	s.pooled = told[""] > 0
	for domain := range s.split {
		if told[domain] == 0 {
			delete(s.split, domain)
			changed = true
		}
	}
	for domain, n := range told {
		if n != len(s.split[domain]) {
			s.split[domain] = splitInto(n, s.in(domain))
			changed = true
		}
	}
	return changed
}

// empty reports whether a service has no engines that take requests.
func (p *Partition) empty(service string, s *parts) bool {
	return len(s.domainOf) == 0 && p.told[service] == nil
}

// in lists the engines of a failure domain; all, where one shard is for all.
func (s *parts) in(domain string) []string {
	out := make([]string, 0, s.counts[domain])
	for id, at := range s.domainOf {
		if at == domain || s.pooled {
			out = append(out, id)
		}
	}
	return out
}

// shardsFor is the number of shards of so many engines. It is a power of two, so that it changes at few sizes.
func shardsFor(engines int) int {
	n := 1
	for n*shardLimit < engines {
		n *= 2
	}
	return n
}

// splitInto divides engines by the hash of their names.
func splitInto(n int, ids []string) []*members {
	lists := make([][]string, n)
	for _, id := range ids {
		i := rendezvous.Hash(id) % uint64(n)
		lists[i] = append(lists[i], id)
	}
	out := make([]*members, n)
	for i, list := range lists {
		out[i] = newMembers(list)
	}
	return out
}

// rank makes the layout of the shards as they are divided now.
func (p *Partition) rank() *Layout {
	l := &Layout{
		shards: make(map[string]*Shard), services: make(map[string]*division), plain: make(map[string]*Shard, len(p.plain)),
		ranked: make(map[string][]*Shard),
	}
	for service, s := range p.services {
		if !p.empty(service, s) {
			l.services[service] = p.division(service, s)
			l.all = append(l.all, l.services[service].shards...)
		}
	}
	slices.SortFunc(l.all, func(a, b *Shard) int { return cmp.Compare(a.Key, b.Key) })
	for _, s := range l.all {
		l.shards[s.Key] = s
	}
	for _, service := range p.plain {
		l.plain[service] = p.shard(service+"@plain", service, "", nil)
	}
	p.layout = l
	return l
}

func (p *Partition) division(service string, s *parts) *division {
	d := &division{domains: make(map[string][]*Shard, len(s.split))}
	for domain, list := range s.split {
		for i, m := range list {
			shard := p.shard(fmt.Sprintf("%s@%s/%d.%d", service, domain, i, len(list)), service, domain, m)
			d.domains[domain] = append(d.domains[domain], shard)
			d.shards = append(d.shards, shard)
		}
	}
	slices.SortFunc(d.shards, func(a, b *Shard) int { return cmp.Compare(a.Key, b.Key) })
	for _, shard := range d.shards {
		shard.all = d.shards
	}
	return d
}

func (p *Partition) shard(key, service, domain string, m *members) *Shard {
	hash := rendezvous.Hash(key)
	return &Shard{Key: key, Service: service, Domain: domain, Ranked: p.cands.rank(domain, hash), hash: hash, members: m}
}
