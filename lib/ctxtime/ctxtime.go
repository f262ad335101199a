// Package ctxtime waits for durations that a context may cut short.
package ctxtime

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for d. It returns false as soon as ctx has ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// SleepJittered waits for between d/2 and d, so that processes that began to wait together do not continue together. It returns false as
// soon as ctx has ended.
func SleepJittered(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return Sleep(ctx, 0)
	}
	return Sleep(ctx, d/2+rand.N(d/2+1))
}
