package claim

import (
	"context"
	"errors"
	"time"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/platformapi"
	"anvilwick.example/anvilwick/lib/result"
)

// settlePoll is how often TakeOver looks whether this process's own outcome of the key stands in the table.
const settlePoll = 10 * time.Millisecond

// TakeOver moves the claim of a request that was begun by another holder, or that was stopped for want of a caller, to
// this one, which goes on with it from a record of what was delivered. req names the generation of that record, and
// used is an attempt number above all that the record's owner can have used; the new holder goes on after it.
//
// The record can be found by two entries at once. The table lets one of them by; to the other, the claim's attempt is
// no longer below used, whatever the first has made of it meanwhile, and it hears AlreadyRunning. So does one whose record
// is not of the claim's holder, unless that is gone: a record can lag behind a take-over. Whether the record's owner is
// gone is the caller's to judge. With the store down the answer is StoreDown, and nothing may be sent.
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
	if t.settles(time.Now()) {
		return nil, nil, settling()
	}
	ctx, cancel := context.WithTimeout(ctx, t.cfg.Timeout)
	defer cancel()
	if err := t.enterSettled(ctx, c); err != nil {
		return nil, nil, err
	}
	sum, err := c.seize(ctx, req.Owner)
	if sum != nil || err != nil {
		return nil, sum, err
	}
	return c, nil, nil
}

// enterSettled makes c this process's only claim of its key. An outcome of this process that is on its way to the table
// is waited for: taken over before it stands, it would be written over the new holder's record, or be lost.
func (t *Table) enterSettled(ctx context.Context, c *Claim) *result.Error {
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
			return busy("in progress at this entry")
		}
		if !pause(ctx, settlePoll) {
			return storeDown(errUnsettled)
		}
	}
}

var errUnsettled = errors.New("claim: the outcome of the key does not stand in the table yet")

// seize writes c's record over the former holder's.
func (c *Claim) seize(ctx context.Context, owner Holder) (*Summary, *result.Error) {
	for range takeovers {
		found, err := c.write(ctx)
		switch {
		case err == nil:
			return nil, nil
		case !errors.Is(err, errTaken):
			c.unseize(platform.IsUnknown(err))
			return nil, storeDown(err)
		}
		sum, refusal := c.maySeize(found, owner)
		if sum != nil || refusal != nil {
			c.leave()
			return sum, refusal
		}
		c.rev = found.Rev
	}
	c.leave()
	return nil, busy("others claim the same key")
}

// maySeize judges the record that stands there. Neither result set: it is the one to take over.
func (c *Claim) maySeize(found platformapi.Item, owner Holder) (*Summary, *result.Error) {
	if found.Rev == 0 {
		return nil, nil // collected since; the insert is the compare-and-set
	}
	old, err := decode(found)
	switch {
	case err != nil:
		return nil, result.Wrap(result.ClaimOrphan, err, "the claim can't be read")
	case old.Fingerprint != c.rec.Fingerprint:
		return nil, reused()
	case old.State == Finished && old.Summary == nil:
		return nil, result.New(result.ClaimOrphan, "the claim is finished and says no outcome")
	case old.State == Finished && result.Lookup(old.Summary.Code).RetryAdvice != result.RetryWithKey:
		return old.Summary, nil
	case old.Generation != c.rec.Generation:
		return nil, busy("another generation runs under the key")
	case old.Attempt >= c.rec.Attempt && old.State == Sent && c.table.cfg.HolderGone(old.Holder):
		return nil, result.New(result.ClaimOrphan, "taken over by %s, which is gone and left no record", old.Holder.Instance)
	case old.Attempt >= c.rec.Attempt || !c.ended(old, owner):
		return nil, busy("taken over by " + old.Holder.Instance)
	}
	return nil, nil
}

// ended reports whether the holder of a record does not run it any more.
func (c *Claim) ended(old record, owner Holder) bool {
	cfg := c.table.cfg
	return old.State == Finished || old.State == Released || old.Holder == owner || old.Holder == cfg.Holder || cfg.HolderGone(old.Holder)
}

// unseize gives up a take-over that the table did not confirm, and that nothing was sent by. Its record may stand. It
// then says that the generation can be gone on with: left as sent, it would hold the key for as long as this process
// lives, since its record at the peers names an older attempt.
func (c *Claim) unseize(mayStand bool) {
	if !mayStand || c.table.outcomes() >= c.table.cfg.MaxUnsettled {
		c.leave()
		return
	}
	c.rec.Attempt-- // what c used, none, is free for the next
	c.end(Finished, &Summary{Code: result.CallerGone, Status: result.Lookup(result.CallerGone).HTTP})
}
