// Package lease assigns a role to one of many processes at a time, through a transactional table, with fencing numbers.
//
// Its guarantees, and the mechanism behind each:
//
//   - Writes to the table that include Term.Cond are rejected once the lease has changed hands, whatever the old holder assumes:
//     the table checks the condition.
//   - Commands to other systems are safe in the same way if those systems reject old fencing numbers, since a later holder's
//     Fence is always higher. Fencing numbers are revisions of the table, so they increase across all leases.
//   - Otherwise, a running holder stops itself before another can start: it counts from the time at which it sent its last
//     successful renewal and stops at StopFraction of the TTL, while a challenger counts the whole TTL from a later time. Clocks
//     of different machines are never compared; they only have to run at the same rate, within the margin.
//   - A holder that is paused between its check of Valid and its command can still send that one command late. Only a fencing
//     number prevents that; package placement bounds the effect where targets ignore fencing numbers.
//
// A table restored from a backup may lack a term, or show one that was released. A process that finds a record written before the
// restore waits for the whole TTL, even if the record shows the lease as free. A holder continues if the backup has its own record,
// and stops if it has another's. Fencing numbers are ordered over the eras of the table, so none is issued twice.
//
// During an outage of the table no holder can renew: leases lapse, and changes have to wait.
package lease

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"
	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/platformapi"
)

// Defaults and fractions of the TTL.
const (
	DefaultTTL = 15 * time.Second
	// StopFraction is the part of the TTL, counted from when the last renewal was sent, after which the holder stops. The rest
	// allows for the work to end and for clocks that run at different rates.
	StopFraction = 0.6
	// RenewFraction is the part of the TTL between renewals: two may fail before the holder stops.
	RenewFraction = 0.2
)

// Store is the part of the platform's client that leases use.
type Store interface {
	Txn(ctx context.Context, txn platformapi.Txn) (platformapi.TxnResult, error)
	Get(ctx context.Context, key string) (platformapi.Item, bool, error)
	// Era returns the highest era of the table seen in any answer.
	Era() uint64
}

// Config names a lease and the process that campaigns for it.
type Config struct {
	Name   string        // of the role; no slash
	Holder string        // shown to operators; need not be unique
	TTL    time.Duration // default DefaultTTL
	// PollInterval returns the minimum time between two reads by a process that waits for the lease; nil: RenewFraction of the
	// TTL. Many waiting processes would otherwise use much of the table's read capacity. They read at different times, so one
	// still notices a free lease soon.
	PollInterval func() time.Duration
}

// Term is one process's tenure of a lease. Its methods are safe for concurrent use.
type Term struct {
	name  string
	nonce string
	fence uint64
	ttl   time.Duration

	mu      sync.Mutex
	rev     uint64    // last known revision of the record
	cond    uint64    // revision of the term's fence item in the table's current era
	renewed time.Time // when the last successful renewal was sent
	ended   bool
	cancel  context.CancelFunc
}

// Fence returns the fencing number. Every command sent under the lease must carry it.
func (h *Term) Fence() uint64 { return h.fence }

// Name returns the role that the lease assigns.
func (h *Term) Name() string { return h.name }

// Cond holds as long as this term lasts. Include it in every transaction made under the lease.
func (h *Term) Cond() platformapi.Cond {
	h.mu.Lock()
	defer h.mu.Unlock()
	return platformapi.Cond{Key: fenceKey(h.name), Rev: h.cond}
}

// Valid reports whether the holder may still act. Check it right before each command: after a pause, the context ends too late.
func (h *Term) Valid() bool { return h.Remaining() > 0 }

// Remaining returns the time until the holder must stop; 0 or less if it must have stopped already.
func (h *Term) Remaining() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return 0
	}
	return fraction(h.ttl, StopFraction) - elapsed(h.renewed, time.Now())
}

// elapsed is the longer of the durations on the monotonic and the wall clock. The monotonic clock stands still while a virtual
// machine is suspended, so its holder would resume as if no time had passed. The wall clock may be set back, which does not
// affect the monotonic one. Using the longer duration can only end a term early.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

func fraction(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

func (h *Term) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	h.cancel()
}

// rebaseCond adopts the revision of the term's fence item after the table was restored from a backup. It returns false when the
// backup has another holder's item.
func (h *Term) rebaseCond(fence platformapi.Item) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if decode(fence).Nonce != h.nonce {
		return false
	}
	h.cond = fence.Rev
	return true
}

// recordRenewal records a renewal. It returns false when the term has ended meanwhile.
func (h *Term) recordRenewal(rev uint64, sent time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return false
	}
	h.rev, h.renewed = rev, sent
	return true
}

func (h *Term) revision() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rev
}

// GetStatus returns the state of a lease in the table, which may be stale.
func GetStatus(ctx context.Context, s Store, name string) (Status, error) {
	it, found, err := s.Get(ctx, key(name))
	if err != nil {
		return Status{}, errorx.Decorate(err, "lease %s", name)
	}
	return statusOf(it, found), nil
}

// Run campaigns for the lease until ctx ends. Each time it acquires the lease, it calls work with the term and a context that ends
// with the term. work must return soon after that, and may return earlier to give up the lease. When work returns while the term
// is still valid, Run releases the lease, so that the next holder need not wait for the TTL.
func Run(ctx context.Context, s Store, cfg Config, work func(context.Context, *Term)) {
	if cfg.TTL == 0 {
		cfg.TTL = DefaultTTL
	}
	for ctx.Err() == nil {
		h := acquire(ctx, s, cfg)
		if h == nil {
			return
		}
		runTerm(ctx, s, cfg, h, work)
	}
}

// runTerm runs work for one term.
func runTerm(ctx context.Context, s Store, cfg Config, h *Term, work func(context.Context, *Term)) {
	term, cancel := context.WithCancel(ctx)
	h.mu.Lock()
	h.cancel = cancel
	h.mu.Unlock()
	logTerm("lease_won", cfg, h)
	var renewing sync.WaitGroup
	renewing.Go(func() { renewLoop(term, s, cfg, h) })
	work(term, h)
	stillValid := h.Valid()
	h.end()
	renewing.Wait()
	countOverrun(cfg, h)
	logTerm("lease_ended", cfg, h)
	if stillValid {
		release(ctx, s, cfg, h)
	}
}

// countOverrun counts a term whose work went on for longer than the TTL, so that another holder may have worked at the same time.
// After a pause of the process that is no fault of the work; otherwise, the work ignores its context.
func countOverrun(cfg Config, h *Term) {
	h.mu.Lock()
	overrun := elapsed(h.renewed, time.Now()) > h.ttl
	h.mu.Unlock()
	if overrun {
		metrics.GetOrCreateCounter(fmt.Sprintf("anvilwick_lease_overruns_total{lease=%q}", cfg.Name)).Inc()
		logTerm("lease_overrun", cfg, h)
	}
}

func logTerm(event string, cfg Config, h *Term) {
	log.Info().Str("event", event).Str("lease", cfg.Name).Str("holder", cfg.Holder).Uint64("fence", h.fence).Msg("")
}

// newNonce returns a unique value that distinguishes campaigns.
func newNonce() string { return ids.New().String() }
