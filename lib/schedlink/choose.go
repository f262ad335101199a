package schedlink

import (
	"cmp"
	"slices"

	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/rendezvous"
	"anvilwick.example/anvilwick/lib/shard"
)

// digests holds the last digest received for each shard. If two owners published one, that with the newer epoch wins.
type digests map[shard.ID]*meshpb.ShardDigest

// newDigests builds the table from list. It keeps the last digest of a shard whose owner is gone, because its list of
// leaving targets still applies.
func newDigests(old digests, list []member.Digest, p plan) digests {
	out := make(digests, len(list))
	for _, d := range list {
		id := shard.ID{Service: d.GetService(), Index: d.GetShard()}
		if other := out[id]; other == nil || d.GetEpoch() > other.GetEpoch() {
			out[id] = d.ShardDigest
		}
	}
	for id, d := range old {
		if out[id] == nil && p.shard(id) != nil {
			out[id] = d
		}
	}
	return out
}

// maxCandidates limits the shards of a service that one entry uses. Using all would require a stream from every entry to every
// owner of the site. Each entry picks its own shards by rendezvous hashing, so that all shards are used evenly.
const maxCandidates = 16

// candidateShards returns the shards of a service among which this entry chooses.
func (l *Link) candidateShards(sp *servicePlan) []shard.ID {
	ids := make([]shard.ID, 0, len(sp.shards))
	for _, s := range sp.shards {
		ids = append(ids, s.ID)
	}
	if len(ids) <= maxCandidates {
		return ids
	}
	self := rendezvous.Hash(l.opts.Self)
	rank := func(id shard.ID) uint64 { return rendezvous.Rank(self, rendezvous.Hash(id.String())) }
	slices.SortFunc(ids, func(a, b shard.ID) int { return cmp.Compare(rank(b), rank(a)) })
	return ids[:maxCandidates]
}

// chooseShard assigns an item to the less loaded of two random shards of its service. It returns false if there is none.
func (l *Link) chooseShard(it *item) (ok bool) {
	ids := l.candidates[it.id.Service]
	if it.req.Emitted > 0 {
		ids = l.shardsWithSoftware(it)
	}
	if len(ids) == 0 {
		return false
	}
	it.id = ids[l.rng.IntN(len(ids))]
	other := ids[l.rng.IntN(len(ids))]
	if l.preferred(other, it.id) {
		it.id = other
	}
	return true
}

// shardsWithSoftware returns the shards of an item's service that have a target of the software version that began it.
func (l *Link) shardsWithSoftware(it *item) []shard.ID {
	sp := l.plan[it.id.Service]
	if sp == nil {
		return nil
	}
	var ids []shard.ID
	for _, s := range sp.shards {
		if len(l.targetsFor(&it.req, s.ID)) > 0 {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// preferred reports whether shard a is preferred over b, by silence of the owner, expected wait, queue length and running
// generations. A shard without a digest counts as empty, as some entry must be the first to use it.
func (l *Link) preferred(a, b shard.ID) bool {
	if sa, sb := l.ownerSilent(a), l.ownerSilent(b); sa != sb {
		return sb
	}
	da, db := l.digests[a], l.digests[b]
	switch {
	case da.GetExpectedWaitMs() != db.GetExpectedWaitMs():
		return da.GetExpectedWaitMs() < db.GetExpectedWaitMs()
	case da.GetQueued() != db.GetQueued():
		return da.GetQueued() < db.GetQueued()
	default:
		return da.GetRunning() < db.GetRunning()
	}
}

func (l *Link) ownerSilent(id shard.ID) bool {
	m, ok := l.owners.ownerOf(id)
	if !ok {
		return true
	}
	c := l.conns[m.Instance]
	return c != nil && c.silent
}

// reshard moves an item to another shard if its own was removed from the plan or no longer contains its target.
func (l *Link) reshard(it *item) {
	sp := l.plan[it.id.Service]
	if sp == nil {
		return
	}
	if it.queued() {
		if l.plan.shard(it.id) == nil {
			l.chooseShard(it)
		}
		return
	}
	if id, ok := shard.Find(sp.shards, it.target); ok {
		it.id = id
	}
}
