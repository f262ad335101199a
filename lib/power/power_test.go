package power_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"anvilwick.example/anvilwick/lib/power"
)

var t0 = time.Unix(1_700_000_000, 0)

// site simulates parts and two processes that compete for the lease, in virtual time, each on a clock of its own rate.
type site struct {
	cfg     power.Config
	rng     *rand.Rand
	now     time.Duration // true time
	parts   []*sitePart
	holders []*siteHolder
	mail    []mail
	fence   uint64
	lapses  time.Duration // true time at which the lease in the table expires
	owner   int           // index of the lease holder
	loss    float64
	cut     map[[2]int]bool // part and holder whose link drops all messages
}

type sitePart struct {
	name   string
	rate   float64
	f      *power.Follower
	epoch  uint64
	wanted float64
}

type siteHolder struct {
	rate   float64
	a      *power.Allocator
	paused time.Duration
	held   []mail // answers delayed by a pause between decision and sending
}

type mail struct {
	at     time.Duration
	to     int
	report *power.Report
	share  *power.Share
}

const (
	leaseTTL    = 6 * time.Second
	leaseMargin = 2 * time.Second // a holder stops using its lease this long before it expires
	step        = 50 * time.Millisecond
)

func newSite(cfg power.Config, seed uint64, n int) *site {
	s := &site{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 3)), owner: -1, cut: make(map[[2]int]bool)}
	specs := make([]power.Part, n)
	for i := range specs {
		specs[i] = power.Part{Name: fmt.Sprint("part-", i), MaxWatts: 500 + 500*s.rng.Float64()}
	}
	fallbacks := cfg.Fallbacks(specs)
	for _, sp := range specs {
		p := &sitePart{name: sp.Name, rate: s.clockRate()}
		p.f = power.NewFollower(s.at(p.rate), cfg, sp.Name, 1, fallbacks[sp.Name])
		p.epoch = 1
		s.parts = append(s.parts, p)
	}
	for range 2 {
		h := &siteHolder{rate: s.clockRate(), a: power.NewAllocator(cfg)}
		h.a.SetFallbacks(fallbacks)
		s.holders = append(s.holders, h)
	}
	return s
}

func (s *site) clockRate() float64            { return 1 + (s.rng.Float64()-0.5)*s.cfg.ClockSkew }
func (s *site) at(rate float64) time.Time     { return t0.Add(time.Duration(float64(s.now) * rate)) }
func (s *site) chance(perSecond float64) bool { return s.rng.Float64() < perSecond*step.Seconds() }

// tick advances the site by one step.
func (s *site) tick(reading func(*power.Allocator, time.Time)) {
	s.now += step
	s.renewLease()
	for _, h := range s.holders {
		if s.now < h.paused {
			continue
		}
		s.mail = append(s.mail, h.held...)
		h.held = nil
		if reading != nil && s.chance(1) {
			reading(h.a, s.at(h.rate))
		}
	}
	for pi, p := range s.parts {
		if s.chance(0.1) {
			link := [2]int{pi, s.rng.IntN(len(s.holders))}
			s.cut[link] = !s.cut[link]
		}
		if s.chance(2) {
			r := p.f.Report(s.at(p.rate), p.wanted, min(p.wanted, p.f.Limit(s.at(p.rate))))
			for i := range s.holders {
				if !s.cut[[2]int{pi, i}] {
					s.post(mail{to: i, report: &r})
				}
			}
		}
	}
	s.deliver()
}

// renewLease lets the lease holder renew it, and gives an expired lease to a holder that is not paused.
func (s *site) renewLease() {
	if s.owner >= 0 && s.now < s.lapses {
		h := s.holders[s.owner]
		if s.now >= h.paused && s.lapses-s.now < leaseTTL/2 {
			s.lapses = s.now + leaseTTL
			s.grant(h, h.a.Lease().Since)
		}
		return
	}
	s.owner = -1
	for i, h := range s.holders {
		if s.now >= h.paused && s.chance(1) {
			s.owner, s.lapses = i, s.now+leaseTTL
			s.fence++
			s.grant(h, s.at(h.rate))
			return
		}
	}
}

func (s *site) grant(h *siteHolder, since time.Time) {
	h.a.SetLease(power.Lease{Fence: s.fence, Since: since, Until: s.at(h.rate).Add(leaseTTL - leaseMargin)})
}

