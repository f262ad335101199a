package shard

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/member"
)

func names(prefix string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s%05d", prefix, i)
	}
	return out
}

func members(n int) []member.Member {
	var out []member.Member
	for _, name := range names("entry", n) {
		out = append(out, member.Member{Instance: name, Incarnation: 1})
	}
	return out
}

func TestSplitAssignsEachTargetOnceWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := names("t", rapid.IntRange(0, 300).Draw(t, "targets"))
		limit := rapid.IntRange(1, 40).Draw(t, "limit")
		all := []string{}
		for _, s := range Split("svc", targets, limit) {
			must.LessEq(t, limit, len(s.Targets))
			all = append(all, s.Targets...)
		}
		slices.Sort(all)
		must.Eq(t, targets, all)
	})
}

func TestSplitIsIndependentOfOrder(t *testing.T) {
	targets := names("t", 200)
	want := Split("svc", targets, 32)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	must.Eq(t, want, Split("svc", targets, 32))
}

func TestSplitIsOneShardWhileAllFit(t *testing.T) {
	must.Len(t, 0, Split("svc", nil, 32))
	must.Len(t, 1, Split("svc", names("t", 32), 32))
	must.Len(t, 2, Split("svc", names("t", 33), 32))
}

func countMoved(a, b []Shard) int {
	n := 0
	for _, s := range a {
		for _, target := range s.Targets {
			if id, ok := Find(b, target); ok && id != s.ID {
				n++
			}
		}
	}
	return n
}

// At the design size targets are added and removed all day. If one of them moved many others between shards, owners would
// lose what they learned and every queue would be rebuilt.
func TestSplitIsStableUnderChanges(t *testing.T) {
	targets := names("t", 3000)
	before := Split("svc", targets, 32)
	worst := 0
	for i := range 100 {
		without := slices.Concat(targets[:i*30], targets[i*30+1:])
		worst = max(worst, countMoved(before, Split("svc", without, 32)))
	}
	t.Logf("targets=3000 shards=%d worst moved by one target less: %d", len(before), worst)
	must.LessEq(t, 100, worst)
}

func idsOf(shards []Shard) (ids []ID) {
	for _, s := range shards {
		ids = append(ids, s.ID)
	}
	return ids
}

// At the design size no entry may own, and poll, many times the mean, and the loss of an entry must not move the shards of
// all others.
func TestAssignIsEvenAndMovesLittle(t *testing.T) {
	ms := members(430)
	ids := idsOf(Split("svc", names("t", 12000), 32))
	before := Assign(ids, ms)
	must.MapLen(t, len(ids), before)
	load := make(map[string]int)
	for _, m := range before {
		load[m.Instance]++
	}
	for name, n := range load {
		must.LessEq(t, 2, n, must.Sprint(name))
	}
	worst, sum := 0, 0
	for i := range 20 {
		lost := ms[i*21]
		after := Assign(ids, slices.DeleteFunc(slices.Clone(ms), func(m member.Member) bool { return m == lost }))
		n := 0
		for id, m := range before {
			if m != lost && after[id] != m {
				n++
			}
		}
		worst, sum = max(worst, n), sum+n
	}
	t.Logf("members=430 shards=%d owners=%d; one lost moves of others' shards: mean %.1f, worst %d", len(ids), len(load), float64(sum)/20, worst)
	must.LessEq(t, 20, worst)
}

func TestAssignSpreadsFewShards(t *testing.T) {
	owners := Assign([]ID{{"planner", 0}, {"treaty", 0}, {"desk", 0}}, members(8))
	distinct := make(map[string]bool)
	for _, m := range owners {
		distinct[m.Instance] = true
	}
	must.MapLen(t, 3, distinct)
	must.MapEmpty(t, Assign([]ID{{"planner", 0}}, nil))
}

func TestOwnerMovesOnlyWhatTheLostMemberOwned(t *testing.T) {
	ms := members(430)
	shards := Split("svc", names("t", 12000), 32)
	load := make(map[string]int)
	for _, s := range shards {
		o, ok := Owner(s.ID, ms)
		must.True(t, ok)
		load[o.Instance]++
		without := slices.DeleteFunc(slices.Clone(ms), func(m member.Member) bool { return m.Instance == ms[7].Instance })
		o2, _ := Owner(s.ID, without)
		if o.Instance != ms[7].Instance {
			must.Eq(t, o, o2)
		}
	}
	worst := 0
	for _, n := range load {
		worst = max(worst, n)
	}
	t.Logf("members=430 targets=12000 shards=%d most owned by one: %d, owners: %d", len(shards), worst, len(load))
	_, ok := Owner(ID{"svc", 0}, nil)
	must.False(t, ok)
}
