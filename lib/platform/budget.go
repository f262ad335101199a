package platform

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// budgetBurst is the burst of a rate limiter as a fraction of a second's tokens; minBurst is its minimum. One settings revision
// takes three reads in a row. An instance among hundreds has less than two reads a second; with a burst of one, the
// second read would come later than a caller waits, and the instance would never load its settings.
const (
	budgetBurst = 0.1
	minBurst    = 4
)

var (
	errBudget = errors.New("the budget for the platform is spent")
	errNoTime = errors.New("the caller's deadline is before the next token of the budget for the platform")
)

// budget limits this process to its share of the site's reads and writes. The platform's limits apply to the whole
// site: an instance that used all it could get would starve the leases of the others.
type budget struct {
	share  float64
	wait   time.Duration
	writes *rate.Limiter
	reads  *rate.Limiter

	mu           sync.Mutex
	live         int
	writesPerSec float64 // whole site
	readsPerSec  float64
}

func newBudget(cfg Config) *budget {
	b := &budget{
		share:        cfg.Share,
		wait:         cfg.BudgetWait,
		writes:       rate.NewLimiter(0, 1),
		reads:        rate.NewLimiter(0, 1),
		live:         cfg.Live,
		writesPerSec: cfg.WritesPerSec,
		readsPerSec:  cfg.ReadsPerSec,
	}
	b.apply()
	return b
}

func (b *budget) setLive(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.live = max(1, n)
	b.apply()
}

func (b *budget) setSite(writesPerSec, readsPerSec float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writesPerSec, b.readsPerSec = writesPerSec, readsPerSec
	b.apply()
}

// apply computes the rates of this process from its share.
func (b *budget) apply() {
	part := b.share / float64(b.live)
	setRate(b.writes, b.writesPerSec*part)
	setRate(b.reads, b.readsPerSec*part)
}

func setRate(l *rate.Limiter, perSec float64) {
	if l.Limit() == rate.Limit(perSec) {
		return
	}
	l.SetLimit(rate.Limit(perSec))
	l.SetBurst(max(minBurst, int(perSec*budgetBurst)))
}

// take waits for one token for at most the budget's wait; the limiter fails at once when the token would come
// later.
func (b *budget) take(ctx context.Context, u purpose, l *rate.Limiter) *exchangeError {
	deadline, bounded := ctx.Deadline()
	deadlineFirst := bounded && deadline.Before(time.Now().Add(b.wait))
	waitCtx, cancel := context.WithTimeout(ctx, b.wait)
	defer cancel()
	err := l.Wait(waitCtx)
	if err == nil {
		return nil
	}
	retryIn := max(time.Duration(float64(time.Second)/float64(l.Limit())), b.wait)
	switch {
	case ctx.Err() != nil:
		return &exchangeError{fate: fateNotSent, retryAfter: retryIn, cause: ctx.Err()}
	case deadlineFirst:
		return &exchangeError{fate: fateNotSent, retryAfter: retryIn, cause: errors.Join(errNoTime, context.DeadlineExceeded)}
	}
	u.countBudget()
	return &exchangeError{fate: fateNotSent, retryAfter: retryIn, cause: errors.Join(errBudget, err)}
}
