package platform

import (
	"context"
	"errors"
	"time"

	"golang.org/x/time/rate"
)

// budgetBurst is how much of a rate may be used at once: a tenth of a second's worth, and always one.
const budgetBurst = 0.1

var errBudget = errors.New("the budget for the platform is spent")

// budget keeps this process to its share of the site's reads and writes. The platform's limits hold for the whole
// site: an instance that took what it could get would starve the leases of all others.
type budget struct {
	writesPerSec float64
	readsPerSec  float64
	share        float64
	wait         time.Duration
	writes       *rate.Limiter
	reads        *rate.Limiter
}

func newBudget(cfg Config) budget {
	b := budget{
		writesPerSec: cfg.WritesPerSec,
		readsPerSec:  cfg.ReadsPerSec,
		share:        cfg.Share,
		wait:         cfg.BudgetWait,
		writes:       rate.NewLimiter(0, 1),
		reads:        rate.NewLimiter(0, 1),
	}
	b.setLive(cfg.Live)
	return b
}

func (b *budget) setLive(n int) {
	part := b.share / float64(max(1, n))
	setRate(b.writes, b.writesPerSec*part)
	setRate(b.reads, b.readsPerSec*part)
}

func setRate(l *rate.Limiter, perSec float64) {
	if l.Limit() == rate.Limit(perSec) {
		return
	}
	l.SetLimit(rate.Limit(perSec))
	l.SetBurst(max(1, int(perSec*budgetBurst)))
}

// take waits for one token, but not for longer than the budget's wait: the limiter refuses at once when the token
// would come too late.
func (b *budget) take(ctx context.Context, l *rate.Limiter) *exchangeError {
	ctx, cancel := context.WithTimeout(ctx, b.wait)
	defer cancel()
	if err := l.Wait(ctx); err != nil {
		after := time.Duration(float64(time.Second) / float64(l.Limit()))
		return &exchangeError{fate: fateNotSent, after: max(after, b.wait), cause: errors.Join(errBudget, err)}
	}
	return nil
}
