package platform

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// budgetBurst is how much of a rate may be used at once: a tenth of a second's worth, and always one.
const budgetBurst = 0.1

var (
	errBudget = errors.New("the budget for the platform is spent")
	errNoTime = errors.New("the caller's time ends before the budget for the platform allows the exchange")
)

// budget keeps this process to its share of the site's reads and writes. The platform's limits hold for the whole
// site: an instance that took what it could get would starve the leases of all others.
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

// apply sets the rates of this process.
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
	l.SetBurst(max(1, int(perSec*budgetBurst)))
}

// take waits for one token, but not for longer than the budget's wait: the limiter refuses at once when the token
// would come too late.
func (b *budget) take(ctx context.Context, u use, l *rate.Limiter) *exchangeError {
	ends, bounded := ctx.Deadline()
	short := bounded && ends.Before(time.Now().Add(b.wait))
	waiting, cancel := context.WithTimeout(ctx, b.wait)
	defer cancel()
	err := l.Wait(waiting)
	if err == nil {
		return nil
	}
	after := max(time.Duration(float64(time.Second)/float64(l.Limit())), b.wait)
	switch {
	case ctx.Err() != nil:
		return &exchangeError{fate: fateNotSent, after: after, cause: ctx.Err()}
	case short:
		return &exchangeError{fate: fateNotSent, after: after, cause: errors.Join(errNoTime, context.DeadlineExceeded)}
	}
	u.countBudget()
	return &exchangeError{fate: fateNotSent, after: after, cause: errors.Join(errBudget, err)}
}
