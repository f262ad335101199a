// Package lease gives one of many processes a role at a time, through a transactional table, with fencing numbers.
//
// What it promises, and what carries each promise:
//
//   - Writes to the table made with Held.Cond are refused once the lease has changed hands, whatever the holder
//     believes: the table checks.
//   - Orders to others that refuse old fencing numbers are safe in the same way, since a later holder's Fence is
//     always higher. Numbers are revisions of the table, so they grow over all leases together.
//   - For all else, a holder that runs stops itself before another can start: it counts from the moment it sent its
//     last successful renewal, and stops at StopFraction of the TTL; a challenger counts the whole TTL from a later
//     moment. No clock is compared with another machine's; clocks must only run at the same rate, within the margin.
//   - A holder that is paused between its check of Valid and its order can still give that one order late. Only a
//     fencing number stops that; package placement bounds what follows where targets ignore numbers.
//
// A table that comes back from a copy may lack a term, or show one that was given back. Whoever finds a record that was written
// before counts the whole TTL, also over a lease that is free in it; a holder goes on where the copy has its own record, and
// stops where it has another's. Fencing numbers are ordered over the eras of the table, so none is given out twice.
//
// During an outage of the table nobody can renew: leases lapse, and changes wait.
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
	// StopFraction of the TTL after the last renewal was sent, the holder stops. The rest is for the work to end and
	// for clocks that run at different rates.
	StopFraction = 0.6
	// RenewFraction of the TTL passes between renewals: two may fail before the holder stops.
	RenewFraction = 0.2
)

// Store is the part of the platform's client that leases use.
type Store interface {
	Txn(ctx context.Context, txn platformapi.Txn) (platformapi.TxnResult, error)
	Get(ctx context.Context, key string) (platformapi.Item, bool, error)
	// Era returns the highest era of the table that an answer has told.
	Era() uint64
}

// Config names a lease and its would-be holder.
type Config struct {
	Name   string        // of the role; no slash
	Holder string        // told to operators; need not be unique
	TTL    time.Duration // default DefaultTTL
	// PollInterval returns the least time between two looks of a process that waits for the lease; nil: RenewFraction of the TTL.
	// Many that wait would else take much of the table's reads; as they look at different times, one comes soon all the same.
	PollInterval func() time.Duration
}

// Term is a lease in force. Its methods are safe for concurrent use.
type Term struct {
	name  string
	nonce string
	fence uint64
	ttl   time.Duration

	mu      sync.Mutex
	rev     uint64    // of the record, as last seen
	cond    uint64    // revision of the term's own item, in the era that the table is in
	renewed time.Time // when the last successful renewal was sent
	ended   bool
	cancel  context.CancelFunc
}

// Fence returns the fencing number; every order must carry it.
func (h *Term) Fence() uint64 { return h.fence }

// Name returns the role.
func (h *Term) Name() string { return h.name }

// Cond holds while this holder's term lasts. Put it into every transaction made under the lease.
func (h *Term) Cond() platformapi.Cond {
	h.mu.Lock()
	defer h.mu.Unlock()
	return platformapi.Cond{Key: fenceKey(h.name), Rev: h.cond}
}

// Valid reports whether the holder may act. Ask right before each order: after a pause, the context's end is late.
func (h *Term) Valid() bool { return h.Remaining() > 0 }

// Remaining returns the time until the holder must stop; 0 or less when it must have.
func (h *Term) Remaining() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return 0
	}
	return fraction(h.ttl, StopFraction) - elapsed(h.renewed, time.Now())
}

// elapsed is the longer of what the monotonic and the wall clock say. The monotonic clock stands still while a
// virtual machine is suspended: its holder would wake believing that no time went by. The wall clock may be set
// back, which the monotonic one shows. Counting the longer can only end a term early.
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

// rebase takes over the revision of the term's own item after the table came back from a copy; it reports false when the copy has
// another's.
func (h *Term) rebase(it platformapi.Item) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if decode(it).Nonce != h.nonce {
		return false
	}
	h.cond = it.Rev
	return true
}

// renewedAt starts a new span; it reports false when the term ended meanwhile.
func (h *Term) renewedAt(rev uint64, sent time.Time) bool {
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

// GetStatus returns the lease's state in the table, which may be stale.
func GetStatus(ctx context.Context, s Store, name string) (Status, error) {
	it, found, err := s.Get(ctx, key(name))
	if err != nil {
		return Status{}, errorx.Decorate(err, "lease %s", name)
	}
	return statusOf(it, found), nil
}

// Run campaigns for the lease until ctx ends. Each time that it is won, Run calls work with the term, and with a
// context that ends when the term does; work must return soon after, and may return earlier to give the lease up.
// Run releases a lease that is still its own when work returns, so that another need not wait out the TTL.
func Run(ctx context.Context, s Store, cfg Config, work func(context.Context, *Term)) {
	if cfg.TTL == 0 {
		cfg.TTL = DefaultTTL
	}
	for ctx.Err() == nil {
		h := campaign(ctx, s, cfg)
		if h == nil {
			return
		}
		serve(ctx, s, cfg, h, work)
	}
}

// serve runs one term.
func serve(ctx context.Context, s Store, cfg Config, h *Term, work func(context.Context, *Term)) {
	term, cancel := context.WithCancel(ctx)
	h.mu.Lock()
	h.cancel = cancel
	h.mu.Unlock()
	logTerm("lease_won", cfg, h)
	var renewing sync.WaitGroup
	renewing.Go(func() { keep(term, s, cfg, h) })
	work(term, h)
	mine := h.Valid()
	h.end()
	renewing.Wait()
	countOverrun(cfg, h)
	logTerm("lease_ended", cfg, h)
	if mine {
		release(ctx, s, cfg, h)
	}
}

// countOverrun counts a term whose work went on for longer than the TTL, when another may have worked too. After a
// pause that is nobody's fault; without one, the work does not heed its context.
func countOverrun(cfg Config, h *Term) {
	h.mu.Lock()
	over := elapsed(h.renewed, time.Now()) > h.ttl
	h.mu.Unlock()
	if over {
		metrics.GetOrCreateCounter(fmt.Sprintf("anvilwick_lease_overruns_total{lease=%q}", cfg.Name)).Inc()
		logTerm("lease_overrun", cfg, h)
	}
}

func logTerm(event string, cfg Config, h *Term) {
	log.Info().Str("event", event).Str("lease", cfg.Name).Str("holder", cfg.Holder).Uint64("fence", h.fence).Msg("")
}

// newNonce tells two campaigns apart.
func newNonce() string { return ids.New().String() }
