package owner

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/fleet"
)

// newTestPartition returns a partition with one service of the given size, and its engines.
func newTestPartition(nEngines, nInstances int) (*Partition, []fleet.Info) {
	p := NewPartition()
	p.SetInstances(instances(nInstances, 5))
	all := engines(nEngines, 5)
	p.SetServices([]string{"s"}, nil, all)
	return p, all
}

// All engines of a fleet were divided anew whenever one arrived or left: 22 ms and 8.8 MB at each of 985 instances with 10,000 engines.
// The cost of an update must not depend on the size of the fleet.
func TestUpdateCostIsIndependentOfFleetSize(t *testing.T) {
	var allocated []uint64
	for _, size := range []struct{ engines, instances int }{{1_000, 100}, {10_000, 985}, {20_000, 1_970}} {
		p, all := newTestPartition(size.engines, size.instances)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		const changes = 100
		for i := range changes {
			one := all[i : i+1]
			layout := p.Layout()
			must.True(t, layout == p.Update(nil, one))
			must.True(t, layout == p.Update(one, nil))
		}
		runtime.ReadMemStats(&after)
		allocated = append(allocated, (after.TotalAlloc-before.TotalAlloc)/(2*changes))
	}
	t.Logf("bytes a change at 1,000, 10,000 and 20,000 engines: %v", allocated)
	for _, bytes := range allocated {
		must.Less(t, 8<<10, bytes)
	}
}

// Engines arrive and leave in any order and grouping, and instances change: the shards are the same as if all had been divided at once.
func TestIncrementalUpdatesMatchFullLayout(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 3))
	for _, n := range []int{20, 300, 3_000} {
		p := NewPartition()
		p.SetServices([]string{"s"}, nil, nil)
		all := engines(n, 5)
		rng.Shuffle(n, func(i, j int) { all[i], all[j] = all[j], all[i] })
		for chunk := range slices.Chunk(all, 7) {
			p.Update(chunk, nil)
			if rng.IntN(4) == 0 {
				p.SetInstances(instances(1+rng.IntN(300), 5))
			}
		}
		p.Update(all[:5], all[:n/2]) // an engine added and removed in one update is gone
		p.Update(all[:n/4], nil)
		list := instances(200, 5)
		got := p.SetInstances(list)
		left := slices.Concat(all[:n/4], all[n/2:])
		want := NewLayout(left, list)
		must.SliceLen(t, len(want.All()), got.All())
		for i, s := range want.All() {
			o := got.All()[i]
			must.Eq(t, s.Key, o.Key)
			must.Eq(t, s.Engines(), o.Engines())
			must.Eq(t, s.Ranked, o.Ranked)
		}
		for _, e := range left {
			must.SliceContains(t, got.ShardOf(e).Engines(), e.ID)
		}
	}
}

// A service loses its last engine and gets one again later.
func TestServiceLosesItsLastEngine(t *testing.T) {
	p, all := newTestPartition(1, 3)
	must.NotNil(t, p.Layout().HomeShard("s", "z0", "i000"))
	must.Nil(t, p.Update(nil, all).HomeShard("s", "z0", "i000"))
	must.Eq(t, []string{all[0].ID}, p.Update(all, nil).HomeShard("s", "z0", "i000").Engines())
}

// An engine restarts under its ID in another failure domain. It is in one shard only.
func TestEngineChangesDomain(t *testing.T) {
	p, all := newTestPartition(1_000, 200)
	moved := all[0]
	moved.Domain = "z3"
	before := p.Layout().ShardOf(all[0])
	l := p.Update([]fleet.Info{moved}, nil)
	must.SliceNotContains(t, before.Engines(), moved.ID)
	must.SliceContains(t, l.ShardOf(moved).Engines(), moved.ID)
}

func BenchmarkUpdate(b *testing.B) {
	for _, size := range []struct{ engines, instances int }{{1_000, 100}, {10_000, 985}, {20_000, 1_970}} {
		b.Run(fmt.Sprintf("%dx%d", size.engines, size.instances), func(b *testing.B) {
			p, all := newTestPartition(size.engines, size.instances)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				one := all[i%len(all) : i%len(all)+1]
				p.Update(nil, one)
				p.Update(one, nil)
			}
		})
	}
}

func BenchmarkSetInstances(b *testing.B) {
	for _, size := range []struct{ engines, instances int }{{1_000, 100}, {10_000, 985}, {20_000, 1_970}} {
		b.Run(fmt.Sprintf("%dx%d", size.engines, size.instances), func(b *testing.B) {
			p, _ := newTestPartition(size.engines, size.instances)
			list := instances(size.instances, 5)
			b.ReportAllocs()
			for b.Loop() {
				p.SetInstances(list)
			}
		})
	}
}
