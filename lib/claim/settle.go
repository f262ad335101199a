package claim

import (
	"context"
	"errors"
	"time"

	"anvilwick.example/anvilwick/lib/ctxtime"
	"anvilwick.example/anvilwick/lib/invariant"
	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/platformapi"
)

// Delays between tries to write an outcome; each doubles the previous one, with jitter.
const (
	minOutcomeDelay   = 100 * time.Millisecond
	maxOutcomeDelay   = 30 * time.Second
	flushPollInterval = 20 * time.Millisecond
	// maxBlockedTries bounds the writes of an outcome that another holder's unfinished claim prevents. Together their delays exceed
	// the time that its holder needs to notice the restore, and to release the claim or to rewrite it as released.
	maxBlockedTries = 8
)

// end makes an outcome known at this entry and writes it to the table in the background.
//
// The store can be down for hours. If the write were given up, a finished request would become an orphan whose caller gets "outcome
// unknown", so it is repeated until it succeeds, or until another holder's record takes precedence.
func (c *Claim) end(state State, sum *Summary) {
	t := c.table
	t.mu.Lock()
	if invariant.Check(!c.done, "claim_ended_twice", "%s after %s", state, c.rec.State) != nil {
		t.mu.Unlock()
		return
	}
	c.rec.State, c.rec.Summary = state, sum
	c.done = true
	t.unwritten++
	t.mu.Unlock()
	go func() {
		c.settle()
		t.mu.Lock()
		defer t.mu.Unlock()
		t.unwritten--
		delete(t.claims, c.key)
	}()
}

// settle writes the outcome, however long it takes.
func (c *Claim) settle() {
	blocked := 0
	for wait := minOutcomeDelay; ; wait = min(2*wait, maxOutcomeDelay) {
		found, err := c.writeOutcome()
		if err == nil {
			return
		}
		if errors.Is(err, errTakenOver) {
			switch c.resolveConflict(found) {
			case conflictFinal:
				return
			case conflictAdopted:
				continue
			}
			if blocked++; blocked > maxBlockedTries {
				return
			}
		}
		ctxtime.SleepJittered(context.Background(), max(wait, platform.RetryAfter(err)))
	}
}

func (c *Claim) writeOutcome() (platformapi.Item, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.table.cfg.Timeout)
	defer cancel()
	return c.write(ctx)
}

// conflict is what a record found in place of the expected one means for an outcome.
type conflict uint8

const (
	conflictFinal   conflict = iota // there is nothing to write, or another holder's record takes precedence
	conflictAdopted                 // the outcome may replace the record
	conflictBlocked                 // its holder may release it
)

// resolveConflict evaluates the record that prevented the write of the outcome.
//
// After a restore the table may lack the claim, or have another holder's that was begun since, or released before. If the outcome were
// given up then, the rewrite of the retained record would leave the claim as sent, and resends would get "outcome unknown".
func (c *Claim) resolveConflict(found platformapi.Item) conflict {
	r, err := decode(found)
	switch {
	case err == nil && r.ID == c.rec.ID && r.State == c.rec.State:
		c.rev = found.Rev
		c.table.retain(c, found.Value) // an earlier write of this outcome took effect
		return conflictFinal
	case err == nil && r.ID == c.rec.ID,
		c.lostInRestore() && c.table.mayOverwrite(c.key, found, c.rec):
		c.rev = found.Rev
		return conflictAdopted
	case c.lostInRestore() && isUnfinished(found):
		return conflictBlocked
	}
	return conflictFinal
}

// Flush waits until every outcome is in the table, or until ctx ends. A planned shutdown calls it after its last request, so that none
// of its finished requests becomes an orphan.
func (t *Table) Flush(ctx context.Context) error {
	tick := time.NewTicker(flushPollInterval)
	defer tick.Stop()
	for t.unwrittenOutcomes() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// unwrittenOutcomes returns the number of outcomes that are not yet written.
func (t *Table) unwrittenOutcomes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unwritten
}

// Unsettled returns the number of claims that are in progress in this process, or not yet settled in the table.
func (t *Table) Unsettled() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.claims)
}
