package gateway

import (
	"context"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
)

// checkRetention is how long the last check of a target is kept, for those that still wait for it.
const checkRetention = time.Minute

// restartChecks shares queries whether targets have started again: after the loss of an instance many callers resume streams of one target at a time.
type restartChecks struct {
	mu      sync.Mutex
	targets map[string]*restartCheck
}

type restartCheck struct {
	mu        sync.Mutex // held while the target is queried
	queriedAt time.Time
	restarted bool
}

// mayHaveRestarted returns the result of a query that was sent after a time, or sends one.
func (c *restartChecks) mayHaveRestarted(requested time.Time, target fleet.Info, query func() bool) bool {
	check := c.of(target)
	check.mu.Lock()
	defer check.mu.Unlock()
	if !check.queriedAt.After(requested) {
		check.queriedAt = time.Now()
		check.restarted = query()
	}
	return check.restarted
}

func (c *restartChecks) of(target fleet.Info) *restartCheck {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.targets == nil {
		c.targets = make(map[string]*restartCheck)
	}
	check := c.targets[target.ID]
	if check == nil {
		check = new(restartCheck)
		c.targets[target.ID] = check
		time.AfterFunc(checkRetention, func() { c.drop(target.ID) })
	}
	return check
}

// drop forgets the check of a target. Calls that wait for it keep it until they return.
func (c *restartChecks) drop(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.targets, id)
}

// mayHaveRestartedShared is mayHaveRestarted, shared by those that wait at the same time.
func (g *Gateway) mayHaveRestartedShared(ctx context.Context, target fleet.Info) bool {
	ctx = context.WithoutCancel(ctx) // others may wait for the answer
	return g.restarts.mayHaveRestarted(time.Now(), target, func() bool { return g.mayHaveRestarted(ctx, target) })
}
