package gatewayproc

import (
	"maps"
	"slices"
	"sync"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/ownerlink"
)

// shards keeps the partition of the engines among owners up to date, and the resulting layout in force at the link.
type shards struct {
	link *ownerlink.Link

	mu             sync.Mutex
	partition      *owner.Partition
	engines, plain []string // services, sorted
}

func newShards(link *ownerlink.Link) *shards {
	return &shards{link: link, partition: owner.NewPartition()}
}

// setInstances replaces the instances that may own shards.
func (s *shards) setInstances(list []owner.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link.SetLayout(s.partition.SetInstances(list))
}

// setServices replaces the services. ready lists the engines that accept requests; it is called only if the services have changed.
func (s *shards) setServices(engines, plain []string, ready func() []fleet.Info) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(s.engines, engines) && slices.Equal(s.plain, plain) {
		return
	}
	s.engines, s.plain = engines, plain
	s.link.SetLayout(s.partition.SetServices(engines, plain, ready()))
}

// setDivision sets the division of the engines into shards, as computed by a peer that knows all engines; nil: compute it here.
func (s *shards) setDivision(division owner.Division) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link.SetLayout(s.partition.SetDivision(division))
}

// layout returns the layout in force.
func (s *shards) layout() *owner.Layout { return s.partition.Layout() }

// update applies added and removed engines.
func (s *shards) update(added, removed []fleet.Info) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link.SetLayout(s.partition.Update(added, removed))
}

// setServices recomputes the partition if services were added or removed.
func (p *Process) setServices(specs map[string]fleet.Spec) {
	var engines, plain []string
	for _, service := range slices.Sorted(maps.Keys(specs)) {
		if specs[service].KVTokens > 0 {
			engines = append(engines, service)
		} else {
			plain = append(plain, service)
		}
	}
	p.shards.setServices(engines, plain, func() []fleet.Info { return p.fleet.Engines(fleet.Ready) })
}

// updatePartition applies a change of the list of targets to the partition.
func (p *Process) updatePartition(ch fleet.Change) {
	if len(ch.Added)+len(ch.Restarted)+len(ch.Leaving)+len(ch.Dropped) > 0 {
		p.shards.update(slices.Concat(ch.Added, ch.Restarted), slices.Concat(ch.Leaving, ch.Dropped))
	}
}
