// Package feed replicates a table of the platform's store: one snapshot, then long polls for changes.
//
// A Replica holds the table; a Follower fills it from the store. Neither moves backwards: pages older than the state held are
// discarded, since the store's reads may lag by seconds. Waits are short, because only a time-out reveals that the store has
// stopped answering, and an instance that has not read its settings yet can't serve anything.
package feed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"anvilwick.example/anvilwick/lib/ctxtime"
)

// ErrHistoryGone is returned by a Source that no longer has the requested changes.
var ErrHistoryGone = errors.New("feed: history is gone")

// Row is one row of a table, or its removal.
type Row struct {
	Key     string
	Value   []byte
	Version int64
	Removed bool
	// PriorVersion is the version of a removed row's last write before its removal, as far as this instance has seen; 0: unknown.
	PriorVersion int64
	// LostInRestore is set on a removed row that nobody removed: the store was restored from a backup without it, and it was not
	// written again.
	LostInRestore bool
}

// Page is one response of the store or of a peer.
type Page struct {
	Rows    []Row
	Version int64 // newest version that the page reflects
	Era     int64 // era of the store's history that Version belongs to; 0: the response did not say

	Peer     string        // instance that responded; empty: the store
	Restore  Restore       // of the era, as the responding peer knows it; zero in responses of the store
	Retained []RetainedRow // rows that the responding peer shows in place of the store's; empty in responses of the store
	Partial  bool          // Rows are only those that this instance needs: other rows are dropped, not removed
}

// Restore is what is known of the restore of the store with which an era began.
type Restore struct {
	Version int64         // newest version when the first instance read the era; later ones were written since; 0: unknown
	Age     time.Duration // since then
}

// Position returns the newest position that the page reflects.
func (p *Page) Position() Position { return PositionOf(p.Era, p.Version) }

// Source is a table to follow. An implementation calls Progress with the context of a call for each part of the response that
// arrives: a call is cancelled when nothing arrives for a while, however long the whole response takes.
type Source interface {
	Snapshot(ctx context.Context) (Page, error)
	// Changes returns the rows changed after a version, at the latest after wait.
	Changes(ctx context.Context, after int64, wait time.Duration) (Page, error)
}

// Update describes one change of a Replica.
type Update struct {
	Page
	Initial  bool     // the first state: Rows are the whole table
	Snapshot bool     // the page was the whole table, not changes
	Previous Position // position before the update
	// Restored says that a new era has begun: Rows are those whose visible state changed, RetainedCounts counts the retained rows.
	Restored       bool
	RetainedCounts RetainedCounts
	Hidden         []HiddenRow   // rows that are not shown because the restore seems to have brought them back
	Dropped        []string      // keys of rows that this instance no longer needs and gets no more updates of
	Outage         time.Duration // from the store's last confirmation known before to the one that came with this update; 0: no outage
	ConfirmedAgo   time.Duration // age of the latter when it arrived: it may have come by way of peers that held it meanwhile
}

// IsNews reports whether a row of the update was written while this instance followed the table, so that it has arrived soon after.
func (u *Update) IsNews(row Row) bool {
	return !u.Initial && !u.Restored && u.Outage == 0 && row.Version > u.Previous.Version
}

// Options bound a Follower's calls.
type Options struct {
	Wait    time.Duration // of one long poll
	Timeout time.Duration // of a call during which nothing arrives, beyond its wait
	Retry   time.Duration // delay after a failure, doubled up to RetryMax
	// RetryMax is short: it is part of the time that an instance stays out of service after the store's return.
	RetryMax time.Duration
	// MinInterval is the least time between two calls. It batches changes that arrive one by one, as when all instances start.
	MinInterval time.Duration
}

// DefaultOptions suit a store that responds within some milliseconds. Wait plus Timeout is how long a change can go unnoticed on
// a connection that has stalled; operators are promised changes within two seconds.
var DefaultOptions = Options{
	Wait:     700 * time.Millisecond,
	Timeout:  600 * time.Millisecond,
	Retry:    60 * time.Millisecond,
	RetryMax: 400 * time.Millisecond,
}

// Follower keeps a Replica up to date by polling the store.
type Follower struct {
	src     Source
	opt     Options
	replica *Replica
	onError func(error)

	historyGone bool // the store no longer has the changes after the replica's version
	stale       bool // the last snapshot came from a lagging store replica: request changes instead
	retryDelay  time.Duration
	failures    int // consecutive failed calls
}

// After extendedEvery-1 consecutive failures the next call gets extendedFactor times the time-out. Otherwise a large response over a
// slow link would never arrive, and the instance would serve by outdated settings indefinitely.
const (
	extendedEvery  = 3
	extendedFactor = 4
)

