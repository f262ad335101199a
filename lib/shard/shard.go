// Package shard splits the targets of a service into shards, and determines the entry that owns each.
//
// Every entry computes both from local data, without a message: targets come from the settings revision in
// force and owners from the live members. Entries whose data differ for a moment may disagree on the owner
// of a shard. That costs speed only; guarantees to callers don't rest on owners.
package shard

import (
	"cmp"
	"fmt"
	"slices"

	"anvilwick.example/anvilwick/lib/rendezvous"
)

// ID names a shard of one service.
type ID struct {
	Service string
	Index   uint32
}

// String returns service/index.
func (id ID) String() string { return fmt.Sprintf("%s/%d", id.Service, id.Index) }

// Shard is a part of a service's targets.
type Shard struct {
	ID
	Targets []string // sorted
}

// spareFraction is the divisor of the share of places that stays free when the number of shards is chosen. Without spare places
// almost every shard would be full, and one new target would push others from shard to shard.
const spareFraction = 5

// Split puts the targets into shards of at most limit each. The result depends on the set alone. A target goes to the shard
// that ranks highest for it and has a free place, so an added or removed target moves few others, and an added shard takes
// from the others only the targets that rank it highest.
func Split(service string, targets []string, limit int) []Shard {
	count := countFor(len(targets), limit)
	shards := make([]Shard, count)
	for i := range shards {
		shards[i].ID = ID{Service: service, Index: uint32(i)}
	}
	for _, name := range byHash(targets) {
		i := bestWithCapacity(shards, name, limit)
		shards[i].Targets = append(shards[i].Targets, name)
	}
	for i := range shards {
		slices.Sort(shards[i].Targets)
	}
	return shards
}

// countFor returns the number of shards: one while all targets fit, so that on a small site one owner sees one queue.
func countFor(targets, limit int) int {
	if targets == 0 {
		return 0
	}
	if limit <= 0 || targets <= limit {
		return 1
	}
	usable := max(1, limit-limit/spareFraction)
	return (targets + usable - 1) / usable
}

// byHash sorts the targets in an order that is the same at every entry and does not favour the first names.
func byHash(targets []string) []string {
	out := slices.Clone(targets)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvous.Hash(a), rendezvous.Hash(b)), cmp.Compare(a, b))
	})
	return slices.Compact(out)
}

func bestWithCapacity(shards []Shard, target string, limit int) int {
	best, bestRank := -1, uint64(0)
	h := rendezvous.Hash(target)
	for i := range shards {
		if limit > 0 && len(shards[i].Targets) >= limit {
			continue
		}
		if r := rendezvous.Rank(h, uint64(i)); best < 0 || r > bestRank {
			best, bestRank = i, r
		}
	}
	return best
}
