package claim

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"anvilwick.example/anvilwick/lib/invariant"
	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/platformapi"
)

// Waits between tries to write an outcome; each doubles the one before, with jitter.
const (
	outcomeWaitMin = 100 * time.Millisecond
	outcomeWaitMax = 30 * time.Second
	flushPoll      = 20 * time.Millisecond
)

// end makes an outcome known at this entry and sends it to the table in the background.
//
// The store can be down for hours. Given up, a finished request would turn into an orphan whose caller hears
// "outcome unknown", so the write is repeated until it stands, or until another's record shows that it can't.
func (c *Claim) end(state State, sum *Summary) {
	t := c.table
	t.mu.Lock()
	if invariant.Check(!c.done, "claim_ended_twice", "%s after %s", state, c.rec.State) != nil {
		t.mu.Unlock()
		return
	}
	c.rec.State, c.rec.Summary = state, sum
	c.done = true
	t.ending++
	t.mu.Unlock()
	go func() {
		c.settle()
		t.mu.Lock()
		defer t.mu.Unlock()
		t.ending--
		delete(t.claims, c.key)
	}()
}

// settle writes the outcome for as long as it takes.
func (c *Claim) settle() {
	for wait := outcomeWaitMin; ; wait = min(2*wait, outcomeWaitMax) {
		found, err := c.writeOutcome()
		if err == nil {
			return
		}
		if errors.Is(err, errTaken) && !c.adopt(found) {
			return
		}
		if !errors.Is(err, errTaken) {
			pause(context.Background(), max(wait, platform.RetryAfter(err)))
		}
	}
}

func (c *Claim) writeOutcome() (platformapi.Item, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.table.cfg.Timeout)
	defer cancel()
	return c.write(ctx)
}

// adopt goes on from a record that this claim wrote itself without hearing of it. A claim that was never inserted
// finds nothing there, and has nothing to settle.
func (c *Claim) adopt(found platformapi.Item) bool {
	r, err := decode(found)
	if err != nil || r.ID != c.rec.ID || r.State == c.rec.State {
		return false
	}
	c.rev = found.Rev
	return true
}

// pause waits for between half of d and d; it reports false when ctx ended first.
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

// Flush waits until every outcome stands in the table, or until ctx ends. A planned stop calls it after its last
// request, so that none of its finished requests becomes an orphan.
func (t *Table) Flush(ctx context.Context) error {
	tick := time.NewTicker(flushPoll)
	defer tick.Stop()
	for t.outcomes() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// outcomes is how many wait to be written.
func (t *Table) outcomes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ending
}

// Unsettled is how many claims are in progress here, or not yet settled in the table.
func (t *Table) Unsettled() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.claims)
}
