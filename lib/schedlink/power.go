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
		if s.capped {
			s.runner.SetPower(math.Inf(1), 0, math.Inf(1))
		}
		s.capped = false
		return
	}
	s.capped = true
	watts, valid := p.FallbackWatts, time.Duration(0)
	if share, ok := h.power[s.id]; ok && time.Now().Before(share.until) {
		watts, valid = share.watts, time.Until(share.until)
	}
	s.runner.SetPower(max(0, watts-p.DrainedWatts), valid, max(0, p.FallbackWatts-p.DrainedWatts))
}
