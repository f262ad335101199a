package schedlink

import (
	"cmp"
	"slices"

	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/rendezvous"
	"anvilwick.example/anvilwick/lib/shard"
)

// digests are the last that were heard, by shard. The newest epoch wins when two owners spoke of one shard.
type digests map[shard.ID]*meshpb.ShardDigest

// newDigests keeps the last digest of a shard whose owner is gone: what it said of leaving targets still holds.
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

// maxChoices bounds the shards of a service that one entry uses. Using all would mean a stream to every owner of the
// site, at every entry. Each entry has its own by rendezvous hashing, so that all shards are used alike.
const maxChoices = 16

// choices returns the shards of a service that this entry chooses between.
func (l *Link) choices(sp *servicePlan) []shard.ID {
	ids := make([]shard.ID, 0, len(sp.shards))
	for _, s := range sp.shards {
		ids = append(ids, s.ID)
	}
	if len(ids) <= maxChoices {
		return ids
	}
	self := rendezvous.Hash(l.opts.Self)
	rank := func(id shard.ID) uint64 { return rendezvous.Rank(self, rendezvous.Hash(id.String())) }
	slices.SortFunc(ids, func(a, b shard.ID) int { return cmp.Compare(rank(b), rank(a)) })
	return ids[:maxChoices]
}

// choose gives an item a shard of its service: the better of two random ones. ok is false when there is none.
func (l *Link) choose(it *item) (ok bool) {
	ids := l.chosen[it.id.Service]
	if len(ids) == 0 {
		return false
	}
	it.id = ids[l.rng.IntN(len(ids))]
	other := ids[l.rng.IntN(len(ids))]
	if l.better(other, it.id) {
		it.id = other
	}
	return true
}

// better compares two shards by silence of the owner, expected wait, queue and running generations. One without a
// digest counts as empty: some entry must be the first to use it.
func (l *Link) better(a, b shard.ID) bool {
	if sa, sb := l.silent(a), l.silent(b); sa != sb {
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

func (l *Link) silent(id shard.ID) bool {
	m, ok := l.own.of(id)
	if !ok {
		return true
	}
	c := l.conns[m.Instance]
	return c != nil && c.silent
}

// reshard puts an item whose shard is no longer in the plan, or no longer holds its target, into one that fits.
func (l *Link) reshard(it *item) {
	sp := l.plan[it.id.Service]
	if sp == nil {
		return
	}
	if it.queued() {
		if l.plan.shard(it.id) == nil {
			l.choose(it)
		}
		return
	}
	if id, ok := shard.Find(sp.shards, it.target); ok {
		it.id = id
	}
}
