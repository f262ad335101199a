package retry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"anvilwick.example/anvilwick/lib/result"
)

// Plan is the retry state of one request. Attempt is 0 until the first attempt starts.
type Plan struct {
	Workspace   string
	MaxAttempts int           // total attempts, including the first; below 1 counts as 1
	Deadline    time.Time     // zero: none
	MinRun      time.Duration // shortest useful attempt; none is started with less time left
	Attempt     int           // attempts started so far
}

// Backoff configures the delay before a retry: full jitter over Base, doubled with each retry, up to Max.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// DefaultBackoff suits network latencies of about a millisecond.
var DefaultBackoff = Backoff{Base: 10 * time.Millisecond, Max: 500 * time.Millisecond}

// Delay draws the delay before retry n (1 for the first retry).
func (b Backoff) Delay(rng *rand.Rand, n int) time.Duration {
	span := b.Base
	for range n - 1 {
		span *= 2
		if span >= b.Max {
			break
		}
	}
	span = min(span, b.Max)
	if span <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(span)))
}

// Next starts the next attempt of p, or returns why there is none. A first attempt is never charged to the budget. The caller
// should answer its client at once with a returned error.
func (p *Plan) Next(now time.Time, budgets *Budgets) *result.Error {
	if err := p.checkDeadline(now); err != nil {
		return err
	}
	if p.Attempt == 0 {
		p.Attempt = 1
		return nil
	}
	if p.Attempt >= max(1, p.MaxAttempts) {
		return result.New(result.RetryBudget, "%d attempts made", p.Attempt)
	}
	ok, wait := budgets.Take(now, p.Workspace)
	if !ok {
		err := result.New(result.RetryBudget, "no retries left for workspace %s", p.Workspace)
		err.RetryAfter = wait
		return err
	}
	p.Attempt++
	return nil
}

func (p *Plan) checkDeadline(now time.Time) *result.Error {
	if p.Deadline.IsZero() || p.Deadline.Sub(now) > p.MinRun {
		return nil
	}
	return result.New(result.DeadlineTooNear, "%v left after %d attempts", p.Deadline.Sub(now), p.Attempt)
}

// Remaining is the time budget of an attempt started now, to be sent with the attempt; 0 means no deadline.
func (p *Plan) Remaining(now time.Time) time.Duration {
	if p.Deadline.IsZero() {
		return 0
	}
	return max(p.Deadline.Sub(now), time.Millisecond)
}

// ErrNested is returned by Enter when ctx already belongs to a retrying layer.
var ErrNested = errors.New("retry: context already belongs to a retrying layer")

type layerKey struct{}

// Enter marks ctx as belonging to the single layer that retries.
//
// Failure: two layers with three attempts each send nine requests for one. The inner layer sees the mark and makes a single
// attempt.
func Enter(ctx context.Context) (context.Context, error) {
	if ctx.Value(layerKey{}) != nil {
		return ctx, ErrNested
	}
	return context.WithValue(ctx, layerKey{}, true), nil
}
