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

// An instance that only follows needs few targets of a large site: the engines of the shards that it ranks to own, and of one that it
// asks first and falls back on when no owner answers; the plain targets, which it chooses itself, or some of very many. What it does
// not hold it is told by owners, with each engine that they choose for it.
const (
	// wholeMost is the number of targets up to which each instance holds all; with fewer than wholeLeast it does so again.
	wholeMost  = 1024
	wholeLeast = 768
	// plainMost is the number of a plain service's targets up to which each instance holds all of them.
	plainMost = 128
	// plainPart is about how many targets of a failure domain an instance holds of a plain service that has more.
	plainPart = 64
	// plainDomains is of how many failure domains.
	plainDomains = 3
)

// wholeFor is how long an instance that holds all targets goes on doing so once it neither reads nor relays. While all instances of a
// site start, each list of them names others, and those that follow it by the list before are told nothing any more.
const wholeFor = 5 * time.Second

// WantsSubset implements feedlink.Parts: those that read or relay pass all targets on.
func (p *Process) WantsSubset() bool {
	now := time.Now()
	if p.place().Role != feedlink.RoleFollower {
		p.passedOn.Store(&now)
		return false
	}
	if _, known := p.feeds.targets.Version(); !known || p.feeds.targets.Partial() {
		return true
	}
	at := p.passedOn.Load()
	return at == nil || now.Sub(*at) > wholeFor
}

// SubsetFor implements feedlink.Parts.
func (p *Process) SubsetFor(instance, domain string) *feedlink.Subset {
	if !p.divides() {
		return nil
	}
	n := needOf(p.fleet, p.shards.layout(), instance, domain)
	return &feedlink.Subset{ID: n.name(), Contains: n.has}
}

// needOf is what an instance needs of the targets of a layout.
func needOf(f *fleet.Fleet, layout *owner.Layout, instance, domain string) *need {
	n := &need{fleet: f, layout: layout, shards: make(map[*owner.Shard]bool), plain: make(map[string]map[string]part)}
	for _, s := range layout.CandidateShards(instance) {
		n.shards[s] = true
	}
	for _, service := range layout.Services() {
		n.shards[layout.HomeShard(service, domain, instance)] = true
	}
	for service := range layout.Plain() {
		if ready := f.Ready(service); sum(ready) > plainMost {
			n.plain[service] = partOf(instance, domain, ready)
		}
	}
	return n
}

// divides reports whether there are so many targets that most instances hold a part. Around the bound it stays as it was: whoever
// changes between both is sent all that it needs anew.
func (p *Process) divides() bool {
	n := p.feeds.targets.Len()
	switch {
	case n > wholeMost:
		p.divided.Store(true)
	case n < wholeLeast:
		p.divided.Store(false)
	}
	return p.divided.Load()
}

// need is what an instance needs of the targets.
type need struct {
	fleet  *fleet.Fleet
	layout *owner.Layout
	shards map[*owner.Shard]bool
	plain  map[string]map[string]part // of plain services with many targets, by failure domain
}

// part is one of several parts, by the hash of a target's name.
type part struct{ index, of uint64 }

// partOf is the part of a plain service's targets, ready in some failure domains, that an instance holds.
func partOf(instance, domain string, ready map[string]int) map[string]part {
	own := rendezvous.Hash(instance)
	domains := slices.SortedFunc(maps.Keys(ready), func(a, b string) int {
		if order := owner.CompareTrueFirst(a == domain, b == domain); order != 0 {
			return order
		}
		if rendezvous.Rank(own, rendezvous.Hash(a)) > rendezvous.Rank(own, rendezvous.Hash(b)) {
			return -1
		}
		return 1
	})
	out := make(map[string]part)
	for _, d := range domains[:min(plainDomains, len(domains))] {
		of := uint64(1)
		for of*plainPart < uint64(ready[d]) {
			of *= 2
		}
		out[d] = part{index: own % of, of: of}
	}
	return out
}

func sum(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// name differs whenever something else is needed.
func (n *need) name() string {
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

// has reports whether a row is needed. One of a target that is not known can't be told from another and is passed on.
func (n *need) has(row feed.Row) bool {
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

// Digest implements feedlink.Parts.
func (p *Process) Digest() []byte {
	out := new(ownerpb.Division)
	division := p.shards.layout().Division()
	for _, service := range slices.Sorted(maps.Keys(division)) {
		s := &ownerpb.DividedService{Service: service}
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

// shardsMost bounds the shards of a failure domain that are believed.
const shardsMost = 1 << 12

// ApplyDigest implements feedlink.Parts.
func (p *Process) ApplyDigest(b []byte) error {
	var told ownerpb.Division
	if err := proto.Unmarshal(b, &told); err != nil {
		return fmt.Errorf("gatewayproc: division of engines: %w", err)
	}
	division := make(owner.Division, len(told.Services))
	for _, s := range told.Services {
		domains := make(map[string]int, len(s.Domains))
		for _, d := range s.Domains {
			if d.Shards > 0 && d.Shards <= shardsMost {
				domains[d.Domain] = int(d.Shards)
			}
		}
		division[s.Service] = domains
	}
	p.shards.setDivision(division)
	return nil
}

// holdsPart notes whether this instance holds a part of the targets.
func (p *Process) holdsPart(part bool) {
	p.fleet.SetPartial(part)
	if !part {
		p.shards.setDivision(nil)
	}
}
