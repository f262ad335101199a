package disturb

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A fault explains what happens while it lasts and within the slack after it, on its own subject alone.
func TestDuring(t *testing.T) {
	l := Log{Slack: time.Hour}
	before := time.Now()
	end := l.Begin("a", "kill")
	must.True(t, l.During(before, time.Now().Add(time.Second), Of("b", "a")))
	must.False(t, l.During(before, time.Now().Add(time.Second), Of("b")))
	must.False(t, l.During(before.Add(-2*time.Second), before, Of("a")))
	end()
	must.True(t, l.During(time.Now().Add(time.Minute), time.Now().Add(2*time.Minute), Of("a")))
	l.Slack = 0
	must.False(t, l.During(time.Now().Add(time.Minute), time.Now().Add(2*time.Minute), Of("a")))
}
