package limit

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Over all instances, a workspace never has more requests in progress, or accepted per second, than its limit. Instances are
// killed, restarted and paused; links lose and delay messages, are cut and deliver later; clocks differ in rate; members join
// and leave in views that propagate slowly. Shares expire at clients first, and a new holder waits until the previous one's
// shares have expired, so no slot is lent twice.
func TestLimitNeverExceededUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig
		cfg.FloorFraction = rapid.SampledFrom([]float64{0, 0.25}).Draw(t, "floor")
		cfg.MaxInstances = 8
		lim := Limit{
			Concurrency:   rapid.SampledFrom([]int{1, 2, 5, 64}).Draw(t, "concurrency"),
			RatePerSecond: rapid.SampledFrom([]float64{0, 2, 50}).Draw(t, "rate"),
		}
		s := newSim(cfg, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 6).Draw(t, "instances"), lim)
		s.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		s.delay = rapid.SampledFrom([]time.Duration{time.Millisecond, 50 * time.Millisecond, time.Second}).Draw(t, "delay")
		s.viewDelay = rapid.SampledFrom([]time.Duration{500 * time.Millisecond, 4 * time.Second}).Draw(t, "spread")
		duration := rapid.SampledFrom([]time.Duration{500 * time.Millisecond, cfg.OrphanTimeout * 9 / 10}).Draw(t, "life")
		oneIn := rapid.SampledFrom([]int{300, 1200}).Draw(t, "trouble")
		kinds := rapid.SliceOfNDistinct(rapid.SampledFrom(allFaults), 1, len(allFaults), rapid.ID).Draw(t, "kinds")
		s.run(20*time.Second, func() {
			s.injectFault(cfg, kinds, oneIn)
			for range s.rng.IntN(4) {
				s.request(s.instances[s.rng.IntN(len(s.instances))], time.Duration(s.rng.Int64N(int64(duration))))
			}
			if n := s.inProgress(); n > lim.Concurrency {
				t.Fatalf("%v: %d in progress, limit %d", s.now, n, lim.Concurrency)
			}
		})
		checkRate(t, s, lim)
	})
}

// faultKind is a kind of fault.
type faultKind int

const (
	pauses faultKind = iota
	kills
	cuts
	isolations
	viewChanges
)

var allFaults = []faultKind{pauses, kills, cuts, isolations, viewChanges}

// injectFault injects or repairs a fault of each given kind about twice in oneIn steps.
func (s *sim) injectFault(cfg Config, kinds []faultKind, oneIn int) {
	if s.rng.IntN(oneIn) >= 2*len(kinds) {
		return
	}
	in := s.instances[s.rng.IntN(len(s.instances))]
	other := s.instances[s.rng.IntN(len(s.instances))]
	switch kinds[s.rng.IntN(len(kinds))] {
	case pauses:
		in.paused = s.now + time.Duration(s.rng.Int64N(int64(2*cfg.HandoverDelay())))
	case kills:
		if in.alive {
			s.kill(in)
		} else {
			s.start(in)
		}
	case cuts:
		link := [2]int{in.id, other.id}
		s.cutLinks[link] = !s.cutLinks[link]
	case isolations:
		s.isolate(in, !s.cutLinks[[2]int{in.id, other.id}])
	case viewChanges:
		s.addView()
	}
}

// isolate cuts or restores all links of one instance.
func (s *sim) isolate(in *simInstance, cut bool) {
	for j := range s.instances {
		s.cutLinks[[2]int{in.id, j}], s.cutLinks[[2]int{j, in.id}] = cut, cut
	}
}

// checkRate asserts that admissions in any window stay within the rate plus what may have been lent before the window: tokens
// live for TTL, and each bucket holds a burst.
func checkRate(t *rapid.T, s *sim, lim Limit) {
	if lim.RatePerSecond == 0 {
		return
	}
	rate := lim.RatePerSecond * (1 + s.cfg.ClockSkew)
	burst := rate*s.cfg.TTL.Seconds() + bucketSize(lim.RatePerSecond)
	if floor := s.cfg.floorRate(lim); floor > 0 {
		burst += float64(len(s.instances)) * bucketSize(floor)
	}
	level, last := 0.0, time.Duration(0)
	for _, at := range s.admits {
		level = max(0, level-rate*(at-last).Seconds()) + 1
		last = at
		if level > burst+1 {
			t.Fatalf("%v: %.1f admissions above the rate, %.1f allowed", at, level, burst)
		}
	}
}

