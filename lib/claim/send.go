package claim

import (
	"context"
	"errors"

	"anvilwick.example/anvilwick/lib/invariant"
	"anvilwick.example/anvilwick/lib/result"
)

// MarkSent records that the request is about to be sent to a target, and must return nil before it is. After a target has proven that
// it did not run an attempt, MarkSent permits the next. A refusal ends the claim; nothing was sent under it.
func (c *Claim) MarkSent(ctx context.Context, target string, attempt uint32) *result.Error {
	if err := c.checkSend(attempt); err != nil {
		return err
	}
	c.rec.State = Sent
	refused, err := c.writeSend(ctx, target, attempt)
	if err != nil {
		c.abandon(true)
		return storeDown(err)
	}
	return refused
}

// MarkResent is MarkSent for a further attempt after one that may have run, without proof that it did not. The record must name the
// last target that may have run the request: when the holder has ended, others query only that target for proof.
//
// When the store does not answer, the attempt must not be sent. The claim is not released then, since an earlier attempt may have run;
// the caller ends it by Finish.
func (c *Claim) MarkResent(ctx context.Context, target string, attempt uint32) *result.Error {
	if err := c.checkSend(attempt); err != nil {
		return err
	}
	refused, err := c.writeSend(ctx, target, attempt)
	if err != nil {
		return storeDown(err)
	}
	return refused
}

// writeSend records the target of the next attempt. It refuses if another entry holds the claim, and fails if the store does not answer.
func (c *Claim) writeSend(ctx context.Context, target string, attempt uint32) (refused *result.Error, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.table.cfg.Timeout)
	defer cancel()
	c.rec.Target, c.rec.Attempt = target, attempt
	_, err = c.write(ctx)
	if errors.Is(err, errTakenOver) {
		c.unregister()
		return alreadyRunning("taken over by another entry"), nil
	}
	return nil, err
}

// checkSend detects a send that is a fault of the entry: after the claim has ended, another entry may run the request; under a number
// that may have been used, a target could take the send for the earlier one.
func (c *Claim) checkSend(attempt uint32) *result.Error {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	err := invariant.Check(!c.done, "claim_sent_after_end", "attempt %d", attempt)
	if err == nil {
		err = invariant.Check(attempt > c.rec.Attempt, "claim_attempt_order", "%d after %d", attempt, c.rec.Attempt)
	}
	if err == nil {
		return nil
	}
	if !c.done {
		// The claim ends here, with its record unchanged. Otherwise the key would be in progress until the process ends.
		c.done = true
		delete(c.table.claims, c.key)
	}
	return result.Wrap(result.InvariantBroken, err, "claim")
}
