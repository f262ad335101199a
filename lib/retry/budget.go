// Package retry limits the load that retries add: a budget per workspace, a bounded number of attempts, a single retrying
// layer, and the caller's deadline propagated to each attempt.
package retry

import (
	"math"
	"sync"
	"time"
)

// BudgetConfig configures the budgets of all workspaces. The ratio is passed with each deposit.
type BudgetConfig struct {
	FloorPerSecond float64       // retries per second that a workspace may always make
	Window         time.Duration // how long deposits count; bounds a burst of retries
	Idle           time.Duration // a workspace without traffic for this long is removed
}

// DefaultBudgetConfig lets an idle workspace retry once in two seconds.
var DefaultBudgetConfig = BudgetConfig{FloorPerSecond: 0.5, Window: 10 * time.Second, Idle: 10 * time.Minute}

// Budgets holds one token bucket per workspace. A first attempt deposits a fraction of a token; a retry takes a whole one. It
// is safe for concurrent use.
//
// Failure: targets slow down, every caller's request is sent twice, and the added load keeps the targets slow after the cause
// is gone. Retries limited to a fraction of first attempts cannot multiply the load by more than 1+fraction.
type Budgets struct {
	cfg     BudgetConfig
	mu      sync.Mutex
	buckets map[string]*bucket
	swept   time.Time
}

type bucket struct {
	tokens   float64
	deposits float64 // decayed sum of deposits over Window, which bounds tokens
	last     time.Time
}

// NewBudgets returns a Budgets without workspaces.
func NewBudgets(cfg BudgetConfig) *Budgets {
	return &Budgets{cfg: cfg, buckets: make(map[string]*bucket)}
}

// Deposit records a first attempt of workspace. ratio is the retry budget from the settings, in retries per first attempt.
func (b *Budgets) Deposit(now time.Time, workspace string, ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucketOf(now, workspace)
	k.deposits += ratio
	k.tokens = min(k.tokens+ratio, b.capacity(k))
}

// Take spends one retry of workspace. When the budget is empty it returns false and the time until the floor alone would refill
// it, or 0 when there is no floor.
func (b *Budgets) Take(now time.Time, workspace string) (bool, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucketOf(now, workspace)
	if k.tokens >= 1 {
		k.tokens--
		return true, 0
	}
	if b.cfg.FloorPerSecond <= 0 {
		return false, 0
	}
	wait := (1 - k.tokens) / b.cfg.FloorPerSecond
	return false, time.Duration(math.Ceil(wait*1000-epsilon)) * time.Millisecond
}

// epsilon keeps rounding errors of the bucket from adding a millisecond.
const epsilon = 1e-6

// bucketOf returns the bucket of workspace, updated to now.
func (b *Budgets) bucketOf(now time.Time, workspace string) *bucket {
	b.sweep(now)
	k := b.buckets[workspace]
	if k == nil {
		k = &bucket{tokens: 1, last: now}
		b.buckets[workspace] = k
		return k
	}
	dt := now.Sub(k.last)
	if dt <= 0 {
		return k
	}
	k.last = now
	k.deposits *= max(0, 1-dt.Seconds()/b.cfg.Window.Seconds())
	k.tokens = min(k.tokens+b.cfg.FloorPerSecond*dt.Seconds(), b.capacity(k))
	return k
}

// capacity is the maximum of a bucket: recent deposits plus the floor over one window, or one retry if that is more.
func (b *Budgets) capacity(k *bucket) float64 {
	return k.deposits + max(1, b.cfg.FloorPerSecond*b.cfg.Window.Seconds())
}

// sweep removes idle workspaces, so that names that are never used again do not hold memory.
func (b *Budgets) sweep(now time.Time) {
	if now.Sub(b.swept) < b.cfg.Idle {
		return
	}
	b.swept = now
	for name, k := range b.buckets {
		if now.Sub(k.last) >= b.cfg.Idle {
			delete(b.buckets, name)
		}
	}
}
