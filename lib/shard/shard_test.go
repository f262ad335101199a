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

func TestSplitHoldsEachTargetOnceWithinTheLimit(t *testing.T) {
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

func TestSplitDependsOnTheSetAlone(t *testing.T) {
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

func moved(a, b []Shard) int {
	n := 0
	for _, s := range a {
		for _, target := range s.Targets {
			if id, ok := Of(b, target); ok && id != s.ID {
				n++
			}
		}
	}
	return n
}

// Targets come and go all day at the letter's size. If one of them moved many others between shards, owners would
// forget what they learned and every queue would be rebuilt.
func TestSplitIsStableUnderChanges(t *testing.T) {
	targets := names("t", 3000)
	before := Split("svc", targets, 32)
	worst := 0
	for i := range 100 {
		without := slices.Concat(targets[:i*30], targets[i*30+1:])
		worst = max(worst, moved(before, Split("svc", without, 32)))
	}
	t.Logf("targets=3000 shards=%d worst moved by one target less: %d", len(before), worst)
	must.LessEq(t, 100, worst)
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
