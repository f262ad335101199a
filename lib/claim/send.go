package claim

import (
	"context"
	"errors"

	"anvilwick.example/anvilwick/lib/invariant"
	"anvilwick.example/anvilwick/lib/result"
)

// MarkSent records that the request is about to leave for a target, and must return nil before it does. After a target
// proved that it did not run an attempt, Sent allows the next. A refusal ends the claim; nothing was sent by it.
func (c *Claim) MarkSent(ctx context.Context, target string, attempt uint32) *result.Error {
	if err := c.maySend(attempt); err != nil {
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

// MarkResent is Sent for a further attempt after one that may have run, without proof that it did not. The record must name the
// last target that may have run the request: its holder gone, others ask that one alone for proof.
//
// When the store does not answer the attempt must not leave. The claim is not released then, since an earlier attempt may
// have run; the caller ends it by Finish.
func (c *Claim) MarkResent(ctx context.Context, target string, attempt uint32) *result.Error {
	if err := c.maySend(attempt); err != nil {
		return err
	}
	refused, err := c.writeSend(ctx, target, attempt)
	if err != nil {
		return storeDown(err)
	}
	return refused
}

// writeSend writes where the next attempt goes. It refuses where another holds the claim, and fails where the store does not answer.
func (c *Claim) writeSend(ctx context.Context, target string, attempt uint32) (refused *result.Error, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.table.cfg.Timeout)
	defer cancel()
	c.rec.Target, c.rec.Attempt = target, attempt
	_, err = c.write(ctx)
	if errors.Is(err, errTaken) {
		c.leave()
		return busy("taken over by another entry"), nil
	}
	return nil, err
}

// maySend stops a send that its entry must not ask for: after the claim has ended, another may run it; under a number
// that may have been used, a target could take the send for the earlier one.
func (c *Claim) maySend(attempt uint32) *result.Error {
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
		// The claim ends here, with its record as it stands. Kept, the key would be in progress until the process ends.
		c.done = true
		delete(c.table.claims, c.key)
	}
	return result.Wrap(result.InvariantBroken, err, "claim")
}