const (
	// initialTimeout bounds a call while nothing has been read yet. It bounds how late the return of an unresponsive store is
	// noticed, and an instance can't serve anything before; its tables are read in tens of milliseconds.
	initialTimeout = 250 * time.Millisecond
	// initialRetryMax bounds the delay between two calls during that time.
	initialRetryMax = 200 * time.Millisecond
	// initialExtendedCalls is how many extended calls may fail with a multiple of initialTimeout before calls get the full time-out:
	// a response that takes over a second on a slow link arrives after some ten seconds.
	initialExtendedCalls = 4
)

func (f *Follower) timeout() time.Duration {
	limit := f.opt.Timeout
	if f.isEmpty() && f.failures < initialExtendedCalls*extendedEvery {
		limit = min(initialTimeout, limit)
	}
	if f.failures%extendedEvery == extendedEvery-1 {
		return extendedFactor * limit
	}
	return limit
}

// isEmpty reports whether nothing has been read yet.
func (f *Follower) isEmpty() bool {
	_, known := f.replica.Version()
	return !known
}

// NewFollower returns a Follower that reports failed calls to onError.
func NewFollower(src Source, opt Options, replica *Replica, onError func(error)) *Follower {
	return &Follower{src: src, opt: opt, replica: replica, onError: onError, retryDelay: opt.Retry}
}

// Run polls until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.Poll(ctx, f.opt.Wait)
		if err == nil {
			f.retryDelay = f.opt.Retry
			ctxtime.Sleep(ctx, f.opt.MinInterval)
			continue
		}
		if ctx.Err() == nil {
			f.onError(err)
			f.backOff(ctx)
		}
	}
}

// backOff waits after a failure. The delay is randomized so that instances that lost the store at the same moment don't return to
// it at the same moment, which would exceed its capacity.
func (f *Follower) backOff(ctx context.Context) {
	d := f.retryDelay/2 + rand.N(f.retryDelay)
	f.retryDelay = min(2*f.retryDelay, f.opt.RetryMax)
	if f.isEmpty() {
		f.retryDelay = min(f.retryDelay, initialRetryMax)
	}
	ctxtime.Sleep(ctx, d)
}

// Poll makes one call: for the whole table when nothing is held or many changes are likely, else for the changes, which the
// store returns within wait.
func (f *Follower) Poll(ctx context.Context, wait time.Duration) error {
	err := f.poll(ctx, wait)
	if err == nil {
		f.failures = 0
	} else {
		f.failures++
	}
	return err
}

func (f *Follower) poll(ctx context.Context, wait time.Duration) error {
	current := f.replica.Position()
	behind := f.behind()
	if f.isEmpty() || f.historyGone || f.replica.Partial() || behind && !f.stale {
		return f.snapshot(ctx)
	}
	f.stale = false
	ctx, cancel := withIdleTimeout(ctx, wait+f.timeout())
	defer cancel()
	page, err := f.src.Changes(ctx, current.Version, wait)
	if errors.Is(err, ErrHistoryGone) || err == nil && page.Position().Era > current.Era {
		// Versions of another era are not comparable, so the response may lack rows written below the replica's version.
		f.historyGone = true
		return f.snapshot(ctx)
	}
	if err != nil {
		return err
	}
	if page.Position().Era < current.Era {
		return &StaleError{Current: current, Got: page.Position()}
	}
	contact := time.Now()
	if behind && len(page.Rows) > 0 {
		// A response is bounded, so later changes may be missing: it does not confirm that this is the newest state.
		contact = f.replica.LastContact()
	}
	return f.replica.Merge(page, false, contact)
}

// behind reports whether reading the whole table is likely to be cheaper than reading its changes. A response with changes
// holds every version of a row: after an outage during which large settings changed often, it takes longer than any time-out
// on a slow link, at every attempt, and the instance would serve by outdated settings indefinitely.
func (f *Follower) behind() bool {
	return time.Since(f.replica.LastContact()) > outageThreshold
}

// StaleError reports that the store returned an older state than the replica holds.
type StaleError struct{ Current, Got Position }

func (e *StaleError) Error() string {
	return fmt.Sprintf("feed: stale response from the store: got position %v, replica is at %v", e.Got, e.Current)
}

func (f *Follower) snapshot(ctx context.Context) error {
	ctx, cancel := withIdleTimeout(ctx, f.timeout())
	defer cancel()
	page, err := f.src.Snapshot(ctx)
	if err != nil {
		return err
	}
	if current := f.replica.Position(); page.Position().Before(current) {
		f.stale = true
		return &StaleError{Current: current, Got: page.Position()}
	}
	f.historyGone = false
	return f.replica.Merge(page, true, time.Now())
}

// newest keeps the last row of each key.
//
// After an outage one page can hold several changes of a key, in order. Applying the first one would leave the instance on an
// outdated row until the next change, since no later page repeats changes up to this page's version.
func newest(rows []Row) []Row {
	last := make(map[string]int, len(rows))
	for i, r := range rows {
		last[r.Key] = i
	}
	if len(last) == len(rows) {
		return rows
	}
	out := make([]Row, 0, len(last))
	for i, r := range rows {
		if last[r.Key] == i {
			out = append(out, r)
		}
	}
	return out
}
