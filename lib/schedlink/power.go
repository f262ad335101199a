package schedlink

import (
	"math"
	"time"

	"anvilwick.example/anvilwick/lib/shard"
)

// powerShare is what this instance may draw for a shard until it runs out.
type powerShare struct {
	watts float64
	until time.Time
}

// SetPower sets this instance's share of watts for a shard. After validFor the fallback of the settings holds.
func (h *Host) SetPower(id shard.ID, watts float64, validFor time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.power[id] = powerShare{watts: watts, until: time.Now().Add(validFor)}
	if s := h.shards[id]; s != nil {
		h.applyPower(s)
	}
}

// applyPower puts the share in force, or the fallback of the settings. The caller holds mu.
//
// Failure: an entry whose control process has told it nothing, after a start or for ever, draws what it likes. All
// fallbacks together are under the cap, whoever owns the shards, so an owner may start with its own.
func (h *Host) applyPower(s *hosted) {
	p, capped := h.plan.powerOf(s.id)
	if !capped {
		if s.capped.Swap(false) {
			s.runner.SetPower(math.Inf(1), 0, math.Inf(1))
		}
		return
	}
	s.capped.Store(true)
	watts, valid := p.FallbackWatts, time.Duration(0)
	if share, ok := h.power[s.id]; ok && time.Now().Before(share.until) {
		watts, valid = share.watts, time.Until(share.until)
	}
	s.runner.SetPower(max(0, watts-p.DrainedWatts), valid, max(0, p.FallbackWatts-p.DrainedWatts))
}

// powerRoom reports whether this entry may start one more on a shard without its owner.
//
// Failure: an owner falls silent and every entry starts what it holds; the site passes its cap. Here they start, each its
// part, what the shard's fallback leaves beside all that the owner last said to run. When that is nothing, their work
// waits: a dead owner is replaced within seconds, and one that is silent to this entry alone has the shard's share in use.
func (l *Link) powerRoom(id shard.ID) bool {
	p, capped := l.plan.powerOf(id)
	if !capped {
		return true
	}
	free := (p.FallbackWatts - p.DrainedWatts) * (1 - aloneGuard)
	perSeq, mine, self := 0.0, 0, 0
	for _, t := range l.plan.specsOf(id) {
		free -= t.IdleWatts
		perSeq = max(perSeq, t.SeqWatts)
		mine += l.alone.running[t.Name]
		self += l.alone.self[t.Name]
	}
	known := max(int(l.digests[id].GetRunning()), mine-self)
	free -= perSeq * float64(known)
	part := free / float64(max(1, len(l.own.workers)))
	return perSeq*float64(self+1) <= part
}

// aloneGuard is the fraction of a fallback that entries leave free when they decide alone, as owners do.
const aloneGuard = 0.02
