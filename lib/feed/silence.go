package feed

import (
	"context"
	"time"
)

// progressKey finds the function that renews a context's time.
type progressKey struct{}

// withSilence returns a context that ends, with the cause context.DeadlineExceeded, when Progress has not been called with it
// for limit.
//
// Failure: all instances were started anew, before 3,000 targets and behind links of 5 Mbit/s. The whole table takes two seconds
// there, over any time-out that finds a silent store in time; it was given up and begun again at every try, and nothing
// was served for twelve seconds and more. An answer may take any time as long as it comes.
func withSilence(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := time.AfterFunc(limit, func() { cancel(context.DeadlineExceeded) })
	ctx = context.WithValue(ctx, progressKey{}, func() { t.Reset(limit) })
	return ctx, func() {
		t.Stop()
		cancel(nil)
	}
}

// Progress tells a Follower that a part of an answer has come to the call that it made with ctx.
func Progress(ctx context.Context) {
	if renew, ok := ctx.Value(progressKey{}).(func()); ok {
		renew()
	}
}
