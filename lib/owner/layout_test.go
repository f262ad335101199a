package owner

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/fleet"
)

func engines(n, domains int) []fleet.Info {
	out := make([]fleet.Info, n)
	for i := range out {
		out[i] = fleet.Info{ID: fmt.Sprintf("e%05d", i), Service: "s", Domain: fmt.Sprint("z", i%domains)}
	}
	return out
}

// instances returns small instances, with three large ones in each domain.
func instances(n, domains int) []Instance {
	out := make([]Instance, n)
	for i := range out {
		out[i] = Instance{Name: fmt.Sprintf("i%03d", i), Domain: fmt.Sprint("z", i%domains), Capacity: 400}
		if i < 3*domains {
			out[i].Capacity = 16000
		}
	}
	return out
}

// Instances learn of engines and of each other in any order. All must agree on the owner: two owners of one shard would grant the same
// capacity twice.
func TestLayoutIsIndependentOfOrder(t *testing.T) {
	es, ins := engines(128, 5), instances(295, 5)
	want := NewLayout(es, ins)
	rng := rand.New(rand.NewPCG(1, 2))
	rng.Shuffle(len(es), func(i, j int) { es[i], es[j] = es[j], es[i] })
	rng.Shuffle(len(ins), func(i, j int) { ins[i], ins[j] = ins[j], ins[i] })
	got := NewLayout(es, ins)
	must.SliceLen(t, len(want.All()), got.All())
	for _, s := range want.All() {
		o := got.Shard(s.Key)
		must.Eq(t, s.Engines(), o.Engines())
		must.Eq(t, s.Ranked, o.Ranked)
	}
}

// A few engines have one owner for all. Of many, each shard lies in one failure domain and is owned there by an instance with
// sufficient capacity; it has neighbours to forward streams to.
func TestShardsFollowDomainsAndCapacity(t *testing.T) {
	few := NewLayout(engines(12, 3), instances(8, 3))
	must.SliceLen(t, 1, few.All())
	must.Len(t, 12, few.HomeShard("s", "z1", "i001").Engines())
	must.SliceLen(t, 1, NewLayout(engines(60, 3), instances(72, 3)).All())

	l := NewLayout(engines(128, 5), instances(295, 5))
	must.SliceLen(t, 5, l.All())
	for _, s := range l.All() {
		must.LessEq(t, maxShardEngines, len(s.Engines()))
		must.Len(t, candidateCount, s.Ranked)
		must.Len(t, 4, s.Neighbours())
		for _, in := range s.Ranked {
			must.Eq(t, s.Domain, in.Domain)
			must.Eq(t, 16000, in.Capacity)
			must.True(t, s.IsCandidate(in.Name))
		}
		must.True(t, s == l.HomeShard("s", s.Domain, "anyone"))
		must.True(t, s == l.ShardOf(fleet.Info{ID: s.Engines()[0], Service: "s", Domain: s.Domain}))
	}
	must.Nil(t, l.HomeShard("other", "z1", "i001"))
	must.Nil(t, l.ShardOf(fleet.Info{ID: "nobody", Service: "other"}))
	// A domain without engines uses a shard of another one.
	must.NotNil(t, l.HomeShard("s", "z9", "i001"))
}

// An engine that leaves stays assigned to a shard for its runs, but is not among the engines that the shard places streams on.
func TestLeavingEnginesKeepTheirShard(t *testing.T) {
	es := engines(128, 5)
	l := NewLayout(es[1:], instances(295, 5))
	s := l.ShardOf(es[0])
	must.NotNil(t, s)
	must.Eq(t, es[0].Domain, s.Domain)
	must.SliceNotContains(t, s.Engines(), es[0].ID)
}

// At the design size no instance owns many shards, and none exchanges fill levels with more than a few others.
func TestLayoutBalanceAtDesignSize(t *testing.T) {
	l := NewLayout(engines(12_000, 21), instances(430, 21))
	owned := make(map[string]int)
	most := 0
	for _, s := range l.All() {
		must.LessEq(t, 2*maxShardEngines, len(s.Engines())) // by hash, some have more than the mean
		must.LessEq(t, maxNeighbours, len(s.Neighbours()))
		owned[s.Ranked[0].Name]++
		most = max(most, owned[s.Ranked[0].Name])
	}
	t.Logf("shards=%d owners=%d most=%d", len(l.All()), len(owned), most)
	must.LessEq(t, 20, most)
}

func BenchmarkNewLayout(b *testing.B) {
	es, ins := engines(128, 5), instances(295, 5)
	for b.Loop() {
		NewLayout(es, ins)
	}
}

// A sixth of the engines leaves repeatedly, and others arrive. The shards stay the same: another number of shards would change all
// owners and lose the state reported to them.
func TestShardsAreStableUnderEngineChurn(t *testing.T) {
	for _, n := range []int{8, 72, 295} {
		all := engines(max(12, n/2), 5)
		want := NewLayout(all, instances(n, 5))
		for _, left := range []int{len(all) * 5 / 6, len(all) * 4 / 6, len(all) / 2} {
			got := NewLayout(all[:left], instances(n, 5))
			must.SliceLen(t, len(want.All()), got.All())
			for i, s := range want.All() {
				must.Eq(t, s.Key, got.All()[i].Key)
				must.Eq(t, s.Ranked, got.All()[i].Ranked)
			}
			for _, e := range all {
				must.Eq(t, want.ShardOf(e).Key, got.ShardOf(e).Key)
			}
		}
	}
}
