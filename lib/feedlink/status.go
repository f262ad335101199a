package feedlink

import (
	"context"
	"errors"
	"time"

	"anvilwick.example/anvilwick/lib/feed"
)

// StoreLost reports whether the store can't be reached from here: the last call failed, or the upstream says so.
func (t *Syncer) StoreLost() bool { return t.storeLost.Load() }

// upstreamPath returns the instances between the store and this one, this one first.
func (t *Syncer) upstreamPath() []string {
	if p := t.path.Load(); p != nil {
		return *p
	}
	return []string{t.Self}
}

// ReadsStore reports whether this instance reads the store itself.
func (t *Syncer) ReadsStore() bool { return len(t.upstreamPath()) == 1 }

// setUpstreamPath sets the path of the tables to this instance, given the upstream's path.
func (t *Syncer) setUpstreamPath(path []string) {
	p := append([]string{t.Self}, path...)
	t.path.Store(&p)
}

func (t *Syncer) callFailed(table string, err error) {
	t.recordCall(table, err)
	t.OnSourceError(table, err)
}

// recordCall records the result of a call. Only critical tables decide whether the store is lost: the others are polled rarely.
func (t *Syncer) recordCall(table string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed[table] = err != nil && !errors.Is(err, feed.ErrHistoryGone)
	lost := false
	for _, table := range t.Tables {
		lost = lost || table.Critical && t.failed[table.Name]
	}
	t.storeLost.Store(lost)
}

// monitoredSource is a source whose call results are recorded.
type monitoredSource struct {
	Table
	syncer *Syncer
}

func (w monitoredSource) Snapshot(ctx context.Context) (feed.Page, error) {
	p, err := w.Source.Snapshot(ctx)
	if ctx.Err() == nil || errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		w.syncer.recordCall(w.Name, err)
	}
	return p, err
}

func (w monitoredSource) Changes(ctx context.Context, after int64, wait time.Duration) (feed.Page, error) {
	p, err := w.Source.Changes(ctx, after, wait)
	if ctx.Err() == nil || errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		w.syncer.recordCall(w.Name, err)
	}
	return p, err
}

// initialized reports whether all critical tables have been read.
func (t *Syncer) initialized() bool {
	for _, table := range t.Tables {
		if _, known := table.Replica.Version(); table.Critical && !known {
			return false
		}
	}
	return true
}

// contactAge returns the time since the store last confirmed all critical tables.
func (t *Syncer) contactAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, table := range t.Tables {
		if table.Critical {
			oldest = max(oldest, now.Sub(table.Replica.LastContact()))
		}
	}
	return oldest
}
