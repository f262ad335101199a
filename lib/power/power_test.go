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

// site runs parts and two processes that may hold the lease, in virtual time, each on a clock of its own rate.
type site struct {
	cfg     power.Config
	rng     *rand.Rand
	now     time.Duration // true time
	parts   []*sitePart
	holders []*siteHolder
	mail    []mail
	fence   uint64
	lapses  time.Duration // true time at which the lease in the table ends
	owner   int           // of the lease
	loss    float64
	cut     map[[2]int]bool // part and holder whose link drops all
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
	held   []mail // answers that a pause caught between decision and sending
}

type mail struct {
	at     time.Duration
	to     int
	report *power.Report
	share  *power.Share
}

const (
	leaseTTL    = 6 * time.Second
	leaseMargin = 2 * time.Second // a holder stops believing in its lease so long before it ends
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

// tick moves the site on by one step.
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

// renewLease gives the lease to a holder that is awake once it has lapsed, and lets its owner renew it.
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
		s.mail = append(s.mail, m) // waits in its socket
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

// drawn is what the parts draw: what they want, within what they may.
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

// What the site's breaker sees: whatever happens, the parts together are never allowed more than the cap. The holder of
// the budget is paused in the middle of an answer and wakes up without its lease, another takes over with a higher
// fence, messages are lost or come half a minute late, parts restart, and readings lag, stop or freeze.
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
					a.AddReading(now, power.Reading{Watts: s.drawn() * (0.9 + 0.2*s.rng.Float64()), Age: time.Duration(s.rng.Int64N(int64(5 * time.Second)))})
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

// What a service sees when its work grows: power follows within three reports of each service, in whatever order they
// come, and is its alone only as long as the others don't need it. The planner's share must shrink, and its next report
// must say so, before the dispatch service is told of it; one told earlier would take the site over its cap.
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

// shares is an allotter with two services that report to it once a round.
type shares struct {
	t         *testing.T
	now       time.Time
	allotter  *power.Allocator
	followers map[string]*power.Follower
}

func newShares(t *testing.T) *shares {
	cfg := power.DefaultConfig(10_000, 500)
	s := &shares{t: t, now: t0.Add(cfg.WaitOut()), allotter: power.NewAllocator(cfg), followers: map[string]*power.Follower{}}
	fallbacks := map[string]float64{"planner": 2000, "dispatch": 2000}
	s.allotter.SetFallbacks(fallbacks)
	s.allotter.SetLease(power.Lease{Fence: 1, Since: t0, Until: t0.Add(time.Hour)})
	for name, w := range fallbacks {
		s.followers[name] = power.NewFollower(t0, cfg, name, 1, w)
	}
	return s
}

func (s *shares) limit(name string) float64 { return s.followers[name].Limit(s.now) }

func (s *shares) round(swapped bool, planner, dispatch float64) {
	s.now = s.now.Add(time.Second)
	s.allotter.AddReading(s.now, power.Reading{Watts: 2900 + s.now.Sub(t0).Seconds()})
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
	share, ok := s.allotter.HandleReport(s.now, f.Report(s.now, wanted, 1500))
	must.True(s.t, ok)
	f.Apply(s.now, share)
}

// What operators see without the holder: work is slowed to the fallback, before the share ends, and goes on there.
func TestFollowerFallsBackInTime(t *testing.T) {
	cfg := power.DefaultConfig(10_000, 500)
	f := power.NewFollower(t0, cfg, "planner", 1, 2000)
	r := f.Report(t0, 9000, 1000)
	must.True(t, f.Apply(t0, power.Share{Part: "planner", Fence: 2, Seq: 1, Echo: r.Stamp, Watts: 6000}))
	must.Eq(t, 6000, f.Limit(t0))
	must.False(t, f.Apply(t0, power.Share{Part: "planner", Fence: 1, Seq: 9, Echo: r.Stamp, Watts: 9000})) // older fence
	must.Eq(t, 2000, f.Limit(t0.Add(cfg.TTL-cfg.Drain+time.Microsecond)))
}

// What the allotter does with what it can't see: the older the reading the wider the guard, widest when it is missing
// or stands still while the work moves; a draw beyond the model comes off what may be used.
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
	must.Eq(t, 500, a.GuardWatts(now)) // the work stands still as well
	a.HandleReport(now, f.Report(now, 5000, 5000))
	must.Eq(t, cfg.MaxGuardWatts, a.GuardWatts(now))

	now = now.Add(3 * time.Second)
	a.AddReading(now, power.Reading{Watts: 6000})
	must.Eq(t, 10_000-500-1000, a.UsableWatts(now))
}

// A service takes a share, and is at its fallback when no new one comes.
func Example() {
	cfg := power.DefaultConfig(10_000, 500)
	fallbacks := cfg.Fallbacks([]power.Part{{Name: "planner", MaxWatts: 6000}, {Name: "dispatch", MaxWatts: 2000}})
	now := time.Unix(0, 0)
	allotter := power.NewAllocator(cfg)
	allotter.SetFallbacks(fallbacks)
	allotter.SetLease(power.Lease{Fence: 1, Since: now, Until: now.Add(time.Minute)})
	follower := power.NewFollower(now, cfg, "planner", 1, fallbacks["planner"])

	now = now.Add(cfg.WaitOut()) // the holder before may still have shares out
	allotter.AddReading(now, power.Reading{Watts: 2000})
	if share, ok := allotter.HandleReport(now, follower.Report(now, 5000, 1500)); ok {
		follower.Apply(now, share)
	}
	fmt.Printf("%.0f W, later %.0f W\n", follower.Limit(now), follower.Limit(now.Add(cfg.TTL)))
	// Output: 5000 W, later 3188 W
}
