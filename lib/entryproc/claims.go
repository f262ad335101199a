package entryproc

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/claim"
	"anvilwick.example/anvilwick/lib/entry"
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/settings"
)

const (
	flushTimeout   = 10 * time.Second
	budgetInterval = time.Second // between updates of the store's budget from the members and the settings
)

// claims manages this process's claims in the platform's table.
type claims struct {
	store *platform.Client
	table *claim.Table
}

func newClaims(cfg Config, view func() *member.View, server func() *entry.Server) *claims {
	store := platform.New(platform.Config{Addr: cfg.Platform, Share: platform.ShareEntry})
	self := claim.Holder{Instance: cfg.Instance, Incarnation: cfg.Incarnation}
	return &claims{store: store, table: claim.New(store, claim.Config{
		Holder:      self,
		HolderGone:  func(h claim.Holder) bool { return holderGone(view(), self, h) },
		ProveNotRun: func(ctx context.Context, s claim.PriorSend) bool { return neverRan(ctx, server(), s) },
	})}
}

// rewriteLost rewrites claims that the table has lost, until ctx is done.
func (c *claims) rewriteLost(ctx context.Context) { c.table.Run(ctx) }

// limitBudget limits this process to its share of the site's budget at the platform until ctx is done. Otherwise every entry
// would use the budget of the whole site, and the table would reject their requests when claims are needed most.
func (c *claims) limitBudget(ctx context.Context, view func() *member.View, snapshot func() *settings.Snapshot) {
	t := time.NewTicker(budgetInterval)
	defer t.Stop()
	for {
		c.store.SetLive(countWriters(view()))
		if snap := snapshot(); snap != nil {
			c.store.SetSite(snap.Site.StoreWritesPerSec, snap.Site.StoreReadsPerSec)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// countWriters counts the instances that may be using the platform: all that are not known to be dead, and at least this one.
func countWriters(view *member.View) int {
	if view == nil {
		return 1
	}
	n := 0
	for _, m := range view.Members {
		if m.State != member.Dead {
			n++
		}
	}
	return max(1, n)
}

// holderGone reports whether the process that holds a claim is known to have ended.
func holderGone(view *member.View, self, h claim.Holder) bool {
	if h.Instance == self.Instance {
		return h.Incarnation != self.Incarnation
	}
	if view == nil {
		return false
	}
	m, ok := view.Get(h.Instance)
	if !ok {
		return len(view.Members) > 1 // removed long ago; a process whose view has no other member can't tell
	}
	return m.State == member.Dead || m.Incarnation > h.Incarnation
}

// neverRan makes an engine refuse a send from now on, and reports whether it is certain that the send did not run. An engine that
// does not know the generation proves nothing: it may have been replaced after running it. Plain services can't be queried.
func neverRan(ctx context.Context, server *entry.Server, s claim.PriorSend) bool {
	snap := server.Snapshot()
	g, err := ids.Parse(s.Generation)
	if snap == nil || err != nil || !isEngine(snap, s.Target) {
		return false
	}
	res, err := server.Client(s.Target).Cancel(ctx, g, s.Attempt)
	return err == nil && res.Known && !res.Ran
}

func isEngine(snap *settings.Snapshot, name string) bool {
	for _, svc := range snap.Services {
		if svc.Kind != settings.KindModel {
			continue
		}
		for i := range svc.Targets {
			if svc.Targets[i].Name == name {
				return true
			}
		}
	}
	return false
}

// flush waits until the outcomes of finished requests are written to the table.
func (c *claims) flush(ctx context.Context) error {
	if c == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	return c.table.Flush(ctx)
}
