package lease

import (
	"context"
	"math/rand/v2"
	"time"

	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/platformapi"
)

// retryDivisor shortens the wait after a renewal that got no answer: the term must not lapse for one bad second.
const retryDivisor = 4

// releaseTimeout bounds the last write of a term; when it fails, the TTL has to be waited out.
const releaseTimeout = 2 * time.Second

// sighting is the record as a challenger last saw it change.
type sighting struct {
	seen  bool
	rev   uint64
	since time.Time
}

// campaign watches the lease until it can be taken. It returns nil when ctx ends first.
func campaign(ctx context.Context, s Store, cfg Config) *Term {
	var last sighting
	for {
		if h := attempt(ctx, s, cfg, &last); h != nil {
			return h
		}
		if !pause(ctx, cfg.watchEvery()) {
			return nil
		}
	}
}

func (c *Config) watchEvery() time.Duration {
	every := fraction(c.TTL, RenewFraction)
	if c.PollInterval != nil {
		every = max(every, c.PollInterval())
	}
	return every
}

// attempt looks once, and takes the lease when it is free or has not moved for the whole TTL.
//
// A stale read can hide renewals and make a live holder look dead. The takeover is conditional on the revision that
// was read, so the table refuses it then.
func attempt(ctx context.Context, s Store, cfg Config, last *sighting) *Term {
	it, found, err := s.Get(ctx, key(cfg.Name))
	if err != nil {
		return nil
	}
	at := it.Rev
	if !found {
		at = platformapi.EraStart(s.Era())
	}
	if last.seen && at < last.rev {
		return nil // an old read: it tells nothing that was not known
	}
	if !last.seen || last.rev != at {
		*last = sighting{seen: true, rev: at, since: time.Now()}
	}
	if !free(it, found, at) && !expired(decode(it), cfg, *last) {
		return nil
	}
	return take(ctx, s, cfg, it.Rev)
}

// free reports whether nobody holds the lease for certain. In a copy it may be free only because a term was lost.
func free(it platformapi.Item, found bool, at uint64) bool {
	if !found {
		return at == platformapi.EraStart(platformapi.FirstEra)
	}
	r := decode(it)
	return r.Released && !r.outlived(it)
}

// expired counts the longer of the holder's TTL and our own, in case the setting was changed. Only the monotonic
// clock counts here: a wall clock set forward would end another's term early.
func expired(r record, cfg Config, last sighting) bool {
	return time.Since(last.since) > max(r.ttl(), cfg.TTL)
}

// take writes a new term over revision rev of the record.
func take(ctx context.Context, s Store, cfg Config, rev uint64) *Term {
	sent := time.Now()
	r := record{Holder: cfg.Holder, Nonce: newNonce(), TTLMS: cfg.TTL.Milliseconds(), Era: s.Era()}
	res, err := s.Txn(ctx, platformapi.Txn{
		Conds: []platformapi.Cond{{Key: key(cfg.Name), Rev: rev}},
		Puts: []platformapi.Put{
			{Key: key(cfg.Name), Value: encode(r)},
			{Key: fenceKey(cfg.Name), Value: encode(r)},
		},
	})
	if err != nil || !res.Committed {
		return nil // an unknown outcome leaves at worst a term that nobody uses, which expires
	}
	h := &Term{name: cfg.Name, nonce: r.Nonce, fence: res.Rev, ttl: cfg.TTL, rev: res.Rev, cond: res.Rev, renewed: sent}
	h.cancel = func() {}
	return h
}

// keep renews the term until it ends, and ends it when it can't be renewed in time.
func keep(ctx context.Context, s Store, cfg Config, h *Term) {
	stop := time.AfterFunc(h.Remaining(), h.end)
	defer stop.Stop()
	wait := fraction(cfg.TTL, RenewFraction)
	for pause(ctx, wait) {
		wait = fraction(cfg.TTL, RenewFraction)
		switch renew(ctx, s, cfg, h) {
		case lost:
			h.end()
			return
		case unanswered:
			wait /= retryDivisor
		case renewed:
			stop.Reset(max(0, h.Remaining()))
		}
	}
}

// renewal is what came of one try to renew.
type renewal uint8

const (
	renewed renewal = iota
	unanswered
	lost
)

// renew writes the record once. A write that got no answer is not a loss: the next one finds its own record in the
// way and goes on from there.
func renew(ctx context.Context, s Store, cfg Config, h *Term) renewal {
	ctx, cancel := context.WithTimeout(ctx, max(0, min(h.Remaining(), fraction(h.ttl, RenewFraction))))
	defer cancel()
	for range 2 {
		sent := time.Now()
		res, err := s.Txn(ctx, h.write(cfg, s.Era(), false))
		if platform.IsStaleEra(err) {
			res.Failed, err = reread(ctx, s, h)
		}
		if err != nil {
			return unanswered
		}
		if res.Committed && h.renewedAt(res.Rev, sent) {
			return h.confirm(ctx, s)
		}
		if res.Committed || !h.adopt(res.Failed) {
			return lost
		}
	}
	return unanswered
}

// reread returns the record as it stands after the table came back from a copy.
func reread(ctx context.Context, s Store, h *Term) ([]platformapi.Item, error) {
	it, _, err := s.Get(ctx, key(h.name))
	return []platformapi.Item{it}, err
}

// confirm makes Cond hold in the era that the table is in.
func (h *Term) confirm(ctx context.Context, s Store) renewal {
	if platformapi.EraOf(h.Cond().Rev) == s.Era() {
		return renewed
	}
	it, _, err := s.Get(ctx, fenceKey(h.name))
	switch {
	case err != nil:
		return renewed // what is written under the term is refused until the next renewal
	case !h.rebase(it):
		return lost
	}
	return renewed
}

// adopt takes over the revision of a record that is this term's own.
func (h *Term) adopt(failed []platformapi.Item) bool {
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

func (h *Term) write(cfg Config, era uint64, released bool) platformapi.Txn {
	r := record{Holder: cfg.Holder, Nonce: h.nonce, TTLMS: cfg.TTL.Milliseconds(), Fence: h.fence, Released: released, Era: era}
	txn := platformapi.Txn{
		Conds: []platformapi.Cond{{Key: key(h.name), Rev: h.revision()}},
		Puts:  []platformapi.Put{{Key: key(h.name), Value: encode(r)}},
	}
	if released {
		txn.Puts = append(txn.Puts, platformapi.Put{Key: fenceKey(h.name), Value: encode(r)}) // Cond fails from now on
	}
	return txn
}

// release gives the lease back, also while the process is stopping. When it fails, the next holder waits out the TTL.
func release(ctx context.Context, s Store, cfg Config, h *Term) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	for range 2 {
		res, err := s.Txn(ctx, h.write(cfg, s.Era(), true))
		if err != nil || res.Committed || !h.adopt(res.Failed) {
			return
		}
	}
}

// pause waits for about d, with jitter, so that challengers don't come together. It reports false when ctx ended.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d/2 + rand.N(d/2+1))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
