package claim

import (
	"context"
	"errors"
	"time"

	"anvilwick.example/anvilwick/lib/ctxtime"
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/platformapi"
	"anvilwick.example/anvilwick/lib/result"
)

// settlePollInterval is how often TakeOver checks whether this process's own outcome of the key has been written.
const settlePollInterval = 10 * time.Millisecond

// TakeOver moves the claim of a request to this holder, which continues it from a record of what was delivered. The request was begun
// by another holder, or was stopped because its caller was gone. req names the generation of that record, and used is an attempt number
// above all that the record's owner can have used; the new holder continues with the numbers after it.
//
// Two entries may find the record at the same time. The table accepts one of them. For the other, the claim's attempt is no longer below
// used, whatever the first has made of it meanwhile, and it gets AlreadyRunning. So does an entry whose record is not from the claim's
// holder, unless that holder has ended: a record can lag behind a takeover. The caller has to determine whether the record's owner has
// ended. With the store down the answer is StoreDown, and nothing may be sent.
//
// Exactly one result is set, as with Begin. A claim taken over counts as sent.
func (t *Table) TakeOver(ctx context.Context, req Request, used uint32) (*Claim, *Summary, *result.Error) {
	c := &Claim{
		table: t,
		key:   tableKey(req.Workspace, req.Key),
		rec: record{
			State:       Sent,
			ID:          ids.New().String(),
			Fingerprint: req.Fingerprint,
			Holder:      t.cfg.Holder,
			Generation:  req.Generation,
			Attempt:     used,
			Resumed:     true,
		},
	}
	if t.isSettling(time.Now()) {
		return nil, nil, settlingRefusal()
	}
	ctx, cancel := context.WithTimeout(ctx, t.cfg.Timeout)
	defer cancel()
	if err := t.registerWhenSettled(ctx, c); err != nil {
		return nil, nil, err
	}
	sum, err := c.overwriteRecord(ctx, req.Owner)
	if sum != nil || err != nil {
		return nil, sum, err
	}
	if t.isSettling(time.Now()) {
		// The answer to this takeover was the first one in a new era: an earlier takeover may be lost, and will be rewritten.
		c.abandonTakeOver(true)
		return nil, nil, settlingRefusal()
	}
	return c, nil, nil
}

// registerWhenSettled registers c as this process's only claim of its key. It waits for an outcome of this process that is not yet
// written: if the claim were taken over before, the outcome would overwrite the new holder's record, or be lost.
func (t *Table) registerWhenSettled(ctx context.Context, c *Claim) *result.Error {
	for {
		t.mu.Lock()
		other, ok := t.claims[c.key]
		if !ok {
			t.claims[c.key] = c
			t.mu.Unlock()
			return nil
		}
		done := other.done
		t.mu.Unlock()
		if !done {
			return alreadyRunning("in progress at this entry")
		}
		if !ctxtime.SleepJittered(ctx, settlePollInterval) {
			return storeDown(errOutcomePending)
		}
	}
}

var errOutcomePending = errors.New("claim: previous outcome of the key not yet written")

// overwriteRecord replaces the former holder's record by c's.
func (c *Claim) overwriteRecord(ctx context.Context, owner Holder) (*Summary, *result.Error) {
	for range maxTakeoverTries {
		found, err := c.write(ctx)
		switch {
		case err == nil:
			return nil, nil
		case !errors.Is(err, errTakenOver):
			c.abandonTakeOver(platform.IsUnknown(err))
			return nil, storeDown(err)
		}
		sum, refusal := c.checkTakeOver(found, owner)
		if sum != nil || refusal != nil {
			c.unregister()
			return sum, refusal
		}
		c.rev = found.Rev
	}
	c.unregister()
	return nil, alreadyRunning("others claim the same key")
}

// checkTakeOver evaluates the existing record. If neither result is set, it may be taken over.
func (c *Claim) checkTakeOver(found platformapi.Item, owner Holder) (*Summary, *result.Error) {
	if found.Rev == 0 {
		return nil, nil // collected meanwhile; the insert is the compare-and-set
	}
	old, err := decode(found)
	switch {
	case err != nil:
		return nil, result.Wrap(result.ClaimOrphan, err, "the claim can't be read")
	case old.Fingerprint != c.rec.Fingerprint:
		return nil, keyReused()
	case old.State == Finished && old.Summary == nil:
		return nil, result.New(result.ClaimOrphan, "the claim is finished and says no outcome")
	case old.State == Finished && result.Lookup(old.Summary.Code).RetryAdvice != result.RetryWithKey:
		return old.Summary, nil
	case old.Generation != c.rec.Generation:
		return nil, alreadyRunning("another generation runs under the key")
	case old.Attempt >= c.rec.Attempt && old.State == Sent && c.table.cfg.HolderGone(old.Holder):
		return nil, result.New(result.ClaimOrphan, "taken over by %s, which is gone and left no record", old.Holder.Instance)
	case old.Attempt >= c.rec.Attempt || !c.holderEnded(old, owner):
		return nil, alreadyRunning("taken over by " + old.Holder.Instance)
	}
	return nil, nil
}

// holderEnded reports whether the holder of a record no longer runs the request.
func (c *Claim) holderEnded(old record, owner Holder) bool {
	cfg := c.table.cfg
	return old.State == Finished || old.State == Released || old.Holder == owner || old.Holder == cfg.Holder || cfg.HolderGone(old.Holder)
}

// abandonTakeOver gives up a takeover that the table did not confirm, and under which nothing was sent. Its record may exist. The record is
// changed to say that the generation can be continued: left as sent, it would block the key until this process ends, since the
// generation's record at the peers names an older attempt.
func (c *Claim) abandonTakeOver(mayExist bool) {
	if !mayExist || c.table.unwrittenOutcomes() >= c.table.cfg.MaxUnsettled {
		c.unregister()
		return
	}
	c.rec.Attempt-- // c used no attempt, so its number is free
	c.end(Finished, &Summary{Code: result.CallerGone, Status: result.Lookup(result.CallerGone).HTTP})
}
