package feed

import (
	"context"
	"time"
)

// progressKey is the context key of the function that restarts a call's idle time-out.
type progressKey struct{}

// withIdleTimeout returns a context that ends, with the cause context.DeadlineExceeded, when Progress has not been called with it
// for limit.
//
// The time-out covers gaps, not the whole response: when all instances restarted in front of 3,000 targets and behind links of
// 5 Mbit/s, the whole table took two seconds, longer than any time-out short enough to notice an unresponsive store. Every
// attempt was cancelled and started over, and nothing was served for twelve seconds and more.
func withIdleTimeout(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := time.AfterFunc(limit, func() { cancel(context.DeadlineExceeded) })
	ctx = context.WithValue(ctx, progressKey{}, func() { t.Reset(limit) })
	return ctx, func() {
		t.Stop()
		cancel(nil)
	}
}

// Progress reports that a part of a response has arrived for the call that a Follower made with ctx.
func Progress(ctx context.Context) {
	if renew, ok := ctx.Value(progressKey{}).(func()); ok {
		renew()
	}
}
