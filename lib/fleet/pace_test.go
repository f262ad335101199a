package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	coldRate = 8.0
	coldFor  = 5 * time.Second
)

func coldFleet(service string, kv int) *Fleet {
	f := New("z1")
	f.SetSpecs(map[string]Spec{service: {KVTokens: kv, ColdFor: coldFor, ColdRate: coldRate}})
	f.Apply(t0, []Info{{ID: "t", Service: service, Domain: "z1", Slots: 1000, ColdFor: coldFor}}, nil, 0)
	return f
}

// maxPerSecond returns the largest number of times within any second.
func maxPerSecond(times []time.Duration) int {
	n := 0
	for i, from := range times {
		k := i
		for k < len(times) && times[k] < from+time.Second {
			k++
		}
		n = max(n, k-i)
	}
	return n
}

// A plain target returns cold and is the least loaded of all. Seventy instances that don't know of each other's requests constantly have
// requests for it; together they must stay within what it can take, and use it.
func TestColdTargetIsSharedByUncoordinatedInstances(t *testing.T) {
	const instances = 70
	fleets := make([]*Fleet, instances)
	for i := range fleets {
		fleets[i] = coldFleet("plain", 0)
		fleets[i].SetSenders(func(_ string, n int) bool { return i < n })
	}
	var sent []time.Duration
	for at := time.Duration(0); at < coldFor; at += 5 * time.Millisecond {
		for _, f := range fleets {
			if _, ok := f.Acquire(t0.Add(at), Need{Service: "plain"}); ok {
				sent = append(sent, at)
			}
		}
	}
	must.LessEq(t, int(1.5*coldRate), maxPerSecond(sent))
	must.GreaterEq(t, int(0.9*coldRate*coldFor.Seconds()), len(sent))
	_, ok := fleets[instances-1].Acquire(t0.Add(coldFor), Need{Service: "plain"})
	must.True(t, ok) // warm
}

// A group of engines returns empty. The owner has requests for hundreds of streams, and instances that can't reach the owner decide on
// their own; all together must stay within what a cold engine can take.
func TestColdEngineIsSharedByItsOwnerAndOthers(t *testing.T) {
	owner := coldFleet("engine", 1<<20)
	alone := make([]*Fleet, 70)
	for i := range alone {
		alone[i] = coldFleet("engine", 1<<20)
		alone[i].SetSenders(func(_ string, n int) bool { return i < n })
	}
	var sent []time.Duration
	for at := time.Duration(0); at < coldFor; at += 5 * time.Millisecond {
		if _, ok := owner.Choose(t0.Add(at), Need{Service: "engine", RequireMemory: true}); ok {
			sent = append(sent, at)
		}
		for _, f := range alone {
			if _, ok := f.Acquire(t0.Add(at), Need{Service: "engine"}); ok {
				sent = append(sent, at)
			}
		}
	}
	must.LessEq(t, int(1.5*coldRate), maxPerSecond(sent))
	must.GreaterEq(t, int(0.7*coldRate*coldFor.Seconds()), len(sent))
}

// An owner has counted a stream at a cold engine. The sending instance, which may not choose the engine itself, uses up no pace.
func TestGrantedStreamIsCountedOnce(t *testing.T) {
	f := coldFleet("engine", 1<<20)
	f.SetSenders(func(string, int) bool { return false })
	_, ok := f.Acquire(t0, Need{Service: "engine"})
	must.False(t, ok)
	_, ok = f.AcquireAt(t0, "t", Need{Service: "engine"})
	must.False(t, ok)
	for range 100 {
		_, ok = f.AcquireAt(t0, "t", Need{Service: "engine", Granted: true})
		must.True(t, ok)
	}
}

