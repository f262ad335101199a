// Package power keeps a site under its cap on electric power by budgets for each service (or any other part that
// draws power), so that work is slowed and not dropped.
//
// An Allotter, run by whoever holds the lease, sends Shares. A Follower applies the newest one and falls back to a
// fixed part of the cap when it ends. At any time, the sum of what followers may draw is under the cap: an allotter
// counts each follower with the most that it may draw under any share that has not ended, and with its fallback.
// Both are pure: the time is passed in, messages are returned.
package power

import (
	"slices"
	"time"
)

// Config holds the timing and the guard band, the same at all processes of a site.
type Config struct {
	CapWatts      float64
	GuardWatts    float64       // kept free always
	SlewWatts     float64       // a second: how fast the draw may rise unseen; the guard grows by it with a reading's age
	MaxGuardWatts float64       // guard with missing or frozen readings
	MaxAge        time.Duration // an older reading is missing
	FrozenAfter   time.Duration // the same reading for so long, while the modelled draw moves, is frozen
	FrozenWatts   float64       // how much the modelled draw must have moved
	TTL           time.Duration // life of a share
	ClockSkew     float64       // bound on the difference in rate of two monotonic clocks
	Drain         time.Duration // how long before a share's end a follower is back at its fallback
	FallbackShare float64       // part of the cap, less MaxGuardWatts, that fallbacks sum up to
}

// DefaultConfig returns a Config for a cap and a fixed guard in watts.
func DefaultConfig(capWatts, guardWatts float64) Config {
	return Config{
		CapWatts: capWatts, GuardWatts: guardWatts, SlewWatts: capWatts / 100, MaxGuardWatts: guardWatts + capWatts/10,
		MaxAge: 10 * time.Second, FrozenAfter: 10 * time.Second, FrozenWatts: capWatts / 50,
		TTL: 10 * time.Second, ClockSkew: 0.02, Drain: time.Second, FallbackShare: 0.5,
	}
}

// lent is how long an allotter counts a share, which is longer than its follower does by the clock skew.
func (c Config) lent() time.Duration { return time.Duration(float64(c.TTL) * (1 + c.ClockSkew)) }

// WaitOut is how long a new allotter gives fallbacks only: the last shares of the one before it may run so long.
func (c Config) WaitOut() time.Duration { return time.Duration(float64(c.lent()) * (1 + c.ClockSkew)) }

// Part is something that draws power, with the least and the most that it can draw.
type Part struct {
	Name      string
	IdleWatts float64 // with nothing running
	MaxWatts  float64
}

// Fallbacks gives each part what it draws idle, and splits the fallback part of the rest of the cap in proportion to what
// parts can draw beyond that. It depends on settings alone, so all processes work out the same.
//
// A fallback under the idle draw would stop all work for as long as nobody divides the cap. The idle draw is there once,
// however many follow for one part: with FallbackShare at a half, the cap holds even with every part followed twice.
func (c Config) Fallbacks(parts []Part) map[string]float64 {
	idle, above := 0.0, 0.0
	for _, p := range parts {
		idle += p.IdleWatts
		above += p.MaxWatts - p.IdleWatts
	}
	usable := max(0, c.CapWatts-c.MaxGuardWatts)
	scale := 1.0 // of idle draws that alone pass what is usable
	if idle > usable {
		scale = usable / idle
	}
	pool := c.FallbackShare * max(0, usable-idle)
	out := make(map[string]float64, len(parts))
	for _, p := range parts {
		out[p.Name] = scale * p.IdleWatts
		if above > 0 {
			out[p.Name] += min(1, pool/above) * (p.MaxWatts - p.IdleWatts)
		}
	}
	return out
}

// Stamp is a time on a follower's own clock; it only returns to it.
type Stamp struct {
	Epoch uint64 // incarnation of the follower's process
	Nanos int64  // since it started, over 0
}

// Report goes from a follower to the allotter.
type Report struct {
	Part        string
	Stamp       Stamp
	WantedWatts float64 // that its queued and running work could use
	DrawnWatts  float64 // modelled
	AckFence    uint64  // of the share in force, or the last one
	AckSeq      uint64
}

// Share answers a Report.
type Share struct {
	Part  string
	Fence uint64 // of the allotter's lease
	Seq   uint64 // grows under one fence
	Echo  Stamp  // the share ends TTL after this
	Watts float64
}

// newer orders shares by fence, then by number.
func (s Share) newer(fence, seq uint64) bool {
	return s.Fence > fence || s.Fence == fence && s.Seq > seq
}

// waterLevel returns the level at which the sum of min(want, level) is total; scarce is false when all wants fit.
func waterLevel(wants []float64, total float64) (level float64, scarce bool) {
	slices.Sort(wants)
	for i, w := range wants {
		each := total / float64(len(wants)-i)
		if w > each {
			return each, true
		}
		total -= w
	}
	return 0, false
}
