package retry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// All instances together stay within ratio x requests + floor in every sliding window, without coordination.
func TestInstanceBudgetsStayWithinBoundInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		n := rapid.IntRange(1, 8).Draw(t, "instances")
		budgets := make([]*InstanceBudget, n)
		for i := range budgets {
			budgets[i] = NewInstanceBudget(0.2, 54, window)
			budgets[i].SetInstances(n)
		}
		type event struct {
			at     time.Duration
			repeat bool
		}
		var events []event
		now := time.Duration(0)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond
			s := budgets[rapid.IntRange(0, n-1).Draw(t, "who")]
			at := time.Unix(1000, 0).Add(now)
			s.CountRequest(at, "svc")
			events = append(events, event{now, false})
			if s.Take(at, "svc") {
				events = append(events, event{now, true})
			}
		}
		for _, end := range events {
			requests, repeats := 0, 0
			for _, e := range events {
				if e.at > end.at-window && e.at <= end.at {
					if e.repeat {
						repeats++
					} else {
						requests++
					}
				}
			}
			must.LessEq(t, 0.2*float64(requests)+54+1, float64(repeats))
		}
	})
}

// Forced repeats reduce the budget for later ones.
func TestForcedRepeatsCountAgainstBudget(t *testing.T) {
	s := NewInstanceBudget(0, 10, 10*time.Second)
	now := time.Unix(1000, 0)
	must.Eq(t, 7, s.Remaining(now, "svc"))
	for range 7 {
		s.ForceTake(now, "svc")
	}
	must.False(t, s.Take(now, "svc"))
	must.True(t, s.Take(now, "other"))
	must.True(t, s.Take(now.Add(11*time.Second), "svc"))
	s.SetBound(0, 0)
	must.False(t, s.Take(now.Add(30*time.Second), "svc"))
}
