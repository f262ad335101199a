package faultlog

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A fault covers the time until it ends plus the grace period, for its own subject only.
func TestOverlaps(t *testing.T) {
	l := Log{GracePeriod: time.Hour}
	before := time.Now()
	end := l.Begin("a", "kill")
	must.True(t, l.Overlaps(before, time.Now().Add(time.Second), AnyFaultOf("b", "a")))
	must.False(t, l.Overlaps(before, time.Now().Add(time.Second), AnyFaultOf("b")))
	must.False(t, l.Overlaps(before.Add(-2*time.Second), before, AnyFaultOf("a")))
	end()
	must.True(t, l.Overlaps(time.Now().Add(time.Minute), time.Now().Add(2*time.Minute), AnyFaultOf("a")))
	l.GracePeriod = 0
	must.False(t, l.Overlaps(time.Now().Add(time.Minute), time.Now().Add(2*time.Minute), AnyFaultOf("a")))
}
