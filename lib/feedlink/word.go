package feedlink

import (
	"context"
	"errors"
	"time"

	"anvilwick.example/anvilwick/lib/feed"
)

// StoreLost reports whether the store can't be reached from here: the last call failed, or the reader says so.
func (t *Syncer) StoreLost() bool { return t.lost.Load() }

// pathNow returns the instances that the tables come through, this one first.
func (t *Syncer) pathNow() []string {
	if p := t.path.Load(); p != nil {
		return *p
	}
	return []string{t.Self}
}

// ReadsStore reports whether this instance reads the store itself.
func (t *Syncer) ReadsStore() bool { return len(t.pathNow()) == 1 }

// comesBy notes the instances behind this one that the tables come through.
func (t *Syncer) comesBy(path []string) {
	p := append([]string{t.Self}, path...)
	t.path.Store(&p)
}

func (t *Syncer) callFailed(table string, err error) {
	t.called(table, err)
	t.OnSourceError(table, err)
}

// called notes how a call ended. Only urgent tables tell whether the store is lost: the others are asked seldom.
func (t *Syncer) called(table string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed[table] = err != nil && !errors.Is(err, feed.ErrHistoryGone)
	lost := false
	for _, table := range t.Tables {
		lost = lost || table.Critical && t.failed[table.Name]
	}
	t.lost.Store(lost)
}

// watched is a source whose calls are noted.
type watched struct {
	Table
	t *Syncer
}

func (w watched) Snapshot(ctx context.Context) (feed.Page, error) {
	p, err := w.Source.Snapshot(ctx)
	if ctx.Err() == nil || errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		w.t.called(w.Name, err)
	}
	return p, err
}

func (w watched) Changes(ctx context.Context, after int64, wait time.Duration) (feed.Page, error) {
	p, err := w.Source.Changes(ctx, after, wait)
	if ctx.Err() == nil || errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		w.t.called(w.Name, err)
	}
	return p, err
}

// known reports whether all urgent tables have been read.
func (t *Syncer) known() bool {
	for _, table := range t.Tables {
		if _, known := table.Replica.Version(); table.Critical && !known {
			return false
		}
	}
	return true
}

// age is the time since the store confirmed the urgent tables.
func (t *Syncer) age(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, table := range t.Tables {
		if table.Critical {
			oldest = max(oldest, now.Sub(table.Replica.LastContact()))
		}
	}
	return oldest
}
