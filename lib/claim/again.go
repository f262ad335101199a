package claim

import (
	"bytes"
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
	// lookEvery is the period of looking whether the table has come back from a copy, while there are claims that it may lack.
	lookEvery = time.Second
	// lookSeldom is that period while there are none: the first claim after a return would else be refused, hours later.
	lookSeldom = 10 * time.Second
	// settleFor is how long no claim is begun after that, so that all who hold claims have written them again.
	settleFor = 3 * time.Second
	// keepFor is how long the record of a claim that has ended can be written again: longer than a copy is old.
	keepFor = 30 * time.Second
	// keptMax bounds the records that are kept; the oldest go first.
	keptMax = 4096
	// againTries bounds how often one record is written again over others that change it.
	againTries = 5
)

// kept is a record as this process last wrote it.
type kept struct {
	id    string
	value []byte
	at    time.Time
}

// note remembers a record that the table has taken, from when on its request may have been sent. What was never sent needs no
// record, and a resend that is turned away must not take the place of the claim that was.
func (t *Table) note(c *Claim, value []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if (c.rec.State == Started || c.rec.State == Released) && t.kept[c.key].id != c.rec.ID {
		return
	}
	t.kept[c.key] = kept{id: c.rec.ID, value: value, at: time.Now()}
	if len(t.kept) > keptMax {
		t.dropOldest()
	}
}

// dropOldest forgets the oldest record of a claim that has ended here. The caller holds mu.
func (t *Table) dropOldest() {
	oldest := ""
	for key, k := range t.kept {
		if t.claims[key] == nil && (oldest == "" || k.at.Before(t.kept[oldest].at)) {
			oldest = key
		}
	}
	delete(t.kept, oldest)
}

// Run writes claims again that the table has lost, until ctx ends.
//
// A table that comes back from a copy lacks the claims of the seconds before. Without them another entry would run a key again whose
// request was sent. Each process writes its own again, and begins none meanwhile.
func (t *Table) Run(ctx context.Context) {
	t.look(ctx)
	t.settles(time.Now())
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	looked := time.Now()
	for written := t.store.Era(); ; {
		var now time.Time
		select {
		case <-ctx.Done():
			return
		case now = <-tick.C:
		}
		if t.forget(now) > 0 || now.Sub(looked) >= lookSeldom {
			t.look(ctx)
			looked = now
		}
		t.settles(time.Now())
		if era := t.store.Era(); era > written && t.writeAgain(ctx) {
			written = era
		}
	}
}

// forget drops records of claims that ended long ago and returns how many are left.
func (t *Table) forget(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, k := range t.kept {
		if t.claims[key] == nil && now.Sub(k.at) > keepFor {
			delete(t.kept, key)
		}
	}
	return len(t.kept)
}

// look asks the table for anything: its answer tells the era.
func (t *Table) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lookEvery)
	defer cancel()
	// What there is under the prefix says nothing, and a table that is away is looked at again.
	_, _, _ = t.store.Get(ctx, platformapi.KeyClaim)
}

// settles reports whether claims may not be begun yet, since others may still be writing theirs again.
func (t *Table) settles(now time.Time) bool {
	era := t.store.Era()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.era == 0 {
		t.era = era
	}
	if era > t.era {
		t.era, t.settled = era, now.Add(settleFor)
	}
	return now.Before(t.settled)
}

func settling() *result.Error {
	return &result.Error{
		Code: result.StoreDown, Detail: "claims are being written again: the table came back from a copy", RetryAfter: settleFor,
	}
}

// writeAgain writes all records that are kept; it reports whether each is settled.
func (t *Table) writeAgain(ctx context.Context) bool {
	t.mu.Lock()
	keys := make([]string, 0, len(t.kept))
	for key := range t.kept {
		keys = append(keys, key)
	}
	t.mu.Unlock()
	var failed atomic.Int64
	var work errgroup.Group
	work.SetLimit(platform.DefaultGroupMembers)
	for _, key := range keys {
		work.Go(func() error {
			if !t.writeOneAgain(ctx, key) {
				failed.Add(1)
			}
			return nil
		})
	}
	_ = work.Wait()
	log.Warn().Str("event", "claims_written_again").Uint64("era", t.store.Era()).Int("claims", len(keys)).Int64("failed", failed.Load()).Msg("")
	return failed.Load() == 0
}

// writeOneAgain sees to it that a record stands that is no older than what this process wrote. It reports whether that is settled, also
// where another's record is in the way.
func (t *Table) writeOneAgain(ctx context.Context, key string) bool {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.Timeout)
	defer cancel()
	for range againTries {
		found, _, err := t.store.Get(ctx, key)
		if err != nil {
			return false
		}
		t.mu.Lock()
		k, ok := t.kept[key]
		t.mu.Unlock()
		if !ok || bytes.Equal(found.Value, k.value) {
			return true
		}
		if !t.mayWriteOver(found, k.id) {
			return !begun(found)
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

// begun reports whether another's claim has been begun and not sent: it is given back, where its holder hears that others write theirs
// again.
func begun(found platformapi.Item) bool {
	r, err := decode(found)
	return err == nil && r.State == Started
}

// mayWriteOver reports whether a record may be written over by a later one of a claim: its own earlier state, one that was given back, or
// nothing at all.
func (t *Table) mayWriteOver(found platformapi.Item, id string) bool {
	if found.Rev == 0 {
		return true
	}
	r, err := decode(found)
	return err == nil && (r.ID == id || r.State == Released || t.cfg.HolderGone(r.Holder))
}

// crossed reports whether a write over an earlier one of this claim failed because the table came back from a copy since.
func (c *Claim) crossed(res platformapi.TxnResult, err error) bool {
	if err != nil {
		return platform.IsStaleEra(err)
	}
	return c.rev != 0 && !res.Committed && c.table.store.Era() > platformapi.EraOf(c.rev)
}

// writeAcross repeats a write that crossed a return from a copy, where the claim's own record may stand at another revision, an older one of
// it, or none. It returns the outcome as of the last try.
func (c *Claim) writeAcross(
	ctx context.Context, txn *platformapi.Txn, res platformapi.TxnResult, err error,
) (platformapi.TxnResult, error) {
	for range againTries {
		found, _, failed := c.table.store.Get(ctx, c.key)
		if failed != nil {
			return res, err
		}
		if !c.table.mayWriteOver(found, c.rec.ID) {
			return platformapi.TxnResult{Failed: []platformapi.Item{found}}, nil
		}
		c.rev, txn.Conds[0].Rev = found.Rev, found.Rev
		if res, err = c.table.store.GroupTxn(ctx, *txn); !c.crossed(res, err) {
			break
		}
	}
	return res, err
}
