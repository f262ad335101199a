package member

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/shoenig/test/must"
)

func genMember(t *rapid.T) Member {
	return Member{
		Instance:      "x",
		Incarnation:   rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		Refutation:    rapid.Uint32Range(0, 2).Draw(t, "refutation"),
		State:         State(rapid.IntRange(0, 2).Draw(t, "state")),
		Leaving:       rapid.Bool().Draw(t, "leaving"),
		FailureDomain: rapid.SampledFrom([]string{"", "d1"}).Draw(t, "domain"),
	}
}

// Updates arrive late, repeatedly and in any order, over different paths. Unless Merge is a lattice join, two instances with the same
// updates can disagree forever on which members are live.
func TestMergeIsALatticeJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := genMember(t), genMember(t), genMember(t)
		must.Eq(t, Merge(a, b), Merge(b, a))
		must.Eq(t, Merge(a, Merge(b, c)), Merge(Merge(a, b), c))
		must.Eq(t, a, Merge(a, a))
	})
}

func TestChangedMembers(t *testing.T) {
	a, b := Member{Instance: "a", Incarnation: 1}, Member{Instance: "b", Incarnation: 1}
	dead, leaving := a, b
	dead.State, leaving.Leaving = Dead, true
	suspected := a
	suspected.Refutation = 3
	old := &View{Members: []Member{a, b}}
	must.Eq(t, []Member{dead, leaving}, changedMembers(old, &View{Members: []Member{dead, leaving}}))
	must.SliceEmpty(t, changedMembers(old, &View{Members: []Member{suspected, b}}))
	must.Eq(t, []Member{b}, changedMembers(&View{Members: []Member{a}}, old))
}

func TestMergeOrder(t *testing.T) {
	base := Member{Instance: "x", Incarnation: 5, Refutation: 1}
	leaving := base
	leaving.Leaving = true
	dead := base
	dead.State = Dead
	refuted := base
	refuted.Refutation = 2
	restarted := Member{Instance: "x", Incarnation: 6}
	must.Eq(t, leaving, Merge(base, leaving))
	must.Eq(t, dead, Merge(base, dead))
	must.Eq(t, refuted, Merge(dead, refuted))
	must.True(t, Merge(leaving, refuted).Leaving)
	must.Eq(t, restarted, Merge(restarted, leaving))
	must.Eq(t, restarted, Merge(dead, restarted))
}
