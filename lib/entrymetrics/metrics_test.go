package entrymetrics

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/result"
)

// An unbounded number of names must not grow the entry's memory: pairs beyond the bound share one set of metrics.
func TestLabelPairsAreBounded(t *testing.T) {
	s := New()
	for i := range maxLabelPairs + 10 {
		s.Pair(fmt.Sprint("w", i), "c").Tokens.Inc()
	}
	must.Eq(t, s.Pair("one", "more"), s.Pair("and", "another"))
	must.LessEq(t, maxLabelPairs+1, len(s.pairs))
	must.Eq(t, 10, s.Pair("x", "y").Tokens.Get())
}

func TestWrite(t *testing.T) {
	s := New()
	p := s.Pair("glasgow-planning", "urgent")
	p.FirstToken.Update(0.02)
	p.CountResult(result.QueueFull)
	var b strings.Builder
	s.Write(&b)
	must.StrContains(t, b.String(), `anvilwick_first_token_seconds_count{workspace="glasgow-planning",class="urgent"} 1`)
	must.StrContains(t, b.String(), `anvilwick_results_total{workspace="glasgow-planning",class="urgent",code="3001",name="queue_full"} 1`)
}
