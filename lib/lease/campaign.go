package lease

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/ctxtime"
	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/platformapi"
)

// retryDivisor shortens the wait after a renewal without an answer, so that one failed renewal does not let the term lapse.
const retryDivisor = 4

// releaseTimeout bounds the last write of a term. If it fails, the next holder has to wait for the TTL.
const releaseTimeout = 2 * time.Second

// observation is the last change of the record that a challenger observed.
type observation struct {
	valid bool
	rev   uint64
	since time.Time
}

// acquire polls the lease until it can be acquired. It returns nil when ctx ends first.
func acquire(ctx context.Context, s Store, cfg Config) *Term {
	var last observation
	for {
		if h := tryAcquire(ctx, s, cfg, &last); h != nil {
			return h
		}
		if !ctxtime.SleepJittered(ctx, cfg.pollPeriod()) {
			return nil
		}
	}
}

func (c *Config) pollPeriod() time.Duration {
	period := fraction(c.TTL, RenewFraction)
	if c.PollInterval != nil {
		period = max(period, c.PollInterval())
	}
	return period
}

// tryAcquire reads the record once, and acquires the lease if it is free or its record has not changed for the whole TTL.
//
// A stale read can hide renewals and make a live holder look dead. The takeover is conditional on the revision that was read,
// so the table rejects it in that case.
func tryAcquire(ctx context.Context, s Store, cfg Config, last *observation) *Term {
	it, found, err := s.Get(ctx, key(cfg.Name))
	if err != nil {
		return nil
	}
	rev := it.Rev
	if !found {
		rev = platformapi.EraStart(s.Era())
	}
	if last.valid && rev < last.rev {
		return nil // a stale read, with no new information
	}
	if !last.valid || last.rev != rev {
		*last = observation{valid: true, rev: rev, since: time.Now()}
	}
	if !isFree(it, found, rev) && !expired(decode(it), cfg, *last) {
		return nil
	}
	return writeTerm(ctx, s, cfg, it.Rev)
}

// isFree reports whether the lease certainly has no holder. After a restore from a backup, a record may show a lease as free only
// because a later term was lost.
func isFree(it platformapi.Item, found bool, rev uint64) bool {
	if !found {
		return rev == platformapi.EraStart(platformapi.FirstEra)
	}
	r := decode(it)
	return r.Released && !r.predatesEra(it)
}

// expired uses the longer of the holder's TTL and the configured one, in case the setting was changed. Only the monotonic clock
// counts here: a wall clock that is set forward would end another holder's term early.
func expired(r leaseRecord, cfg Config, last observation) bool {
	return time.Since(last.since) > max(r.ttl(), cfg.TTL)
}

// writeTerm writes a new term, conditional on revision rev of the record.
func writeTerm(ctx context.Context, s Store, cfg Config, rev uint64) *Term {
	sent := time.Now()
	r := leaseRecord{Holder: cfg.Holder, Nonce: newNonce(), TTLMS: cfg.TTL.Milliseconds(), Era: s.Era()}
	res, err := s.Txn(ctx, platformapi.Txn{
		Conds: []platformapi.Cond{{Key: key(cfg.Name), Rev: rev}},
		Puts: []platformapi.Put{
			{Key: key(cfg.Name), Value: encode(r)},
			{Key: fenceKey(cfg.Name), Value: encode(r)},
		},
	})
	if err != nil || !res.Committed {
		return nil // an unknown outcome leaves at worst an unused term, which expires
	}
	h := &Term{name: cfg.Name, nonce: r.Nonce, fence: res.Rev, ttl: cfg.TTL, rev: res.Rev, cond: res.Rev, renewed: sent}
	h.cancel = func() {}
	return h
}

// renewLoop renews the term until ctx ends, and ends the term when it cannot be renewed in time.
func renewLoop(ctx context.Context, s Store, cfg Config, h *Term) {
	expiry := time.AfterFunc(h.Remaining(), h.end)
	defer expiry.Stop()
	wait := fraction(cfg.TTL, RenewFraction)
	for ctxtime.SleepJittered(ctx, wait) {
		wait = fraction(cfg.TTL, RenewFraction)
		switch renew(ctx, s, cfg, h) {
		case lost:
			h.end()
			return
		case unanswered:
			wait /= retryDivisor
		case renewed:
			expiry.Reset(max(0, h.Remaining()))
		}
	}
}

// renewal is the result of one attempt to renew.
type renewal uint8

const (
	renewed renewal = iota
	unanswered
	lost
)

// renew writes the record once. A write without an answer does not mean that the lease is lost: if it took effect, the next
// write fails on this term's own record and continues from its revision.
func renew(ctx context.Context, s Store, cfg Config, h *Term) renewal {
	ctx, cancel := context.WithTimeout(ctx, max(0, min(h.Remaining(), fraction(h.ttl, RenewFraction))))
	defer cancel()
	for range 2 {
		sent := time.Now()
		res, err := s.Txn(ctx, h.renewalTxn(cfg, s.Era(), false))
		if platform.IsStaleEra(err) {
			res.Failed, err = readRecord(ctx, s, h)
		}
		if err != nil {
			return unanswered
		}
		if res.Committed && h.recordRenewal(res.Rev, sent) {
			return h.refreshCond(ctx, s)
		}
		if res.Committed || !h.adoptRevision(res.Failed) {
			return lost
		}
	}
	return unanswered
}

// readRecord returns the current record after the table was restored from a backup.
func readRecord(ctx context.Context, s Store, h *Term) ([]platformapi.Item, error) {
	it, _, err := s.Get(ctx, key(h.name))
	return []platformapi.Item{it}, err
}

// refreshCond makes Cond valid in the table's current era.
func (h *Term) refreshCond(ctx context.Context, s Store) renewal {
	if platformapi.EraOf(h.Cond().Rev) == s.Era() {
		return renewed
	}
	it, _, err := s.Get(ctx, fenceKey(h.name))
	switch {
	case err != nil:
		return renewed // writes under the term are rejected until the next renewal
	case !h.rebaseCond(it):
		return lost
	}
	return renewed
}

// adoptRevision adopts the revision of a record that this term wrote itself.
func (h *Term) adoptRevision(failed []platformapi.Item) bool {
	for _, it := range failed {
		if it.Key == key(h.name) && decode(it).Nonce == h.nonce {
			h.mu.Lock()
			h.rev = it.Rev
			h.mu.Unlock()
			return true
		}
	}
	return false
}

func (h *Term) renewalTxn(cfg Config, era uint64, released bool) platformapi.Txn {
	r := leaseRecord{Holder: cfg.Holder, Nonce: h.nonce, TTLMS: cfg.TTL.Milliseconds(), Fence: h.fence, Released: released, Era: era}
	txn := platformapi.Txn{
		Conds: []platformapi.Cond{{Key: key(h.name), Rev: h.revision()}},
		Puts:  []platformapi.Put{{Key: key(h.name), Value: encode(r)}},
	}
	if released {
		txn.Puts = append(txn.Puts, platformapi.Put{Key: fenceKey(h.name), Value: encode(r)}) // Cond fails from now on
	}
	return txn
}

// release releases the lease, also while the process is stopping. If it fails, the next holder has to wait for the TTL.
func release(ctx context.Context, s Store, cfg Config, h *Term) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	for range 2 {
		res, err := s.Txn(ctx, h.renewalTxn(cfg, s.Era(), true))
		if err != nil || res.Committed || !h.adoptRevision(res.Failed) {
			return
		}
	}
}