// When a workspace's traffic moves from one instance to another, the lendable part of the limit must follow soon: the idle
// instance's share shrinks at its next message, and the holder lends it to the other.
func TestShareFollowsDemand(t *testing.T) {
	cfg := DefaultConfig
	cfg.FloorFraction = 0
	for seed := range uint64(5) {
		s := newSim(cfg, seed, 8, Limit{Concurrency: 64})
		s.run(2*cfg.HandoverDelay(), nil)
		load := func(in *simInstance) func() {
			return func() {
				for range 4 {
					s.request(in, 300*time.Millisecond)
				}
			}
		}
		s.run(3*time.Second, load(s.instances[0]))
		must.Eq(t, 64, len(s.instances[0].endTimes))
		moved := s.now
		elapsed := time.Duration(0)
		next := load(s.instances[5])
		s.run(3*time.Second, func() {
			next()
			if elapsed == 0 && len(s.instances[5].endTimes) >= 58 {
				elapsed = s.now - moved
			}
		})
		t.Logf("seed %d: 90%% of the limit moved within %v", seed, elapsed)
		must.Positive(t, elapsed)
		must.LessEq(t, 1500*time.Millisecond, elapsed)
	}
}

// When all requests reach one instance, it can use the whole of an ordinary limit.
func TestOneInstanceCanUseTheWholeLimit(t *testing.T) {
	s := newSim(DefaultConfig, 2, 8, Limit{Concurrency: 64})
	s.run(2*DefaultConfig.HandoverDelay(), nil)
	s.run(2*time.Second, func() {
		for range 4 {
			s.request(s.instances[3], 300*time.Millisecond)
		}
	})
	must.Eq(t, 64, s.inProgress())
}

// When several instances demand more than the limit, each instance gets an equal part.
func TestScarceLimitIsSharedEqually(t *testing.T) {
	cfg := DefaultConfig
	cfg.FloorFraction, cfg.MaxInstances = 0.25, 8
	s := newSim(cfg, 1, 8, Limit{Concurrency: 80})
	s.run(2*cfg.HandoverDelay(), nil)
	s.run(5*time.Second, func() {
		for _, in := range s.instances {
			s.request(in, 200*time.Millisecond)
		}
	})
	must.LessEq(t, 80, s.inProgress())
	must.GreaterEq(t, 76, s.inProgress())
	for _, in := range s.instances {
		must.Between(t, 8, len(in.endTimes), 12)
	}
}

// An instance that is cut off refuses requests once its share has expired, with a retry delay, and the other instances can
// use its slots. Its requests in progress keep running and stay counted.
func TestIsolatedInstanceFallsBackToFloor(t *testing.T) {
	cfg := DefaultConfig
	cfg.FloorFraction = 0.25
	s := newSim(cfg, 3, 4, Limit{Concurrency: 64})
	s.run(2*cfg.HandoverDelay(), nil)
	holder := s.index(s.instances[0].node.holderOf(simKey))
	isolated := s.instances[(holder+1)%4]
	for j := range s.instances {
		s.cutLinks[[2]int{isolated.id, j}], s.cutLinks[[2]int{j, isolated.id}] = true, true
	}
	s.run(cfg.loanTTL(), nil)
	floor := cfg.floorSlots(s.limit)
	must.Eq(t, 1, floor)
	must.True(t, s.request(isolated, time.Second))
	must.False(t, s.request(isolated, time.Second)) // Pending: requests more once
	s.run(cfg.Interval, nil)
	a := isolated.node.Acquire(s.clock(isolated), simKey)
	must.Eq(t, Refused, a.Verdict)
	must.Positive(t, a.RetryAfter)
}

// After the holder dies, requests beyond the floor are refused until the new holder has waited for the old shares to expire;
// then the whole limit is available again.
func TestNewHolderWaitsUntilOldSharesExpire(t *testing.T) {
	cfg := DefaultConfig
	s := newSim(cfg, 4, 4, Limit{Concurrency: 64})
	s.run(2*cfg.HandoverDelay(), nil)
	old := s.index(s.instances[0].node.holderOf(simKey))
	client := s.instances[(old+1)%4]
	load := func() { s.request(client, 100*time.Millisecond) }
	s.run(2*time.Second, load)
	s.kill(s.instances[old])
	died := s.now
	var members []string
	for _, in := range s.instances {
		if in.alive {
			members = append(members, in.name)
		}
	}
	s.views = append(s.views, members)
	expired, restored := time.Duration(0), time.Duration(0)
	s.run(3*cfg.HandoverDelay(), func() {
		load()
		switch {
		case expired == 0 && client.node.client.keys[simKey].borrowedSlots(s.clock(client)) == 0:
			expired = s.now - died
		case expired > 0 && restored == 0 && client.node.client.keys[simKey].borrowedSlots(s.clock(client)) > 1:
			restored = s.now - died
		}
	})
	t.Logf("shares expired %v after the holder died, new ones arrived after %v", expired, restored)
	must.Positive(t, restored)
	must.GreaterEq(t, cfg.HandoverDelay(), restored)
}

