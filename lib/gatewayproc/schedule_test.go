package gatewayproc

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a stop whose steps overlap: callers' last answers, the records and the log each need their time before the kill.
func TestStepsOfAStopFollowEachOther(t *testing.T) {
	start := time.Now()
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 8 * time.Second, 30 * time.Second} {
		s, closeAt := stopSchedule(start, grace)
		must.True(t, start.Before(s.InRotation))
		must.True(t, s.InRotation.Before(s.By))
		must.True(t, s.By.Before(closeAt))
		must.True(t, closeAt.Before(start.Add(grace)))
	}
	s, closeAt := stopSchedule(start, 8*time.Second)
	must.Eq(t, start.Add(2500*time.Millisecond), s.InRotation)
	must.Eq(t, start.Add(7300*time.Millisecond), s.By)
	must.Eq(t, start.Add(7650*time.Millisecond), closeAt)
}
