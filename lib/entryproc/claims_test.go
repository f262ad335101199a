package entryproc

import (
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/member"
)

// Every entry divides the platform's budget by the same count. A suspect or leaving instance may still write, so only dead
// instances are left out.
func TestBudgetCountsAllPossibleWriters(t *testing.T) {
	must.Eq(t, 1, countWriters(nil))
	must.Eq(t, 1, countWriters(&member.View{}))
	view := &member.View{Members: []member.Member{
		{Instance: "a", State: member.Live},
		{Instance: "b", State: member.Suspect},
		{Instance: "c", State: member.Live, Leaving: true},
		{Instance: "d", State: member.Dead},
	}}
	must.Eq(t, 3, countWriters(view))
}
