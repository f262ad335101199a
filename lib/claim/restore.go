package claim

import (
	"bytes"
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/platformapi"
	"anvilwick.example/anvilwick/lib/result"
)

const (
	// probeInterval is the interval of checks whether the table was restored from a backup, while this process has claims that the
	// table may lack.
	probeInterval = time.Second
	// idleProbeInterval is that interval while it has none. Without any check, the first claim after a restore would be refused, even
	// hours later.
	idleProbeInterval = 10 * time.Second
	// settlePeriod is how long no claim is begun after a restore, so that all holders of claims can rewrite theirs.
	settlePeriod = 3 * time.Second
	// recordRetention is how long the record of an ended claim can be rewritten. It exceeds the age of any backup.
	recordRetention = 30 * time.Second
	// maxRetainedRecords bounds the retained records; the oldest are evicted first.
	maxRetainedRecords = 4096
	// maxRewriteTries bounds the tries to rewrite one record that others change at the same time.
	maxRewriteTries = 5
)

// retainedRecord is a record as this process last wrote it.
type retainedRecord struct {
	id    string
	value []byte
	at    time.Time
	era   uint64 // of the table that accepted it
}

// retain keeps a record that the table has accepted once its request may have been sent. A claim that was never sent needs no
// rewrite, and a refused resend must not replace the claim that was sent.
func (t *Table) retain(c *Claim, value []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if (c.rec.State == Started || c.rec.State == Released) && t.retained[c.key].id != c.rec.ID {
		return
	}
	t.retained[c.key] = retainedRecord{id: c.rec.ID, value: value, at: time.Now(), era: platformapi.EraOf(c.rev)}
	if len(t.retained) > maxRetainedRecords {
		t.evictOldest()
	}
}

// lostInRestore reports whether the table accepted that this claim was sent, and has been restored from a backup since.
func (c *Claim) lostInRestore() bool {
	era := c.table.store.Era()
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	k := c.table.retained[c.key]
	return k.id == c.rec.ID && k.era < era
}

// evictOldest evicts the oldest record of a claim that has ended in this process. The caller holds mu.
func (t *Table) evictOldest() {
	oldest := ""
	for key, k := range t.retained {
		if t.claims[key] == nil && (oldest == "" || k.at.Before(t.retained[oldest].at)) {
			oldest = key
		}
	}
	delete(t.retained, oldest)
}

// Run rewrites claims that the table has lost, until ctx ends.
//
// A table restored from a backup lacks the claims of the last seconds before the restore. Without them another entry would run a key
// again whose request was already sent. Each process rewrites its own claims, and begins none meanwhile.
func (t *Table) Run(ctx context.Context) {
	t.probeEra(ctx)
	t.isSettling(time.Now())
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	lastProbe := time.Now()
	for rewrittenEra := t.store.Era(); ; {
		var now time.Time
		select {
		case <-ctx.Done():
			return
		case now = <-tick.C:
		}
		if t.dropExpired(now) > 0 || now.Sub(lastProbe) >= idleProbeInterval {
			t.probeEra(ctx)
			lastProbe = now
		}
		t.isSettling(time.Now())
		if era := t.store.Era(); era > rewrittenEra && t.rewriteAll(ctx) {
			rewrittenEra = era
		}
	}
}

// dropExpired drops the records of claims that ended more than recordRetention ago, and returns how many are left.
func (t *Table) dropExpired(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, k := range t.retained {
		if t.claims[key] == nil && now.Sub(k.at) > recordRetention {
			delete(t.retained, key)
		}
	}
	return len(t.retained)
}

// probeEra reads from the table, whose answer reports the era.
func (t *Table) probeEra(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeInterval)
	defer cancel()
	// The content under the prefix is irrelevant, and a failed read is repeated at the next check.
	_, _, _ = t.store.Get(ctx, platformapi.KeyClaim)
}

// isSettling reports whether no claims may be begun yet, since other processes may still be rewriting theirs.
func (t *Table) isSettling(now time.Time) bool {
	era := t.store.Era()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.era == 0 {
		t.era = era
	}
	if era > t.era {
		t.era, t.settlingUntil = era, now.Add(settlePeriod)
	}
	return now.Before(t.settlingUntil)
}

func settlingRefusal() *result.Error {
	return &result.Error{
		Code: result.StoreDown, Detail: "claims are being written again: the table came back from a copy", RetryAfter: settlePeriod,
	}
}

// rewriteAll rewrites all retained records. It reports whether all of them are settled.
func (t *Table) rewriteAll(ctx context.Context) bool {
	t.mu.Lock()
	keys := make([]string, 0, len(t.retained))
	for key := range t.retained {
		keys = append(keys, key)
	}
	t.mu.Unlock()
	var failed atomic.Int64
	var work errgroup.Group
	work.SetLimit(platform.DefaultGroupMembers)
	for _, key := range keys {
		work.Go(func() error {
			if !t.rewriteOne(ctx, key) {
				failed.Add(1)
			}
			return nil
		})
	}
	_ = work.Wait()
	log.Warn().Str("event", "claims_written_again").Uint64("era", t.store.Era()).Int("claims", len(keys)).Int64("failed", failed.Load()).Msg("")
	return failed.Load() == 0
}

