package retry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// All instances together stay under ratio x requests + floor in every sliding window, although none asks another.
func TestShareHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		n := rapid.IntRange(1, 8).Draw(t, "instances")
		shares := make([]*InstanceBudget, n)
		for i := range shares {
			shares[i] = NewInstanceBudget(0.2, 54, window)
			shares[i].SetInstances(n)
		}
		type event struct {
			at     time.Duration
			repeat bool
		}
		var events []event
		now := time.Duration(0)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond
			s := shares[rapid.IntRange(0, n-1).Draw(t, "who")]
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

// Repeats that were sent whatever was left are made up for by later ones.
func TestSpendIsCounted(t *testing.T) {
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
