package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func limitNotice(perSecond float64, requestedAt, receivedAt time.Duration) LimitNotice {
	return LimitNotice{Limit: Limit{On: true, PerSecond: perSecond}, RequestedAt: t0.Add(requestedAt), ReceivedAt: t0.Add(receivedAt)}
}

func noLimitNotice(requestedAt, receivedAt time.Duration) LimitNotice {
	return LimitNotice{RequestedAt: t0.Add(requestedAt), ReceivedAt: t0.Add(receivedAt)}
}

// Responses overtake each other. An older one must neither end nor raise a limit.
func TestOlderResponsesDoNotRelaxLimit(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		notices []LimitNotice
		want    Limit
	}{
		"begins":                     {[]LimitNotice{limitNotice(5, 0, 10*ms)}, Limit{true, 5}},
		"ends":                       {[]LimitNotice{limitNotice(5, 0, 10*ms), noLimitNotice(11*ms, 20*ms)}, Limit{}},
		"ended by an older response": {[]LimitNotice{limitNotice(5, 0, 10*ms), noLimitNotice(9*ms, 20*ms)}, Limit{true, 5}},
		"begins after its end":       {[]LimitNotice{noLimitNotice(0, 10*ms), limitNotice(5, 5*ms, 20*ms)}, Limit{true, 5}},
		"lower, older":               {[]LimitNotice{limitNotice(5, 0, 10*ms), limitNotice(3, 5*ms, 20*ms)}, Limit{true, 3}},
		"higher, older":              {[]LimitNotice{limitNotice(3, 0, 10*ms), limitNotice(5, 5*ms, 20*ms)}, Limit{true, 3}},
		"higher, newer":              {[]LimitNotice{limitNotice(3, 0, 10*ms), limitNotice(5, 11*ms, 20*ms)}, Limit{true, 5}},
		"not a number":               {[]LimitNotice{limitNotice(3, 0, 10*ms), limitNotice(math.NaN(), 11*ms, 20*ms)}, Limit{true, 3}},
		"negative rate":              {[]LimitNotice{limitNotice(3, 0, 10*ms), limitNotice(-1, 11*ms, 20*ms)}, Limit{true, 3}},
		"infinite rate":              {[]LimitNotice{limitNotice(3, 0, 10*ms), limitNotice(math.Inf(1), 11*ms, 20*ms)}, Limit{true, 3}},
		"empty notice":               {[]LimitNotice{limitNotice(3, 0, 10*ms), {}}, Limit{true, 3}},
		"zero":                       {[]LimitNotice{limitNotice(0, 0, 10*ms)}, Limit{true, 0}},
	} {
		f := New("z1")
		f.Apply(t0, []Info{{ID: "t", Service: "s", Slots: 6}}, nil, 0)
		for _, notice := range c.notices {
			f.ApplyLimit("t", notice)
		}
		must.Eq(t, c.want, f.LimitOf("t").Limit, must.Sprint(name))
	}
}

// A restarted target has not announced a limit yet.
func TestLimitEndsWhenTargetRestarts(t *testing.T) {
	f := New("z1")
	f.Apply(t0, []Info{{ID: "t", Service: "s", Slots: 6, Born: 1}}, nil, 0)
	must.True(t, f.ApplyLimit("t", limitNotice(0, 0, time.Millisecond)))
	f.Apply(t0, []Info{{ID: "t", Service: "s", Slots: 6, Born: 2}}, nil, 0)
	must.False(t, f.LimitOf("t").On)
}

// limitSim simulates instances that constantly have requests for one target, on a simulated clock.
type limitSim struct {
	instances     int
	limit         float64
	ownerDiesAt   time.Duration // from then on the first owner grants nothing and the next one takes over
	isolatedShare float64       // of the instances reach no owner, starting with those that may send without one
}

