package bench

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/workload"
)

// The figures of a run in real time must follow the definitions of the bench: a stall is the time beyond the floor, and a
// truncated answer is lost.
func TestResultFromObserved(t *testing.T) {
	m := workload.Kelburn()
	urgent, _ := m.Class("depot")
	cfg := Config{Mix: &m, Window: 2 * time.Second, Arrivals: []workload.Request{
		{At: time.Second, Workspace: "fife", Class: urgent, Length: 3},
		{At: time.Second, Workspace: "fife", Class: urgent, Length: 3},
		{At: time.Second, Workspace: "fife", Class: urgent, Length: 3},
	}}
	r := ResultFromObserved(cfg, []ObservedRequest{
		{Tokens: []time.Duration{1500 * time.Millisecond, 1600 * time.Millisecond, 2600 * time.Millisecond}, Completed: true},
		{Refused: true},
		{Tokens: []time.Duration{1100 * time.Millisecond}},
	}, 4)
	must.Eq(t, []int{3, 1, 1, 1, 4}, []int{r.Offered, r.Completed, r.Refused, r.Lost, r.Preemptions})
	must.Eq(t, 0.75, r.StallS)
	must.Eq(t, 1.5, r.TokensPerS) // the last token arrived after the window
	must.Eq(t, 0.6, r.WaitS)
	must.InDelta(t, 500, r.UrgentP95MS, 1)
}
