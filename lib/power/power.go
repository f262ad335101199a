// Package power keeps a site below its cap on electric power. It gives each service, or any other part that draws power, a
// budget, so that work slows down instead of failing.
//
// An Allocator, run by the lease holder, issues Shares. A Follower applies the newest one and reverts to a fixed fallback
// when it ends. At any time the sum of the followers' limits is below the cap: the allocator counts for each follower the
// largest share that has not ended, and at least its fallback. Both types are pure: the time is passed in, and messages
// are returned.
package power

import (
	"slices"
	"time"
)

// Config holds the timing and the guard band. It must be the same in all processes of a site.
type Config struct {
	CapWatts      float64
	GuardWatts    float64       // always kept free
	SlewWatts     float64       // per second: how fast the draw may rise unseen; the guard grows by it with a reading's age
	MaxGuardWatts float64       // guard with missing or frozen readings
	MaxAge        time.Duration // an older reading counts as missing
	FrozenAfter   time.Duration // a reading unchanged for this long, while the modelled draw changes, counts as frozen
	FrozenWatts   float64       // change of the modelled draw required for that
	TTL           time.Duration // lifetime of a share
	ClockSkew     float64       // bound on the relative rate difference of two monotonic clocks
	Drain         time.Duration // time before a share's end at which a follower is back at its fallback
	FallbackShare float64       // fraction of the cap, less MaxGuardWatts, that the fallbacks add up to
}

// DefaultConfig returns a Config for a cap and a fixed guard in watts.
func DefaultConfig(capWatts, guardWatts float64) Config {
	return Config{
		CapWatts: capWatts, GuardWatts: guardWatts, SlewWatts: capWatts / 100, MaxGuardWatts: guardWatts + capWatts/10,
		MaxAge: 10 * time.Second, FrozenAfter: 10 * time.Second, FrozenWatts: capWatts / 50,
		TTL: 10 * time.Second, ClockSkew: 0.02, Drain: time.Second, FallbackShare: 0.5,
	}
}

// accountedTTL returns how long an allocator counts a share: the follower's lifetime extended by the clock skew.
func (c Config) accountedTTL() time.Duration {
	return time.Duration(float64(c.TTL) * (1 + c.ClockSkew))
}

// TakeoverDelay is how long a new allocator issues fallbacks only, because the previous one's last shares may still be in force.
func (c Config) TakeoverDelay() time.Duration {
	return time.Duration(float64(c.accountedTTL()) * (1 + c.ClockSkew))
}

// Part is a consumer of power, with the minimum and maximum that it can draw.
type Part struct {
	Name      string
	IdleWatts float64 // with nothing running
	MaxWatts  float64
}

// Fallbacks returns a fallback for each part: its idle draw, and a part of FallbackShare of the remaining usable power in
// proportion to what it can draw beyond idle. It depends on settings alone, so all processes compute the same values.
//
// With a fallback below the idle draw, all work would stop for as long as no allocator is active. The idle draw occurs
// once, however many followers a part has: with FallbackShare at a half, the cap holds even with two followers per part.
func (c Config) Fallbacks(parts []Part) map[string]float64 {
	idle, above := 0.0, 0.0
	for _, p := range parts {
		idle += p.IdleWatts
		above += p.MaxWatts - p.IdleWatts
	}
	usable := max(0, c.CapWatts-c.MaxGuardWatts)
	scale := 1.0 // applied to the idle draws if their sum alone exceeds the usable power
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

// Stamp is a time on a follower's own clock. Only that follower interprets it.
type Stamp struct {
	Epoch uint64 // incarnation of the follower's process
	Nanos int64  // since it started; greater than 0
}

// Report is sent by a follower to the allocator.
type Report struct {
	Part        string
	Stamp       Stamp
	WantedWatts float64 // power that its queued and running work could use
	DrawnWatts  float64 // modelled draw
	AckFence    uint64  // fence of the share acknowledged last
	AckSeq      uint64
}

// Share is the allocator's answer to a Report.
type Share struct {
	Part  string
	Fence uint64 // of the allocator's lease
	Seq   uint64 // increases under one fence
	Echo  Stamp  // stamp of the report; the share ends TTL after it
	Watts float64
}

// newer reports whether s supersedes a share with the given fence and sequence number.
func (s Share) newer(fence, seq uint64) bool {
	return s.Fence > fence || s.Fence == fence && s.Seq > seq
}

// waterLevel returns the level at which the sum of min(want, level) is total; scarce is false if all wants are met.
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