// run returns when requests reached the target.
func (p limitSim) run(span time.Duration) []time.Duration {
	rnd := rand.New(rand.NewPCG(uint64(p.instances), uint64(100*p.limit)))
	fleets := make([]*Fleet, p.instances)
	for i := range fleets {
		fleets[i] = New("z1")
		fleets[i].SetRandom(rnd.Float64)
		fleets[i].SetSenders(func(_ string, n int) bool { return i < n })
		fleets[i].Apply(t0, []Info{{ID: "t", Service: "s", Slots: 1000}}, nil, 0)
		fleets[i].ApplyLimit("t", limitNotice(p.limit, 0, time.Millisecond))
	}
	isolated := int(p.isolatedShare * float64(p.instances))
	var sent []time.Duration
	for at := 2 * time.Millisecond; at < span; at += 2 * time.Millisecond {
		owner := fleets[p.instances-1]
		if p.ownerDiesAt > 0 && at >= p.ownerDiesAt {
			owner = fleets[p.instances-2]
		}
		for i, f := range fleets {
			now := t0.Add(at)
			if _, ok := f.Acquire(now, Need{Service: "s"}); !ok {
				continue
			}
			f.Release(now, "t", Load{}, Abandoned)
			permit, _ := owner.Permit(now, "t", fmt.Sprint(i), false)
			if i < isolated {
				permit = f.PermitWithoutOwner(now, "t")
			}
			if !permit.Granted {
				f.HoldOff(now, "t", permit.RetryAfter)
				continue
			}
			sent = append(sent, at)
		}
	}
	return sent
}

// An overloaded target announces a limit while tens or hundreds of instances constantly have requests for it. They reach its owner, the
// owner dies, or some reach no owner. In any four seconds the target gets at most 1.5 times its limit plus five requests; without
// faults most of the limit is used.
func TestLimitIsKeptInEveryWindow(t *testing.T) {
	const span = 12 * time.Second
	for _, n := range []int{3, 7, 70, 295} {
		for _, limit := range []float64{0, 0.5, 4.5, 30, 200} {
			for name, p := range map[string]limitSim{
				"without faults": {instances: n, limit: limit},
				"owner dies":     {instances: n, limit: limit, ownerDiesAt: 5 * time.Second},
				"some isolated":  {instances: n, limit: limit, isolatedShare: 0.4},
			} {
				sent := p.run(span)
				label := must.Sprintf("%s, %d instances, limit %v", name, n, limit)
				must.LessEq(t, 1.5*4*limit+5, float64(maxInWindow(sent, 4*time.Second)), label)
				if name == "without faults" {
					must.GreaterEq(t, 0.85*limit*span.Seconds(), float64(len(sent)), label)
				}
			}
		}
	}
}

// maxInWindow returns the largest number of times within any window.
func maxInWindow(times []time.Duration, window time.Duration) int {
	n, from := 0, 0
	for i, at := range times {
		for times[from] <= at-window {
			from++
		}
		n = max(n, i-from+1)
	}
	return n
}

// A target with a limit of zero is probed occasionally: no other message shows that the limit has ended.
func TestTargetWithZeroLimitIsProbed(t *testing.T) {
	sent := limitSim{instances: 7, limit: 0}.run(30 * time.Second)
	must.Between(t, 4, len(sent), 8)
}

// Requests that must be sent because a run would be lost are counted against later ones.
func TestForcedRequestsAreCounted(t *testing.T) {
	f := New("z1")
	f.Apply(t0, []Info{{ID: "t", Service: "s", Slots: 6}}, nil, 0)
	f.ApplyLimit("t", limitNotice(2, 0, time.Millisecond))
	now := t0.Add(time.Second)
	for range 6 {
		p, ok := f.Permit(now, "t", "a", true)
		must.True(t, ok)
		must.True(t, p.Granted)
	}
	p, _ := f.Permit(now.Add(2*time.Second), "t", "a", false)
	must.False(t, p.Granted)
	p, _ = f.Permit(now.Add(3*time.Second), "t", "a", false)
	must.True(t, p.Granted)
}

func BenchmarkAcquireAmongLimited(b *testing.B) {
	for _, limits := range []int{0, 40} {
		b.Run(fmt.Sprintf("%d of 60 limited", limits), func(b *testing.B) {
			f := New("z1")
			for i := range 60 {
				id := fmt.Sprintf("t%02d", i)
				f.Apply(t0, []Info{{ID: id, Service: "s", Slots: 6}}, nil, 0)
				if i < limits {
					f.ApplyLimit(id, limitNotice(5, 0, time.Millisecond))
				}
			}
			for b.Loop() {
				t, _ := f.Acquire(t0, Need{Service: "s"})
				f.Release(t0, t.ID, Load{}, Served)
			}
		})
	}
}
