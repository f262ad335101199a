package limit

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// What the callers of a workspace see: never more of its requests in progress, or accepted in a second, than its limit
// allows over all instances, whatever happens between them. Instances are killed, restarted and paused, links lose,
// delay, cut and later deliver, clocks differ in rate, and members join and leave in views that spread slowly. Shares
// end at their clients first, and a new holder waits the old one's shares out, so no slot is lent twice.
func TestSumNeverOverLimit(t *testing.T) {
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
		s.spread = rapid.SampledFrom([]time.Duration{500 * time.Millisecond, 4 * time.Second}).Draw(t, "spread")
		life := rapid.SampledFrom([]time.Duration{500 * time.Millisecond, cfg.OrphanTimeout * 9 / 10}).Draw(t, "life")
		trouble := rapid.SampledFrom([]int{300, 1200}).Draw(t, "trouble")
		kinds := rapid.SliceOfNDistinct(rapid.SampledFrom(allTrouble), 1, len(allTrouble), rapid.ID).Draw(t, "kinds")
		s.run(20*time.Second, func() {
			s.disturb(cfg, kinds, trouble)
			for range s.rng.IntN(4) {
				s.request(s.insts[s.rng.IntN(len(s.insts))], time.Duration(s.rng.Int64N(int64(life))))
			}
			if n := s.inProgress(); n > lim.Concurrency {
				t.Fatalf("%v: %d in progress, limit %d", s.now, n, lim.Concurrency)
			}
		})
		checkRate(t, s, lim)
	})
}

// trouble is a kind of failure.
type trouble int

const (
	pauses trouble = iota
	kills
	cuts
	isolations
	viewChanges
)

var allTrouble = []trouble{pauses, kills, cuts, isolations, viewChanges}

// disturb makes something of the given kinds fail, or mends it, once in so many steps on average.
func (s *sim) disturb(cfg Config, kinds []trouble, oneIn int) {
	if s.rng.IntN(oneIn) >= 2*len(kinds) {
		return
	}
	in := s.insts[s.rng.IntN(len(s.insts))]
	other := s.insts[s.rng.IntN(len(s.insts))]
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
		s.cut[link] = !s.cut[link]
	case isolations:
		s.isolate(in, !s.cut[[2]int{in.id, other.id}])
	case viewChanges:
		s.addView()
	}
}

// isolate cuts or mends all links of one instance.
func (s *sim) isolate(in *simInst, cut bool) {
	for j := range s.insts {
		s.cut[[2]int{in.id, j}], s.cut[[2]int{j, in.id}] = cut, cut
	}
}

// checkRate asserts that admissions in any window stay within the rate and what may have been lent before it: tokens
// live for TTL, and each bucket holds a burst.
func checkRate(t *rapid.T, s *sim, lim Limit) {
	if lim.RatePerSecond == 0 {
		return
	}
	rate := lim.RatePerSecond * (1 + s.cfg.ClockSkew)
	burst := rate*s.cfg.TTL.Seconds() + bucketSize(lim.RatePerSecond)
	if floor := s.cfg.floorRate(lim); floor > 0 {
		burst += float64(len(s.insts)) * bucketSize(floor)
	}
	level, last := 0.0, time.Duration(0)
	for _, at := range s.admits {
		level = max(0, level-rate*(at-last).Seconds()) + 1
		last = at
		if level > burst+1 {
			t.Fatalf("%v: %.1f admissions over the rate, %.1f allowed", at, level, burst)
		}
	}
}

// What callers see when their workspace's traffic moves from one instance to another: after a moment the limit's
// lendable part follows. The share of the idle instance shrinks at its next message, and the holder lends it on.
func TestShareFollowsDemand(t *testing.T) {
	cfg := DefaultConfig
	cfg.FloorFraction = 0
	for seed := range uint64(5) {
		s := newSim(cfg, seed, 8, Limit{Concurrency: 64})
		s.run(2*cfg.HandoverDelay(), nil)
		busy := func(in *simInst) func() {
			return func() {
				for range 4 {
					s.request(in, 300*time.Millisecond)
				}
			}
		}
		s.run(3*time.Second, busy(s.insts[0]))
		must.Eq(t, 64, len(s.insts[0].ends))
		moved := s.now
		took := time.Duration(0)
		next := busy(s.insts[5])
		s.run(3*time.Second, func() {
			next()
			if took == 0 && len(s.insts[5].ends) >= 58 {
				took = s.now - moved
			}
		})
		t.Logf("seed %d: 90%% of the limit followed in %v", seed, took)
		must.Positive(t, took)
		must.LessEq(t, 1500*time.Millisecond, took)
	}
}

