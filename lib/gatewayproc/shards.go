package gatewayproc

import (
	"maps"
	"slices"
	"sync"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/ownerlink"
)

// shards keeps the division of engines among owners up to date, and in force at the link.
type shards struct {
	link *ownerlink.Link

	mu             sync.Mutex
	partition      *owner.Partition
	engines, plain []string // services, sorted
}

func newShards(link *ownerlink.Link) *shards {
	return &shards{link: link, partition: owner.NewPartition()}
}

// setInstances replaces the instances that may own engines.
func (s *shards) setInstances(list []owner.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link.SetLayout(s.partition.SetInstances(list))
}

// setServices replaces the services; ready lists the engines that take requests, and is asked for only if that changes anything.
func (s *shards) setServices(engines, plain []string, ready func() []fleet.Info) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(s.engines, engines) && slices.Equal(s.plain, plain) {
		return
	}
	s.engines, s.plain = engines, plain
	s.link.SetLayout(s.partition.SetServices(engines, plain, ready()))
}

// setDivision takes in how one divides the engines that knows all of them; nil: this instance does.
func (s *shards) setDivision(told owner.Division) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link.SetLayout(s.partition.SetDivision(told))
}

// layout returns the layout in force.
func (s *shards) layout() *owner.Layout { return s.partition.Layout() }

// update takes in engines that have come and gone.
func (s *shards) update(added, removed []fleet.Info) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link.SetLayout(s.partition.Update(added, removed))
}

// setServices divides the engines anew if services have come or gone.
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

// divide takes in what has changed in the list of targets.
func (p *Process) divide(ch fleet.Change) {
	if len(ch.Added)+len(ch.Restarted)+len(ch.Leaving)+len(ch.Dropped) > 0 {
		p.shards.update(slices.Concat(ch.Added, ch.Restarted), slices.Concat(ch.Leaving, ch.Dropped))
	}
}