// rewriteOne makes sure that the table has a record at least as recent as the one that this process wrote. It reports whether that
// is settled, which includes that another holder's record takes precedence.
func (t *Table) rewriteOne(ctx context.Context, key string) bool {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.Timeout)
	defer cancel()
	for range maxRewriteTries {
		found, _, err := t.store.Get(ctx, key)
		if err != nil {
			return false
		}
		t.mu.Lock()
		k, ok := t.retained[key]
		t.mu.Unlock()
		if !ok || bytes.Equal(found.Value, k.value) || k.superseded(found) {
			return true
		}
		own, err := decode(platformapi.Item{Value: k.value})
		if err != nil {
			return true // cannot happen: this process encoded it
		}
		if !t.mayOverwrite(key, found, own) {
			return !onlyStarted(found) && !(isUnfinished(found) && t.isSettling(time.Now()))
		}
		res, err := t.store.GroupTxn(ctx, platformapi.Txn{
			Conds: []platformapi.Cond{{Key: key, Rev: found.Rev}},
			Puts:  []platformapi.Put{{Key: key, Value: k.value}},
		})
		if err == nil && res.Committed {
			return true
		}
		if err != nil && !platform.IsNotCommitted(err) {
			return false
		}
	}
	return false
}

// superseded reports whether the found record is a later one of the same claim. Its write can take effect before this process has the
// answer, and retains it.
func (k retainedRecord) superseded(found platformapi.Item) bool {
	r, err := decode(found)
	if err != nil || r.ID != k.id {
		return false
	}
	own, err := decode(platformapi.Item{Value: k.value})
	if err != nil {
		return false
	}
	return cmp.Or(cmp.Compare(r.State.order(), own.State.order()), cmp.Compare(r.Attempt, own.Attempt)) > 0
}

// onlyStarted reports whether the record is another holder's claim that was begun but not sent. That claim will be released, because its
// holder finds that claims are being rewritten.
func onlyStarted(found platformapi.Item) bool {
	r, err := decode(found)
	return err == nil && r.State == Started
}

// isUnfinished reports whether the record is a claim that was not yet finished or released. In a table restored from a backup it can be
// one that its holder has released since, and will rewrite as released.
func isUnfinished(found platformapi.Item) bool {
	r, err := decode(found)
	return err == nil && (r.State == Started || r.State == Sent)
}

// mayOverwrite reports whether a record of own's claim may replace the one found at the key: an earlier state of the same claim, a
// released claim, the claim of a holder that has ended, one from which own's was taken over, or no record. A claim whose request was not
// sent, or is proven not to have run, must not replace another that may have run.
func (t *Table) mayOverwrite(key string, found platformapi.Item, own record) bool {
	if found.Rev == 0 {
		return true
	}
	r, err := decode(found)
	switch {
	case err != nil:
		return false
	case r.ID == own.ID, r.State == Released:
		return true
	case own.Resumed && own.State != Released && r.Generation == own.Generation && r.Attempt < own.Attempt && t.isRetained(key, own.ID):
		return true
	case !t.cfg.HolderGone(r.Holder):
		return false
	}
	return r.State == Started || own.State != Released && t.isRetained(key, own.ID)
}

// isRetained reports whether the table has accepted that the claim's request was sent.
func (t *Table) isRetained(key, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.retained[key].id == id
}

// overtakenByRestore reports whether a write over an earlier one of this claim failed because the table has been restored from a backup
// since.
func (c *Claim) overtakenByRestore(res platformapi.TxnResult, err error) bool {
	if err != nil {
		return platform.IsStaleEra(err)
	}
	return c.rev != 0 && !res.Committed && c.table.store.Era() > platformapi.EraOf(c.rev)
}

// writeAfterRestore repeats a write that failed because of a restore. The table may have the claim's record at another revision, an older
// state of it, or none. It returns the outcome of the last try.
func (c *Claim) writeAfterRestore(ctx context.Context, txn *platformapi.Txn) (res platformapi.TxnResult, err error) {
	for range maxRewriteTries {
		found, _, failed := c.table.store.Get(ctx, c.key)
		if failed != nil {
			return platformapi.TxnResult{}, failed // nothing was written
		}
		if !c.table.mayOverwrite(c.key, found, c.rec) {
			return platformapi.TxnResult{Failed: []platformapi.Item{found}}, nil
		}
		c.rev, txn.Conds[0].Rev = found.Rev, found.Rev
		if res, err = c.table.store.GroupTxn(ctx, *txn); !c.overtakenByRestore(res, err) {
			return res, err
		}
	}
	return res, err
}