// The holder is replaced while an instance that is cut off from the new holder has requests in progress. No slot may be lent
// twice: until that instance's requests must have ended, the new holder lends no more than the reporting instances already
// have in progress.
func TestNewHolderCountsRequestsOfUnreachableInstance(t *testing.T) {
	replaceHolder(t, func(s *sim, silent *simInstance, next int) {
		s.cutLinks[[2]int{silent.id, next}], s.cutLinks[[2]int{next, silent.id}] = true, true
	})
}

// The same for an instance that has not adopted the new view: it sends messages to the new holder, but not about this key.
func TestNewHolderCountsRequestsOfInstanceWithOldView(t *testing.T) {
	replaceHolder(t, func(_ *sim, behind *simInstance, _ int) { behind.viewFrozen = true })
}

// replaceHolder removes the holder from the view while another instance, affected by disrupt, uses the whole limit.
func replaceHolder(t *testing.T, disrupt func(s *sim, in *simInstance, next int)) {
	cfg := DefaultConfig
	cfg.FloorFraction = 0
	s := newSim(cfg, 6, 4, Limit{Concurrency: 8})
	s.run(2*cfg.HandoverDelay(), nil)
	old := s.index(s.instances[0].node.holderOf(simKey))
	next := s.index(newView(without(s.views[0], s.instances[old].name)).holder(simKey))
	silent, other := s.others(old, next)
	s.run(2*time.Second, func() { s.request(silent, cfg.OrphanTimeout*9/10) })
	must.Eq(t, 8, s.inProgress())
	disrupt(s, silent, next)
	s.views = append(s.views, without(s.views[0], s.instances[old].name))
	s.run(cfg.HandoverDelay()+cfg.OrphanTimeout*2, func() {
		s.request(other, 100*time.Millisecond)
		must.LessEq(t, 8, s.inProgress())
	})
	must.Between(t, 6, s.inProgress(), 8) // the slots are lent again eventually
}

// others returns the two instances of four that are neither a nor b.
func (s *sim) others(a, b int) (x, y *simInstance) {
	for _, in := range s.instances {
		switch {
		case in.id == a || in.id == b:
		case x == nil:
			x = in
		default:
			y = in
		}
	}
	return x, y
}

func without(members []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == name })
}

// A single instance has its whole limit from the start.
func TestSingleInstanceNeedsNoHolder(t *testing.T) {
	now := simBase
	n := NewNode(now, SingleInstanceConfig(), "only", 1, func(Key) Limit { return Limit{Concurrency: 3} })
	n.SetView(now, []string{"only"})
	for range 3 {
		must.Eq(t, Admitted, n.Acquire(now, simKey).Verdict)
	}
	must.Eq(t, Refused, n.Acquire(now, simKey).Verdict)
	n.Release(simKey)
	must.Eq(t, Admitted, n.Acquire(now, simKey).Verdict)
}

// A restarted instance does not know which holders it supported. It supports none until the shares lent with its earlier
// support have expired.
func TestRestartedInstanceInitiallySupportsNoHolder(t *testing.T) {
	cfg := DefaultConfig
	s := newSim(cfg, 5, 3, Limit{Concurrency: 8})
	up := func() Up {
		return s.instances[0].node.buildUp(s.clock(s.instances[0]), s.instances[1].name, nil, false)
	}
	must.SliceEmpty(t, up().Views)
	s.run(cfg.HandoverDelay()-100*time.Millisecond, nil)
	must.SliceEmpty(t, up().Views)
	s.run(200*time.Millisecond, nil)
	must.SliceLen(t, 1, up().Views)
}

// An instance that was briefly missing from the platform's list, and marked dead meanwhile, is lent shares again once the list
// includes it.
func TestInstanceMarkedDeadCanReturn(t *testing.T) {
	cfg := DefaultConfig
	s := newSim(cfg, 8, 4, Limit{Concurrency: 8})
	s.run(2*cfg.HandoverDelay(), nil)
	holder := s.index(s.instances[0].node.holderOf(simKey))
	returning := s.instances[(holder+1)%4]
	all := s.views[0]
	for _, in := range s.instances {
		if in != returning {
			in.node.SetView(s.clock(in), without(all, returning.name))
			in.node.MarkDead(returning.name)
		}
	}
	s.run(time.Second, nil)
	for _, in := range s.instances {
		in.node.SetView(s.clock(in), all)
	}
	s.run(cfg.HandoverDelay()+cfg.OrphanTimeout, nil)
	s.run(time.Second, func() { s.request(returning, 100*time.Millisecond) })
	must.Positive(t, len(returning.endTimes))
}
