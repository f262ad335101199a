package gatewayproc

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// An owner of hundreds of engines polls those with runs in every period, and the others round robin, a bounded number at a time.
func TestEnginesWithRunsArePolledEachPeriod(t *testing.T) {
	var idle []string
	for i := range 200 {
		idle = append(idle, fmt.Sprint("e", i))
	}
	var round idleRound
	seen := make(map[string]bool)
	for range 4 {
		got := round.next([]string{"busy"}, idle)
		must.Len(t, 1+idlePolled, got)
		must.Eq(t, "busy", got[0])
		for _, id := range got[1:] {
			seen[id] = true
		}
	}
	must.MapLen(t, 200, seen)
	must.Eq(t, []string{"busy"}, round.next([]string{"busy"}, nil))
	must.SliceContainsAll(t, []string{"a", "b"}, round.next(nil, []string{"a", "b"}))
}
