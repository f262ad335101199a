package enginemodel

import (
	"math/rand/v2"
	"time"
)

// Noise describes momentary slowdowns by other work on the engine's machine. Time is divided into windows; during a share of them, drawn
// from Config.Seed, steps take Factor times as long. The zero value is an engine that is never slowed down.
type Noise struct {
	Share  float64       // of the windows, in [0, 1]
	Factor float64       // on the duration of steps that start during such a window
	Window time.Duration // length of a window
}

// at returns the factor on the duration of a step that starts at a time. It depends on the seed and the time alone.
func (n Noise) at(seed uint64, now time.Duration) float64 {
	if n.Share <= 0 || n.Window <= 0 {
		return 1
	}
	phase := rand.New(rand.NewPCG(seed, 0x7068617365)).Int64N(int64(n.Window)) // engines don't change at the same moment
	window := uint64((int64(now) + phase) / int64(n.Window))
	if rand.New(rand.NewPCG(seed, window)).Float64() < n.Share {
		return n.Factor
	}
	return 1
}

// Slowdown returns the momentary factor on the duration of steps; 1 is normal speed.
func (e *Engine) Slowdown(now time.Duration) float64 { return e.cfg.Noise.at(e.cfg.Seed, now) }
