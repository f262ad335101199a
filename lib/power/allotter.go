package power

import (
	"slices"
	"time"
)

// Lease is what the allotter's process holds in the platform's table.
type Lease struct {
	Fence uint64
	Since time.Time // when this process got it, on its own clock
	Until time.Time // when this process stops believing in it, well before it ends in the table
}

// Allocator divides the cap. It is not safe for concurrent use.
type Allocator struct {
	cfg       Config
	lease     Lease
	fallbacks map[string]float64
	parts     map[string]*part
	meter     meter
	seq       uint64
}

// part is what an allotter knows of one part.
type part struct {
	fallback float64
	wanted   float64
	drawn    float64
	stamp    Stamp
	heard    time.Time
	loans    []loan // shares that may still be in force, the oldest first
}

type loan struct {
	seq   uint64
	watts float64
	until time.Time
}

// NewAllocator returns an Allotter without a lease, which gives nothing.
func NewAllocator(cfg Config) *Allocator {
	return &Allocator{cfg: cfg, parts: make(map[string]*part), meter: meter{cfg: cfg}}
}

// SetLease takes in a new or renewed lease. A new fence starts from nothing: shares of the holder before are waited out.
func (a *Allocator) SetLease(l Lease) {
	if l.Fence != a.lease.Fence {
		a.seq = 0
		for _, p := range a.parts {
			p.loans = nil
		}
	}
	a.lease = l
}

// Lease returns the lease last taken in.
func (a *Allocator) Lease() Lease { return a.lease }

// SetFallbacks replaces the parts and their fallbacks, as Config.Fallbacks gives them.
func (a *Allocator) SetFallbacks(fallbacks map[string]float64) {
	a.fallbacks = fallbacks
	for name, p := range a.parts {
		if _, ok := fallbacks[name]; !ok {
			delete(a.parts, name)
			continue
		}
		p.fallback = fallbacks[name]
	}
	for name, w := range fallbacks {
		if a.parts[name] == nil {
			a.parts[name] = &part{fallback: w}
		}
	}
}

// AddReading takes in a measurement of the site's draw.
func (a *Allocator) AddReading(now time.Time, r Reading) {
	a.meter.partial = !a.allHeard(now)
	a.meter.read(now, r)
}

// allHeard reports whether the modelled draw is that of all parts.
func (a *Allocator) allHeard(now time.Time) bool {
	for _, p := range a.parts {
		if p.heard.IsZero() || now.Sub(p.heard) >= a.cfg.lent() {
			return false
		}
	}
	return true
}

// UsableWatts is what all parts may draw together now.
func (a *Allocator) UsableWatts(now time.Time) float64 { return a.meter.usable(now) }

// GuardWatts is the band kept free under the cap now.
func (a *Allocator) GuardWatts(now time.Time) float64 { return a.meter.guard(now) }

// HandleReport answers a Report; ok is false when there is nothing to give: no lease, or an unknown part.
//
// The lease is checked here and the share ends TTL after the report was sent, which was before the check. So however
// long this process is paused between the check and the sending, the share ends within TTL of the lease.
func (a *Allocator) HandleReport(now time.Time, r Report) (s Share, ok bool) {
	p := a.parts[r.Part]
	if p == nil || a.late(p, r) {
		return Share{}, false
	}
	p.update(now, r, a.lease.Fence)
	a.meter.model(now, a.drawn())
	if a.lease.Fence == 0 || !now.Before(a.lease.Until) {
		return Share{}, false
	}
	a.seq++
	s = Share{Part: r.Part, Fence: a.lease.Fence, Seq: a.seq, Echo: r.Stamp, Watts: a.watts(now, p)}
	p.loans = append(p.loans, loan{seq: s.Seq, watts: s.Watts, until: now.Add(a.cfg.lent())})
	return s, true
}

func (a *Allocator) late(p *part, r Report) bool {
	if r.Stamp.Epoch != p.stamp.Epoch {
		return r.Stamp.Epoch < p.stamp.Epoch
	}
	return r.Stamp.Nanos <= p.stamp.Nanos
}

func (p *part) update(now time.Time, r Report, fence uint64) {
	p.wanted, p.drawn, p.stamp, p.heard = r.WantedWatts, r.DrawnWatts, r.Stamp, now
	p.loans = slices.DeleteFunc(p.loans, func(l loan) bool {
		replaced := r.AckFence == fence && l.seq < r.AckSeq
		return replaced || !now.Before(l.until)
	})
}

func (a *Allocator) drawn() float64 {
	sum := 0.0
	for _, p := range a.parts {
		sum += p.drawn
	}
	return sum
}

// committed is the most that a part may draw: under a share in force, or its fallback, to which it returns by itself.
func (p *part) committed(now time.Time) float64 {
	most := p.fallback
	for _, l := range p.loans {
		if now.Before(l.until) {
			most = max(most, l.watts)
		}
	}
	return most
}

// watts is the new share of p.
func (a *Allocator) watts(now time.Time, p *part) float64 {
	usable := a.meter.usable(now)
	base := a.base(p, usable)
	if now.Sub(a.lease.Since) < a.cfg.WaitOut() {
		return base
	}
	free := usable
	for _, q := range a.parts {
		if q != p {
			free -= q.committed(now)
		}
	}
	return max(base, min(base+a.extra(now, p, usable), free))
}

// base is a part's fallback, scaled down when all fallbacks together are over what is usable.
func (a *Allocator) base(p *part, usable float64) float64 {
	sum := 0.0
	for _, q := range a.parts {
		sum += q.fallback
	}
	if sum <= usable || sum == 0 {
		return p.fallback
	}
	return p.fallback * usable / sum
}

// extra is p's max-min fair part of what is usable beyond the fallbacks.
func (a *Allocator) extra(now time.Time, p *part, usable float64) float64 {
	pool := usable
	wants := make([]float64, 0, len(a.parts))
	for _, q := range a.parts {
		pool -= q.fallback
		if now.Sub(q.heard) < a.cfg.lent() {
			wants = append(wants, max(0, q.wanted-q.fallback))
		}
	}
	want := max(0, p.wanted-p.fallback)
	level, scarce := waterLevel(wants, max(0, pool))
	if scarce {
		return min(want, level)
	}
	return want
}