// What callers see when all their requests come to one instance: they can use the whole of an ordinary limit there.
func TestOneInstanceCanUseTheWholeLimit(t *testing.T) {
	s := newSim(DefaultConfig, 2, 8, Limit{Concurrency: 64})
	s.run(2*DefaultConfig.HandoverDelay(), nil)
	s.run(2*time.Second, func() {
		for range 4 {
			s.request(s.insts[3], 300*time.Millisecond)
		}
	})
	must.Eq(t, 64, s.inProgress())
}

// What callers see when several instances want more than the limit: each instance gets a like part.
func TestScarceSharesAreFair(t *testing.T) {
	cfg := DefaultConfig
	cfg.FloorFraction, cfg.MaxInstances = 0.25, 8
	s := newSim(cfg, 1, 8, Limit{Concurrency: 80})
	s.run(2*cfg.HandoverDelay(), nil)
	s.run(5*time.Second, func() {
		for _, in := range s.insts {
			s.request(in, 200*time.Millisecond)
		}
	})
	must.LessEq(t, 80, s.inProgress())
	must.GreaterEq(t, 76, s.inProgress())
	for _, in := range s.insts {
		must.Between(t, 8, len(in.ends), 12)
	}
}

// What callers see of an instance that is cut off: it refuses at once when its share has ended, with a time to come
// back, and the rest of the site then has its slots. Its requests in progress run on and stay counted.
func TestCutOffInstanceFallsToFloor(t *testing.T) {
	cfg := DefaultConfig
	cfg.FloorFraction = 0.25
	s := newSim(cfg, 3, 4, Limit{Concurrency: 64})
	s.run(2*cfg.HandoverDelay(), nil)
	holder := s.index(s.insts[0].node.holderOf(simKey))
	away := s.insts[(holder+1)%4]
	for j := range s.insts {
		s.cut[[2]int{away.id, j}], s.cut[[2]int{j, away.id}] = true, true
	}
	s.run(cfg.lent(), nil)
	floor := cfg.floorSlots(s.limit)
	must.Eq(t, 1, floor)
	must.True(t, s.request(away, time.Second))
	must.False(t, s.request(away, time.Second)) // Pending: asks once
	s.run(cfg.Interval, nil)
	a := away.node.Acquire(s.clock(away), simKey)
	must.Eq(t, Refused, a.Verdict)
	must.Positive(t, a.RetryAfter)
}

// What callers see when the holder dies: refusals beyond the floor until the new holder has waited out the old shares,
// then the whole limit again.
func TestNewHolderWaitsOutOldShares(t *testing.T) {
	cfg := DefaultConfig
	s := newSim(cfg, 4, 4, Limit{Concurrency: 64})
	s.run(2*cfg.HandoverDelay(), nil)
	old := s.index(s.insts[0].node.holderOf(simKey))
	client := s.insts[(old+1)%4]
	load := func() { s.request(client, 100*time.Millisecond) }
	s.run(2*time.Second, load)
	s.kill(s.insts[old])
	died := s.now
	var members []string
	for _, in := range s.insts {
		if in.alive {
			members = append(members, in.name)
		}
	}
	s.views = append(s.views, members)
	low, back := time.Duration(0), time.Duration(0)
	s.run(3*cfg.HandoverDelay(), func() {
		load()
		switch {
		case low == 0 && client.node.client.keys[simKey].allowed(s.clock(client)) == 0:
			low = s.now - died
		case low > 0 && back == 0 && client.node.client.keys[simKey].allowed(s.clock(client)) > 1:
			back = s.now - died
		}
	})
	t.Logf("shares ended %v after the holder's death, new ones came after %v", low, back)
	must.Positive(t, back)
	must.GreaterEq(t, cfg.HandoverDelay(), back)
}

