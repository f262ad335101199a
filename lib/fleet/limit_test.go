package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func named(perSecond float64, asked, heard time.Duration) LimitNotice {
	return LimitNotice{Limit: Limit{On: true, PerSecond: perSecond}, RequestedAt: t0.Add(asked), ReceivedAt: t0.Add(heard)}
}

func unnamed(asked, heard time.Duration) LimitNotice {
	return LimitNotice{RequestedAt: t0.Add(asked), ReceivedAt: t0.Add(heard)}
}

// Answers overtake each other. An older one must neither end a limit nor raise it.
func TestOlderAnswersDoNotEaseALimit(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		words []LimitNotice
		want  Limit
	}{
		"begins":                   {[]LimitNotice{named(5, 0, 10*ms)}, Limit{true, 5}},
		"ends":                     {[]LimitNotice{named(5, 0, 10*ms), unnamed(11*ms, 20*ms)}, Limit{}},
		"ended by an older answer": {[]LimitNotice{named(5, 0, 10*ms), unnamed(9*ms, 20*ms)}, Limit{true, 5}},
		"begins after its end":     {[]LimitNotice{unnamed(0, 10*ms), named(5, 5*ms, 20*ms)}, Limit{true, 5}},
		"lower, older":             {[]LimitNotice{named(5, 0, 10*ms), named(3, 5*ms, 20*ms)}, Limit{true, 3}},
		"higher, older":            {[]LimitNotice{named(3, 0, 10*ms), named(5, 5*ms, 20*ms)}, Limit{true, 3}},
		"higher, newer":            {[]LimitNotice{named(3, 0, 10*ms), named(5, 11*ms, 20*ms)}, Limit{true, 5}},
		"not a number":             {[]LimitNotice{named(3, 0, 10*ms), named(math.NaN(), 11*ms, 20*ms)}, Limit{true, 3}},
		"below zero":               {[]LimitNotice{named(3, 0, 10*ms), named(-1, 11*ms, 20*ms)}, Limit{true, 3}},
		"without end":              {[]LimitNotice{named(3, 0, 10*ms), named(math.Inf(1), 11*ms, 20*ms)}, Limit{true, 3}},
		"of nobody's":              {[]LimitNotice{named(3, 0, 10*ms), {}}, Limit{true, 3}},
		"zero":                     {[]LimitNotice{named(0, 0, 10*ms)}, Limit{true, 0}},
	} {
		f := New("z1")
		f.Apply(t0, []Info{{ID: "t", Service: "s", Slots: 6}}, nil, 0)
		for _, w := range c.words {
			f.ApplyLimit("t", w)
		}
		must.Eq(t, c.want, f.LimitOf("t").Limit, must.Sprint(name))
	}
}

// A target that starts again under its id has named no limit yet.
func TestLimitEndsWithTheTargetsLife(t *testing.T) {
	f := New("z1")
	f.Apply(t0, []Info{{ID: "t", Service: "s", Slots: 6, Born: 1}}, nil, 0)
	must.True(t, f.ApplyLimit("t", named(0, 0, time.Millisecond)))
	f.Apply(t0, []Info{{ID: "t", Service: "s", Slots: 6, Born: 2}}, nil, 0)
	must.False(t, f.LimitOf("t").On)
}

// limitPlay is a play of instances that all have requests for one target, all the time, by the clock of the test alone.
type limitPlay struct {
	instances int
	limit     float64
	deadFrom  time.Duration // from then on the first owner gives nothing, and the next does
	cutShare  float64       // of the instances reach no owner, those first that rank to send alone
}

// run returns when requests reached the target.
func (p limitPlay) run(span time.Duration) []time.Duration {
	rnd := rand.New(rand.NewPCG(uint64(p.instances), uint64(100*p.limit)))
	fleets := make([]*Fleet, p.instances)
	for i := range fleets {
		fleets[i] = New("z1")
		fleets[i].SetRandom(rnd.Float64)
		fleets[i].SetSenders(func(_ string, n int) bool { return i < n })
		fleets[i].Apply(t0, []Info{{ID: "t", Service: "s", Slots: 1000}}, nil, 0)
		fleets[i].ApplyLimit("t", named(p.limit, 0, time.Millisecond))
	}
	cut := int(p.cutShare * float64(p.instances))
	var sent []time.Duration
	for at := 2 * time.Millisecond; at < span; at += 2 * time.Millisecond {
		owner := fleets[p.instances-1]
		if p.deadFrom > 0 && at >= p.deadFrom {
			owner = fleets[p.instances-2]
		}
		for i, f := range fleets {
			now := t0.Add(at)
			if _, ok := f.Acquire(now, Need{Service: "s"}); !ok {
				continue
			}
			f.Release(now, "t", Load{}, Abandoned)
			permit, _ := owner.Permit(now, "t", fmt.Sprint(i), false)
			if i < cut {
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

// A target in need names a limit, and tens or hundreds of instances have requests for it all the time: they reach its owner, the owner
// dies, some of them reach nobody. In any four seconds it gets no more than one and a half times what it takes, and five more; and
// while its owner lives most of what it takes is used.
func TestLimitIsKeptInEveryWindow(t *testing.T) {
	const span = 12 * time.Second
	for _, n := range []int{3, 7, 70, 295} {
		for _, limit := range []float64{0, 0.5, 4.5, 30, 200} {
			for name, p := range map[string]limitPlay{
				"calm":       {instances: n, limit: limit},
				"owner dies": {instances: n, limit: limit, deadFrom: 5 * time.Second},
				"some cut":   {instances: n, limit: limit, cutShare: 0.4},
			} {
				sent := p.run(span)
				label := must.Sprintf("%s, %d instances, limit %v", name, n, limit)
				must.LessEq(t, 1.5*4*limit+5, float64(mostWithin(sent, 4*time.Second)), label)
				if name == "calm" {
					must.GreaterEq(t, 0.85*limit*span.Seconds(), float64(len(sent)), label)
				}
			}
		}
	}
}

// mostWithin returns the largest number of times within any window.
func mostWithin(times []time.Duration, window time.Duration) int {
	n, from := 0, 0
	for i, at := range times {
		for times[from] <= at-window {
			from++
		}
		n = max(n, i-from+1)
	}
	return n
}

// A target that takes nothing at all is tried now and then: no other message says that its need is over.
func TestLimitOfNoneIsTriedNowAndThen(t *testing.T) {
	sent := limitPlay{instances: 7, limit: 0}.run(30 * time.Second)
	must.Between(t, 4, len(sent), 8)
}

// What is sent in any case, because a run would be lost, is counted against what comes after it.
func TestForcedRequestsAreCounted(t *testing.T) {
	f := New("z1")
	f.Apply(t0, []Info{{ID: "t", Service: "s", Slots: 6}}, nil, 0)
	f.ApplyLimit("t", named(2, 0, time.Millisecond))
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
					f.ApplyLimit(id, named(5, 0, time.Millisecond))
				}
			}
			for b.Loop() {
				t, _ := f.Acquire(t0, Need{Service: "s"})
				f.Release(t0, t.ID, Load{}, Served)
			}
		})
	}
}
