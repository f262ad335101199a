package schedlink

import (
	"math"
	"time"

	"anvilwick.example/anvilwick/lib/shard"
)

// powerShare is the power that this instance may draw for a shard until the share expires.
type powerShare struct {
	watts   float64
	expires time.Time
}

// SetPower sets this instance's power share for a shard, in watts. After validFor the fallback of the settings applies.
func (h *Host) SetPower(id shard.ID, watts float64, validFor time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.power[id] = powerShare{watts: watts, expires: time.Now().Add(validFor)}
	if s := h.shards[id]; s != nil {
		h.applyPower(s)
	}
}

// applyPower applies the share in force, or the fallback of the settings. The caller holds mu.
//
// Failure: an entry that has received nothing from its control process, after a start or permanently, would draw without
// limit. All fallbacks together are below the cap, whoever owns the shards, so an owner may start with its own.
func (h *Host) applyPower(s *hostedShard) {
	p, capped := h.plan.powerOf(s.id)
	if !capped {
		if s.capped.Swap(false) {
			s.runner.SetPower(math.Inf(1), 0, math.Inf(1))
		}
		return
	}
	s.capped.Store(true)
	watts, valid := p.FallbackWatts, time.Duration(0)
	if share, ok := h.power[s.id]; ok && time.Now().Before(share.expires) {
		watts, valid = share.watts, time.Until(share.expires)
	}
	s.runner.SetPower(max(0, watts-p.DrainedWatts), valid, max(0, p.FallbackWatts-p.DrainedWatts))
}

// fitsPower reports whether this entry may start one more generation on a shard without its owner.
//
// Failure: an owner becomes silent and every entry starts what it holds, so the site exceeds its cap. Instead, the entries
// split evenly what the shard's fallback leaves beside all generations that the owner last reported as running. If nothing
// is left, their work waits: a dead owner is replaced within seconds, and one that is silent only to this entry has the
// shard's share in use.
func (l *Link) fitsPower(id shard.ID) bool {
	p, capped := l.plan.powerOf(id)
	if !capped {
		return true
	}
	free := (p.FallbackWatts - p.DrainedWatts) * (1 - selfPlaceGuard)
	perSeq, running, selfPlaced := 0.0, 0, 0
	for _, t := range l.plan.specsOf(id) {
		free -= t.IdleWatts
		perSeq = max(perSeq, t.SeqWatts)
		running += l.selfPlacer.running[t.Name]
		selfPlaced += l.selfPlacer.selfPlaced[t.Name]
	}
	known := max(int(l.digests[id].GetRunning()), running-selfPlaced)
	free -= perSeq * float64(known)
	share := free / float64(max(1, len(l.owners.workers)))
	return perSeq*float64(selfPlaced+1) <= share
}

// selfPlaceGuard is the fraction of a fallback that entries keep free when they place without the owner, as owners do.
const selfPlaceGuard = 0.02