func (s *site) post(m mail) {
	if s.rng.Float64() < s.loss {
		return
	}
	m.at = s.now + time.Duration(s.rng.Int64N(int64(100*time.Millisecond)))
	if s.rng.IntN(20) == 0 {
		m.at += time.Duration(s.rng.Int64N(int64(20 * time.Second)))
	}
	s.mail = append(s.mail, m)
}

func (s *site) deliver() {
	due := s.mail
	s.mail = nil
	for _, m := range due {
		switch {
		case m.at > s.now:
			s.mail = append(s.mail, m)
		case m.report != nil:
			s.answer(m)
		default:
			p := s.parts[m.to]
			p.f.Apply(s.at(p.rate), *m.share)
		}
	}
}

func (s *site) answer(m mail) {
	h := s.holders[m.to]
	if s.now < h.paused {
		s.mail = append(s.mail, m) // stays in the socket buffer
		return
	}
	share, ok := h.a.HandleReport(s.at(h.rate), *m.report)
	if !ok {
		return
	}
	for i, p := range s.parts {
		if p.name != share.Part {
			continue
		}
		back := mail{to: i, share: &share}
		if s.chance(0.2) {
			h.paused = s.now + time.Duration(s.rng.Int64N(int64(30*time.Second)))
			h.held = append(h.held, back)
			return
		}
		s.post(back)
	}
}

// drawn returns the draw of all parts: their demand, up to their limits.
func (s *site) drawn() float64 {
	sum := 0.0
	for _, p := range s.parts {
		sum += min(p.wanted, p.f.Limit(s.at(p.rate)))
	}
	return sum
}

func (s *site) mayDraw() float64 {
	sum := 0.0
	for _, p := range s.parts {
		sum += p.f.Limit(s.at(p.rate))
	}
	return sum
}

// The site's breaker trips if the parts together are allowed more than the cap. This must not happen when the lease holder
// is paused in the middle of an answer and wakes up without its lease, another takes over with a higher fence, messages are
// lost or half a minute late, parts restart, and readings lag, stop or freeze.
func TestSumNeverOverCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := power.DefaultConfig(10_000, 500)
		s := newSite(cfg, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 8).Draw(t, "parts"))
		s.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
		for _, p := range s.parts {
			p.wanted = 400
		}
		granted := 0.0
		for range 1200 {
			s.tick(func(a *power.Allocator, now time.Time) {
				if s.rng.IntN(3) > 0 {
					a.AddReading(now, power.Reading{
						Watts: s.drawn() * (0.9 + 0.2*s.rng.Float64()),
						Age:   time.Duration(s.rng.Int64N(int64(5 * time.Second))),
					})
				}
			})
			for _, p := range s.parts {
				if s.chance(0.3) {
					p.wanted = []float64{100, 1500, 12_000}[s.rng.IntN(3)]
				}
				if s.chance(0.05) {
					p.epoch++
					p.f = power.NewFollower(s.at(p.rate), cfg, p.name, p.epoch, p.f.Fallback())
				}
			}
			granted = max(granted, s.mayDraw())
			if granted > cfg.CapWatts {
				t.Fatalf("%v: parts may draw %.0f W under a cap of %.0f W", s.now, granted, cfg.CapWatts)
			}
		}
	})
}

// When a service's work grows, its share follows within three of its reports, in whatever order they arrive, and it keeps
// the extra power only while others don't need it. The planner's share must shrink, and its next report must acknowledge
// that, before the dispatch service gets the power; otherwise the site would exceed its cap.
func TestSharesFollowDemand(t *testing.T) {
	const rounds, grown = 7, 4 // the last of them with grown demand
	for order := range 1 << rounds {
		s := newShares(t)
		for i := range rounds - grown {
			s.round(order>>i&1 == 1, 9000, 100)
		}
		must.Between(t, 7000, s.limit("planner"), 7500)
		for i := rounds - grown; i < rounds; i++ {
			s.round(order>>i&1 == 1, 9000, 9000)
		}
		must.Between(t, 4500, s.limit("dispatch"), 4750, must.Sprintf("order %07b", order))
	}
}

// shares is an allocator with two services that report to it once a round.
type shares struct {
	t         *testing.T
	now       time.Time
	allocator *power.Allocator
	followers map[string]*power.Follower
}

func newShares(t *testing.T) *shares {
	cfg := power.DefaultConfig(10_000, 500)
	s := &shares{t: t, now: t0.Add(cfg.TakeoverDelay()), allocator: power.NewAllocator(cfg), followers: map[string]*power.Follower{}}
	fallbacks := map[string]float64{"planner": 2000, "dispatch": 2000}
	s.allocator.SetFallbacks(fallbacks)
	s.allocator.SetLease(power.Lease{Fence: 1, Since: t0, Until: t0.Add(time.Hour)})
	for name, w := range fallbacks {
		s.followers[name] = power.NewFollower(t0, cfg, name, 1, w)
	}
	return s
}