// What callers see when the holder is replaced while another instance, cut off from the new holder, has requests that
// run on: the workspace gets no slot twice. The new holder lends only what those it has heard from have in progress,
// until the silent one's requests must have ended.
func TestNewHolderCountsRequestsOfSilentInstance(t *testing.T) {
	replaceHolder(t, func(s *sim, silent *simInst, next int) {
		s.cut[[2]int{silent.id, next}], s.cut[[2]int{next, silent.id}] = true, true
	})
}

// The same for an instance that has not taken in the new view: it talks to the new holder, but not of this key.
func TestNewHolderCountsRequestsOfInstanceWithOldView(t *testing.T) {
	replaceHolder(t, func(_ *sim, behind *simInst, _ int) { behind.late = true })
}

// replaceHolder takes the holder out of the view while another instance, to which trouble is done, uses the whole limit.
func replaceHolder(t *testing.T, trouble func(s *sim, in *simInst, next int)) {
	cfg := DefaultConfig
	cfg.FloorFraction = 0
	s := newSim(cfg, 6, 4, Limit{Concurrency: 8})
	s.run(2*cfg.HandoverDelay(), nil)
	old := s.index(s.insts[0].node.holderOf(simKey))
	next := s.index(newView(without(s.views[0], s.insts[old].name)).holder(simKey))
	silent, other := s.others(old, next)
	s.run(2*time.Second, func() { s.request(silent, cfg.OrphanTimeout*9/10) })
	must.Eq(t, 8, s.inProgress())
	trouble(s, silent, next)
	s.views = append(s.views, without(s.views[0], s.insts[old].name))
	s.run(cfg.HandoverDelay()+cfg.OrphanTimeout*2, func() {
		s.request(other, 100*time.Millisecond)
		must.LessEq(t, 8, s.inProgress())
	})
	must.Between(t, 6, s.inProgress(), 8) // the slots are lent again in the end
}

// others returns the two instances of four that are neither a nor b.
func (s *sim) others(a, b int) (x, y *simInst) {
	for _, in := range s.insts {
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

// A single instance has its whole limit from the first moment.
func TestAloneNeedsNoHolder(t *testing.T) {
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

// An instance that restarts has forgotten whom it supported. It supports nobody until the shares that its old support
// may have led to have ended.
func TestRestartedInstanceSupportsNobodyAtFirst(t *testing.T) {
	cfg := DefaultConfig
	s := newSim(cfg, 5, 3, Limit{Concurrency: 8})
	up := func() Up { return s.insts[0].node.up(s.clock(s.insts[0]), s.insts[1].name, nil, false) }
	must.SliceEmpty(t, up().Views)
	s.run(cfg.HandoverDelay()-100*time.Millisecond, nil)
	must.SliceEmpty(t, up().Views)
	s.run(200*time.Millisecond, nil)
	must.SliceLen(t, 1, up().Views)
}

// What callers of an instance see that the platform's list left out for a moment: it is lent shares again once the list
// names it, though it was taken for dead meanwhile.
func TestForgottenInstanceComesBack(t *testing.T) {
	cfg := DefaultConfig
	s := newSim(cfg, 8, 4, Limit{Concurrency: 8})
	s.run(2*cfg.HandoverDelay(), nil)
	holder := s.index(s.insts[0].node.holderOf(simKey))
	back := s.insts[(holder+1)%4]
	all := s.views[0]
	for _, in := range s.insts {
		if in != back {
			in.node.SetView(s.clock(in), without(all, back.name))
			in.node.MarkDead(back.name)
		}
	}
	s.run(time.Second, nil)
	for _, in := range s.insts {
		in.node.SetView(s.clock(in), all)
	}
	s.run(cfg.HandoverDelay()+cfg.OrphanTimeout, nil)
	s.run(time.Second, func() { s.request(back, 100*time.Millisecond) })
	must.Positive(t, len(back.ends))
}
