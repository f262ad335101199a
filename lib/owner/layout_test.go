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

// instances are small ones, but for three large in each domain.
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

// Instances hear of engines and of each other in any order. All must ask the same owner: two owners of one shard give the
// same room away twice.
func TestLayoutDependsOnTheSetsAlone(t *testing.T) {
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

// A few engines have one owner, which sees all of them. Of many each shard lies in one failure domain and is owned there, by
// an instance that can carry it; it has neighbours to pass streams on to.
func TestShardsFollowDomainsAndCapacity(t *testing.T) {
	few := NewLayout(engines(12, 3), instances(8, 3))
	must.SliceLen(t, 1, few.All())
	must.Len(t, 12, few.HomeShard("s", "z1", "i001").Engines())
	must.SliceLen(t, 1, NewLayout(engines(60, 3), instances(72, 3)).All())

	l := NewLayout(engines(128, 5), instances(295, 5))
	must.SliceLen(t, 5, l.All())
	for _, s := range l.All() {
		must.LessEq(t, shardLimit, len(s.Engines()))
		must.Len(t, candidates, s.Ranked)
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
	// A domain without engines asks some shard all the same.
	must.NotNil(t, l.HomeShard("s", "z9", "i001"))
}

// An engine that leaves is in a shard for its runs' sake, and is not chosen from it.
func TestLeavingEnginesStayInAShard(t *testing.T) {
	es := engines(128, 5)
	l := NewLayout(es[1:], instances(295, 5))
	s := l.ShardOf(es[0])
	must.NotNil(t, s)
	must.Eq(t, es[0].Domain, s.Domain)
	must.SliceNotContains(t, s.Engines(), es[0].ID)
}

// At the size that is designed for no instance owns many shards, and none looks to more than a few others.
func TestLayoutOfManyEngines(t *testing.T) {
	l := NewLayout(engines(12_000, 21), instances(430, 21))
	owned := make(map[string]int)
	most := 0
	for _, s := range l.All() {
		must.LessEq(t, 2*shardLimit, len(s.Engines())) // by hash, some have more than the mean
		must.LessEq(t, neighbours, len(s.Neighbours()))
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

// A sixth of the engines leaves again and again, and others come. The shards stay the same ones: with another number of them
// all owners would change, and what they were told.
func TestShardsStayWhileEnginesComeAndGo(t *testing.T) {
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
