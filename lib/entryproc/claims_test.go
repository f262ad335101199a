package entryproc

import (
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/member"
)

// Every entry divides the platform's budget by the same count. A silent or leaving one may still write, so only a dead
// one is left out.
func TestShareOfTheStoreCountsAllThatMayWrite(t *testing.T) {
	must.Eq(t, 1, sharers(nil))
	must.Eq(t, 1, sharers(&member.View{}))
	view := &member.View{Members: []member.Member{
		{Instance: "a", State: member.Live},
		{Instance: "b", State: member.Suspect},
		{Instance: "c", State: member.Live, Leaving: true},
		{Instance: "d", State: member.Dead},
	}}
	must.Eq(t, 3, sharers(view))
}
