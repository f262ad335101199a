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
	// pooledMaxInstances and pooledMaxEngines are the most instances and engines for which a service is one shard: an owner's traffic
	// grows with the streams. On most sites the first is the tighter bound, since instances that are gone stay listed: if the number of
	// engines decided, which varies by a third, each crossing would change all owners and lose their state.
	pooledMaxInstances = 160
	pooledMaxEngines   = 256
	// maxShardEngines is the most engines of a shard on a larger site.
	maxShardEngines = 64
)

// Partition divides the engines of services into shards and keeps the division current. An update costs what it changes: the list of
// one shard. A domain is divided anew only when the number of its shards changes, and candidates are ranked anew when instances
// change. It is safe for concurrent use.
type Partition struct {
	mu         sync.Mutex
	candidates *Candidates
	services   map[string]*serviceEngines // by service
	plain      []string                   // services without engines
	received   Division                   // from an instance that knows all engines; nil: computed here
	layout     *Layout
}

// Division is the number of shards by service and failure domain; the empty domain stands for one shard for all.
type Division map[string]map[string]int

// serviceEngines holds a service's engines and their division into shards.
type serviceEngines struct {
	domainOf map[string]string     // by engine
	counts   map[string]int        // number of engines by failure domain
	pooled   bool                  // one shard for all, under the empty domain
	split    map[string][]*members // by failure domain, then shard index
}

// NewPartition returns a Partition without services and instances.
func NewPartition() *Partition {
	p := &Partition{candidates: NewCandidates(nil), services: make(map[string]*serviceEngines)}
	p.buildLayout()
	return p
}

// NewLayout returns the layout of some engines and instances.
func NewLayout(engines []fleet.Info, instances []Instance) *Layout {
	p := NewPartition()
	p.SetInstances(instances)
	services := make(map[string]bool)
	for _, e := range engines {
		services[e.Service] = true
	}
	return p.SetServices(slices.Collect(maps.Keys(services)), nil, engines)
}

// Layout returns the current layout.
func (p *Partition) Layout() *Layout {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.layout
}

// SetInstances replaces the instances that may own shards and returns the new layout.
func (p *Partition) SetInstances(instances []Instance) *Layout {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.candidates = NewCandidates(instances)
	for service, s := range p.services {
		p.divide(service, s)
	}
	return p.buildLayout()
}