func (s *shares) limit(name string) float64 { return s.followers[name].Limit(s.now) }

func (s *shares) round(swapped bool, planner, dispatch float64) {
	s.now = s.now.Add(time.Second)
	s.allocator.AddReading(s.now, power.Reading{Watts: 2900 + s.now.Sub(t0).Seconds()})
	if swapped {
		s.report("dispatch", dispatch)
		s.report("planner", planner)
		return
	}
	s.report("planner", planner)
	s.report("dispatch", dispatch)
}

func (s *shares) report(name string, wanted float64) {
	f := s.followers[name]
	share, ok := s.allocator.HandleReport(s.now, f.Report(s.now, wanted, 1500))
	must.True(s.t, ok)
	f.Apply(s.now, share)
}

// Without an allocator, a part must slow down to its fallback before its share ends, and continue there.
func TestFollowerFallsBackInTime(t *testing.T) {
	cfg := power.DefaultConfig(10_000, 500)
	f := power.NewFollower(t0, cfg, "planner", 1, 2000)
	r := f.Report(t0, 9000, 1000)
	must.True(t, f.Apply(t0, power.Share{Part: "planner", Fence: 2, Seq: 1, Echo: r.Stamp, Watts: 6000}))
	must.Eq(t, 6000, f.Limit(t0))
	must.False(t, f.Apply(t0, power.Share{Part: "planner", Fence: 1, Seq: 9, Echo: r.Stamp, Watts: 9000})) // older fence
	must.Eq(t, 2000, f.Limit(t0.Add(cfg.TTL-cfg.Drain+time.Microsecond)))
}

// The guard widens with the age of the reading and is widest when the reading is missing or constant while the work changes.
// A draw beyond the model is subtracted from the usable power.
func TestGuardBand(t *testing.T) {
	cfg := power.DefaultConfig(10_000, 500)
	a := power.NewAllocator(cfg)
	a.SetFallbacks(map[string]float64{"planner": 1000})
	f := power.NewFollower(t0, cfg, "planner", 1, 1000)
	must.Eq(t, cfg.MaxGuardWatts, a.GuardWatts(t0))
	a.HandleReport(t0, f.Report(t0, 4000, 4000))
	a.AddReading(t0, power.Reading{Watts: 4000})
	must.Eq(t, 500, a.GuardWatts(t0))
	must.Eq(t, 700, a.GuardWatts(t0.Add(2*time.Second)))
	must.Eq(t, cfg.MaxGuardWatts, a.GuardWatts(t0.Add(cfg.MaxAge+time.Second)))

	now := t0.Add(cfg.FrozenAfter)
	a.AddReading(now, power.Reading{Watts: 4000})
	must.Eq(t, 500, a.GuardWatts(now)) // the work has not changed either
	a.HandleReport(now, f.Report(now, 5000, 5000))
	must.Eq(t, cfg.MaxGuardWatts, a.GuardWatts(now))

	now = now.Add(3 * time.Second)
	a.AddReading(now, power.Reading{Watts: 6000})
	must.Eq(t, 10_000-500-1000, a.UsableWatts(now))
}

// A service applies a share and reverts to its fallback when no new share arrives.
func Example() {
	cfg := power.DefaultConfig(10_000, 500)
	fallbacks := cfg.Fallbacks([]power.Part{{Name: "planner", MaxWatts: 6000}, {Name: "dispatch", MaxWatts: 2000}})
	now := time.Unix(0, 0)
	allocator := power.NewAllocator(cfg)
	allocator.SetFallbacks(fallbacks)
	allocator.SetLease(power.Lease{Fence: 1, Since: now, Until: now.Add(time.Minute)})
	follower := power.NewFollower(now, cfg, "planner", 1, fallbacks["planner"])

	now = now.Add(cfg.TakeoverDelay()) // shares of the previous holder may still be in force
	allocator.AddReading(now, power.Reading{Watts: 2000})
	if share, ok := allocator.HandleReport(now, follower.Report(now, 5000, 1500)); ok {
		follower.Apply(now, share)
	}
	fmt.Printf("%.0f W, later %.0f W\n", follower.Limit(now), follower.Limit(now.Add(cfg.TTL)))
	// Output: 5000 W, later 3188 W
}
