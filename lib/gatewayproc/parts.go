package gatewayproc

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/feedlink"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/ownerpb"
	"anvilwick.example/anvilwick/lib/rendezvous"
)

// On a large site a follower needs only some of the targets: the engines of the shards that it is a candidate to own, those of its home
// shard, which it asks first and falls back on when no owner answers, and the plain targets, among which it chooses itself, or a subset
// of them where there are very many. Owners describe any other engine together with the placement on it.
const (
	// fullListMax is the number of targets up to which every instance holds all of them; below fullListMin it does so again.
	fullListMax = 1024
	fullListMin = 768
	// plainFullMax is the number of targets of a plain service up to which every instance holds all of them.
	plainFullMax = 128
	// plainPartSize is roughly how many targets per failure domain an instance holds of a plain service with more than plainFullMax.
	plainPartSize = 64
	// plainDomains is the number of failure domains from which they are taken.
	plainDomains = 3
)

// fullListLinger is how long an instance goes on holding all targets after it stopped reading or relaying. While all instances of a
// site start, successive lists of instances select different relays, and followers that still use the previous list would get no more
// updates.
const fullListLinger = 5 * time.Second

// WantsSubset implements feedlink.Partitioner. Readers and relays forward all targets, so they need all.
func (p *Process) WantsSubset() bool {
	now := time.Now()
	if p.assignment().Role != feedlink.RoleFollower {
		p.lastForwarding.Store(&now)
		return false
	}
	if _, known := p.feeds.targets.Version(); !known || p.feeds.targets.Partial() {
		return true
	}
	last := p.lastForwarding.Load()
	return last == nil || now.Sub(*last) > fullListLinger
}

// SubsetFor implements feedlink.Partitioner.
func (p *Process) SubsetFor(instance, domain string) *feedlink.Subset {
	if !p.usesSubsets() {
		return nil
	}
	n := subsetFor(p.fleet, p.shards.layout(), instance, domain)
	return &feedlink.Subset{ID: n.id(), Contains: n.contains}
}

// subsetFor returns the targets of a layout that an instance needs.
func subsetFor(f *fleet.Fleet, layout *owner.Layout, instance, domain string) *targetSubset {
	n := &targetSubset{fleet: f, layout: layout, shards: make(map[*owner.Shard]bool), plain: make(map[string]map[string]part)}
	for _, s := range layout.CandidateShards(instance) {
		n.shards[s] = true
	}
	for _, service := range layout.Services() {
		n.shards[layout.HomeShard(service, domain, instance)] = true
	}
	for service := range layout.Plain() {
		if ready := f.Ready(service); totalCount(ready) > plainFullMax {
			n.plain[service] = partOf(instance, domain, ready)
		}
	}
	return n
}

// usesSubsets reports whether the site has so many targets that most instances hold a subset. Between the two bounds the answer stays the
// same, since an instance that switches is sent all of its rows anew.
func (p *Process) usesSubsets() bool {
	n := p.feeds.targets.Len()
	switch {
	case n > fullListMax:
		p.subsetsInUse.Store(true)
	case n < fullListMin:
		p.subsetsInUse.Store(false)
	}
	return p.subsetsInUse.Load()
}

// targetSubset selects the targets that an instance needs.
type targetSubset struct {
	fleet  *fleet.Fleet
	layout *owner.Layout
	shards map[*owner.Shard]bool
	plain  map[string]map[string]part // of plain services with many targets, by failure domain
}

// part is one of several equal parts of the targets, by the hash of the target's ID.
type part struct{ index, of uint64 }

// partOf returns, by failure domain, the part of a plain service's targets that an instance holds. ready counts them by failure domain.
func partOf(instance, domain string, ready map[string]int) map[string]part {
	hash := rendezvous.Hash(instance)
	domains := slices.SortedFunc(maps.Keys(ready), func(a, b string) int {
		if order := owner.CompareTrueFirst(a == domain, b == domain); order != 0 {
			return order
		}
		if rendezvous.Rank(hash, rendezvous.Hash(a)) > rendezvous.Rank(hash, rendezvous.Hash(b)) {
			return -1
		}
		return 1
	})
	out := make(map[string]part)
	for _, d := range domains[:min(plainDomains, len(domains))] {
		of := uint64(1)
		for of*plainPartSize < uint64(ready[d]) {
			of *= 2
		}
		out[d] = part{index: hash % of, of: of}
	}
	return out
}

func totalCount(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// id identifies the subset: it differs whenever the selection differs.
func (n *targetSubset) id() string {
	var keys []string
	for s := range n.shards {
		keys = append(keys, s.Key)
	}
	for service, parts := range n.plain {
		for domain, p := range parts {
			keys = append(keys, fmt.Sprint(service, " ", domain, " ", p.index, " ", p.of))
		}
	}
	slices.Sort(keys)
	return "part " + strings.Join(keys, ",")
}

// contains reports whether a row is needed. The service of an unknown target is not known either, so its row is always forwarded.
func (n *targetSubset) contains(row feed.Row) bool {
	t, known := n.fleet.Info(row.Key)
	if !known {
		return true
	}
	if s := n.layout.ShardOf(t); s != nil {
		return n.shards[s]
	}
	parts, divided := n.plain[t.Service]
	if !divided {
		return true
	}
	p, held := parts[t.Domain]
	return held && rendezvous.Hash(t.ID)%p.of == p.index
}

// Digest implements feedlink.Partitioner.
func (p *Process) Digest() []byte {
	out := new(ownerpb.Division)
	division := p.shards.layout().Division()
	for _, service := range slices.Sorted(maps.Keys(division)) {
		s := &ownerpb.DividedService{Service: service, Mixed: p.software.isMixed(time.Now(), service)}
		for _, domain := range slices.Sorted(maps.Keys(division[service])) {
			s.Domains = append(s.Domains, &ownerpb.DividedDomain{Domain: domain, Shards: uint32(division[service][domain])})
		}
		out.Services = append(out.Services, s)
	}
	b, err := proto.Marshal(out)
	if err != nil {
		return nil
	}
	return b
}

// maxShardsPerDomain is the largest number of shards of a failure domain that is accepted from a peer.
const maxShardsPerDomain = 1 << 12

// ApplyDigest implements feedlink.Partitioner.
func (p *Process) ApplyDigest(b []byte) error {
	var msg ownerpb.Division
	if err := proto.Unmarshal(b, &msg); err != nil {
		return fmt.Errorf("gatewayproc: division of engines: %w", err)
	}
	division := make(owner.Division, len(msg.Services))
	turned := false
	for _, s := range msg.Services {
		turned = p.software.recordReport(time.Now(), s.Service, s.Mixed) || turned
		domains := make(map[string]int, len(s.Domains))
		for _, d := range s.Domains {
			if d.Shards > 0 && d.Shards <= maxShardsPerDomain {
				domains[d.Domain] = int(d.Shards)
			}
		}
		division[s.Service] = domains
	}
	p.shards.setDivision(division)
	if turned {
		p.storeStreams()
	}
	return nil
}

// setPartial records whether this instance holds a subset of the targets.
func (p *Process) setPartial(partial bool) {
	p.fleet.SetPartial(partial)
	if !partial {
		p.shards.setDivision(nil)
		p.software.forgetReported()
	}
}
