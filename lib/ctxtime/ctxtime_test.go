package ctxtime

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

func TestSleepLastsOrEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		must.True(t, Sleep(t.Context(), time.Second))
		must.Eq(t, time.Second, time.Since(start))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		must.False(t, Sleep(ctx, time.Minute))
		must.Eq(t, 2*time.Second, time.Since(start))
		must.False(t, Sleep(ctx, 0))
		must.True(t, Sleep(t.Context(), -time.Second))
	})
}

func TestSleepJitteredStaysWithinBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 100 {
			start := time.Now()
			must.True(t, SleepJittered(t.Context(), time.Second))
			must.Between(t, 500*time.Millisecond, time.Since(start), time.Second)
		}
		must.True(t, SleepJittered(t.Context(), 0))
	})
}
