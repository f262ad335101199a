package power

import (
	"slices"
	"time"
)

// Lease is the allocator's lease from the platform's table.
type Lease struct {
	Fence uint64
	Since time.Time // when this process acquired it, on its own clock
	Until time.Time // when this process stops using it, well before it expires in the table
}

// Allocator divides the power cap among parts. It is not safe for concurrent use.
type Allocator struct {
	cfg       Config
	lease     Lease
	fallbacks map[string]float64
	parts     map[string]*part
	meter     meter
	seq       uint64
}

// part is the allocator's state of one part.
type part struct {
	fallback    float64
	wantedWatts float64
	drawnWatts  float64
	stamp       Stamp
	lastReport  time.Time
	outstanding []outstandingShare // shares that may still be in force, oldest first
}

// outstandingShare is a share as the allocator accounts for it.
type outstandingShare struct {
	seq   uint64
	watts float64
	until time.Time
}

// NewAllocator returns an Allocator without a lease. It issues no shares until SetLease is called.
func NewAllocator(cfg Config) *Allocator {
	return &Allocator{cfg: cfg, parts: make(map[string]*part), meter: meter{cfg: cfg}}
}

// SetLease applies a new or renewed lease. A new fence discards the shares issued so far; those of the previous holder are
// covered by Config.TakeoverDelay.
func (a *Allocator) SetLease(l Lease) {
	if l.Fence != a.lease.Fence {
		a.seq = 0
		for _, p := range a.parts {
			p.outstanding = nil
		}
	}
	a.lease = l
}

// Lease returns the lease last set.
func (a *Allocator) Lease() Lease { return a.lease }

// SetFallbacks replaces the parts and their fallbacks, which Config.Fallbacks computes.
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

// AddReading adds a measurement of the site's power draw.
func (a *Allocator) AddReading(now time.Time, r Reading) {
	a.meter.partial = !a.allReported(now)
	a.meter.addReading(now, r)
}

// allReported reports whether all parts have reported recently, so that the modelled draw is complete.
func (a *Allocator) allReported(now time.Time) bool {
	for _, p := range a.parts {
		if p.lastReport.IsZero() || now.Sub(p.lastReport) >= a.cfg.accountedTTL() {
			return false
		}
	}
	return true
}

// UsableWatts returns the power that all parts together may draw now.
func (a *Allocator) UsableWatts(now time.Time) float64 { return a.meter.usable(now) }

// GuardWatts returns the current width of the band kept free below the cap.
func (a *Allocator) GuardWatts(now time.Time) float64 { return a.meter.guard(now) }

// HandleReport answers a Report; ok is false when no share can be issued: without a lease, or for an unknown part.
//
// The lease is checked here, and the share ends TTL after the report was sent, which was before the check. However long
// this process is paused between the check and the sending, the share therefore ends within TTL of the lease.
func (a *Allocator) HandleReport(now time.Time, r Report) (s Share, ok bool) {
	p := a.parts[r.Part]
	if p == nil || a.isLate(p, r) {
		return Share{}, false
	}
	p.update(now, r, a.lease.Fence)
	a.meter.addModelled(now, a.totalDrawn())
	if a.lease.Fence == 0 || !now.Before(a.lease.Until) {
		return Share{}, false
	}
	a.seq++
	s = Share{Part: r.Part, Fence: a.lease.Fence, Seq: a.seq, Echo: r.Stamp, Watts: a.watts(now, p)}
	p.outstanding = append(p.outstanding, outstandingShare{seq: s.Seq, watts: s.Watts, until: now.Add(a.cfg.accountedTTL())})
	return s, true
}

func (a *Allocator) isLate(p *part, r Report) bool {
	if r.Stamp.Epoch != p.stamp.Epoch {
		return r.Stamp.Epoch < p.stamp.Epoch
	}
	return r.Stamp.Nanos <= p.stamp.Nanos
}

func (p *part) update(now time.Time, r Report, fence uint64) {
	p.wantedWatts, p.drawnWatts, p.stamp, p.lastReport = r.WantedWatts, r.DrawnWatts, r.Stamp, now
	p.outstanding = slices.DeleteFunc(p.outstanding, func(l outstandingShare) bool {
		replaced := r.AckFence == fence && l.seq < r.AckSeq
		return replaced || !now.Before(l.until)
	})
}

func (a *Allocator) totalDrawn() float64 {
	sum := 0.0
	for _, p := range a.parts {
		sum += p.drawnWatts
	}
	return sum
}

// committed returns the most that a part may draw: under any share in force, or its fallback, to which it reverts by itself.
func (p *part) committed(now time.Time) float64 {
	most := p.fallback
	for _, l := range p.outstanding {
		if now.Before(l.until) {
			most = max(most, l.watts)
		}
	}
	return most
}

// watts returns the new share of p.
func (a *Allocator) watts(now time.Time, p *part) float64 {
	usable := a.meter.usable(now)
	base := a.base(p, usable)
	if now.Sub(a.lease.Since) < a.cfg.TakeoverDelay() {
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

// base returns a part's fallback, scaled down if all fallbacks together exceed the usable power.
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

// extra returns p's max-min fair share of the usable power beyond the fallbacks.
func (a *Allocator) extra(now time.Time, p *part, usable float64) float64 {
	pool := usable
	wants := make([]float64, 0, len(a.parts))
	for _, q := range a.parts {
		pool -= q.fallback
		if now.Sub(q.lastReport) < a.cfg.accountedTTL() {
			wants = append(wants, max(0, q.wantedWatts-q.fallback))
		}
	}
	want := max(0, p.wantedWatts-p.fallback)
	level, scarce := waterLevel(wants, max(0, pool))
	if scarce {
		return min(want, level)
	}
	return want
}