// An engine becomes cold again at any time, or restarts without the list showing it: it counts as cold from then on.
func TestTargetBecomesColdAgain(t *testing.T) {
	f := coldFleet("engine", 1<<20)
	stand := func(at time.Duration) Availability { return f.Availability(t0.Add(at), Need{Service: "engine"}) }
	must.Eq(t, Availability{Accepting: 1, Cold: 1}, stand(coldFor-1))
	must.Eq(t, Availability{Accepting: 1}, stand(coldFor))
	f.Apply(t0.Add(coldFor), []Info{{ID: "t", Born: 7, Service: "engine", Domain: "z1", ColdFor: time.Second}}, nil, 0)
	must.Eq(t, 1, stand(coldFor).Cold)
	must.Eq(t, 0, stand(coldFor+time.Second).Cold)
	f.MarkRestarted(t0.Add(2*coldFor), "t", 8)
	must.Eq(t, 1, stand(3*coldFor-1).Cold)
	must.Eq(t, 0, stand(3*coldFor).Cold)
}

// The cold rate changes in the settings while a target is cold and applies from then on. Setting the same value must not refill the burst.
func TestColdRateFollowsSettings(t *testing.T) {
	f := coldFleet("plain", 0)
	given := func(at time.Duration) int {
		n := 0
		for range 100 {
			if _, ok := f.Acquire(t0.Add(at), Need{Service: "plain"}); ok {
				n++
			}
		}
		return n
	}
	must.Eq(t, 1, given(0))
	f.SetSpecs(map[string]Spec{"plain": {ColdFor: coldFor, ColdRate: coldRate}})
	must.Eq(t, 0, given(time.Millisecond))
	f.SetSpecs(map[string]Spec{"plain": {ColdFor: coldFor, ColdRate: 1}})
	must.Eq(t, 1, given(time.Second))
	must.Eq(t, 0, given(1900*time.Millisecond))
	f.SetSpecs(map[string]Spec{"plain": {ColdFor: coldFor}})
	must.Eq(t, 100, given(2*time.Second))
}

// Cold engines are excluded for moved runs and for copies, which can't wait for their turn there.
func TestNoMovesOrCopiesToColdEngines(t *testing.T) {
	f := coldFleet("engine", 10_000)
	must.Len(t, 0, f.MoveCandidates(t0, "engine", nil))
	_, ok := f.ChooseForCopy(t0, Need{Service: "engine", Tokens: 1}, "", 0)
	must.False(t, ok)
	must.Len(t, 1, f.MoveCandidates(t0.Add(coldFor), "engine", nil))
}

// BenchmarkAcquire measures one choice among 64 engines with 300 runs, some of them cold, with one of four domains evacuated and the
// request restricted to a region.
func BenchmarkAcquire(b *testing.B) {
	f := New("z0")
	f.SetSpecs(map[string]Spec{"engine": {KVTokens: 20_000, ColdFor: coldFor, ColdRate: 25}})
	f.SetRegions(map[string]string{"z0": "r", "z1": "r", "z2": "r", "z3": "r"})
	for i := range 64 {
		cold := time.Duration(0)
		if i%8 == 0 {
			cold = coldFor
		}
		f.Apply(t0, []Info{{ID: fmt.Sprint("e", i), Service: "engine", Domain: fmt.Sprint("z", i%4), Slots: 24, ColdFor: cold}}, nil, 0)
	}
	sizes := make(map[string][]Size)
	for i := range 300 {
		id := fmt.Sprint("e", i%64)
		sizes[id] = append(sizes[id], Size{Held: 3000, Remaining: 10 * i})
	}
	f.SetPeerLoad(t0, "peer", nil, sizes)
	f.Evacuate("z3")
	need := Need{Service: "engine", Tokens: 3000, RequireMemory: true, Peak: Size{Held: 3000, Remaining: 300}, Regions: []string{"r"}}
	for b.Loop() {
		if to, ok := f.Acquire(t0, need); ok {
			f.Release(t0, to.ID, Load{Tokens: 3000}, Served)
		}
	}
}