// SetDivision applies the division computed by an instance that knows all engines, while this instance holds a part of the target
// list; nil: this instance holds the whole list. It returns the current layout.
func (p *Partition) SetDivision(received Division) *Layout {
	p.mu.Lock()
	defer p.mu.Unlock()
	if received == nil && p.received == nil {
		return p.layout
	}
	p.received = received
	changed := false
	for service, s := range p.services {
		changed = p.divide(service, s) || changed
	}
	if changed {
		p.buildLayout()
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

// SetServices replaces the services with engines, the plain services, and all engines that accept requests. It returns the new
// layout.
func (p *Partition) SetServices(engines, plain []string, ready []fleet.Info) *Layout {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.plain = plain
	p.services = make(map[string]*serviceEngines, len(engines))
	for _, service := range engines {
		p.services[service] = &serviceEngines{
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
		p.divideAll(service, s)
	}
	return p.buildLayout()
}

// Update adds engines that now accept requests and removes others that no longer do. It returns the current layout, which is the
// same as before unless shards were added or removed.
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
		p.buildLayout()
	}
	return p.layout
}

func (s *serviceEngines) add(id, domain string, touched map[*members]bool) {
	s.domainOf[id] = domain
	s.counts[domain]++
	if m := s.membersOf(id, domain); m != nil {
		m.add(id)
		touched[m] = true
	}
}

func (s *serviceEngines) remove(id string, touched map[*members]bool) {
	domain, known := s.domainOf[id]
	if !known {
		return
	}
	delete(s.domainOf, id)
	if s.counts[domain]--; s.counts[domain] == 0 {
		delete(s.counts, domain)
	}
	if m := s.membersOf(id, domain); m != nil {
		m.remove(id)
		touched[m] = true
	}
}

// membersOf returns the list that contains an engine; nil when its domain has no shard yet.
func (s *serviceEngines) membersOf(id, domain string) *members {
	if s.pooled {
		domain = ""
	}
	list := s.split[domain]
	if len(list) == 0 {
		return nil
	}
	return list[rendezvous.Hash(id)%uint64(len(list))]
}

// divide makes one shard on a small site, otherwise shards that each lie in one failure domain: copies of runs take twice as
// long between domains, and the loss of a domain then concerns only its own owners. It reports whether the shards changed.
func (p *Partition) divide(service string, s *serviceEngines) bool {
	if received := p.received[service]; received != nil {
		return s.divideBy(received)
	}
	if p.fitsOneShard(s) != s.pooled || s.pooled && len(s.split[""]) == 0 {
		p.divideAll(service, s)
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
		if n := shardCount(count); n != len(s.split[domain]) {
			s.split[domain] = splitByHash(n, s.enginesIn(domain))
			changed = true
		}
	}
	return changed
}

func (p *Partition) fitsOneShard(s *serviceEngines) bool {
	return len(p.candidates.instances) <= pooledMaxInstances && len(s.domainOf) <= pooledMaxEngines
}

// divideAll divides all engines of a service anew.
func (p *Partition) divideAll(service string, s *serviceEngines) {
	if received := p.received[service]; received != nil {
		s.divideBy(received)
		return
	}
	s.pooled = p.fitsOneShard(s)
	clear(s.split)
	if s.pooled {
		s.split[""] = splitByHash(1, slices.Collect(maps.Keys(s.domainOf)))
		return
	}
	for domain, count := range s.counts {
		s.split[domain] = splitByHash(shardCount(count), s.enginesIn(domain))
	}
}

// divideBy divides the engines into the given numbers of shards and reports whether the shards changed.
func (s *serviceEngines) divideBy(counts map[string]int) bool {
	changed := s.pooled != (counts[""] > 0)
	s.pooled = counts[""] > 0
	for domain := range s.split {
		if counts[domain] == 0 {
			delete(s.split, domain)
			changed = true
		}
	}
	for domain, n := range counts {
		if n != len(s.split[domain]) {
			s.split[domain] = splitByHash(n, s.enginesIn(domain))
			changed = true
		}
	}
	return changed
}

// empty reports whether a service has no engines that accept requests.
func (p *Partition) empty(service string, s *serviceEngines) bool {
	return len(s.domainOf) == 0 && p.received[service] == nil
}

// enginesIn lists the engines of a failure domain; all engines if the service is one shard.
func (s *serviceEngines) enginesIn(domain string) []string {
	out := make([]string, 0, s.counts[domain])
	for id, engineDomain := range s.domainOf {
		if engineDomain == domain || s.pooled {
			out = append(out, id)
		}
	}
	return out
}

// shardCount returns the number of shards for a number of engines. It is a power of two, so that it changes at few sizes.
func shardCount(engines int) int {
	n := 1
	for n*maxShardEngines < engines {
		n *= 2
	}
	return n
}

// splitByHash divides engines by the hash of their names.
func splitByHash(n int, ids []string) []*members {
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

// buildLayout builds the layout of the current shards and puts it in force.
func (p *Partition) buildLayout() *Layout {
	l := &Layout{
		shards: make(map[string]*Shard), services: make(map[string]*division), plain: make(map[string]*Shard, len(p.plain)),
		byInstance: make(map[string][]*Shard),
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

func (p *Partition) division(service string, s *serviceEngines) *division {
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
	return &Shard{Key: key, Service: service, Domain: domain, Ranked: p.candidates.rank(domain, hash), hash: hash, members: m}
}
