// Package feed follows a table of the platform's store: one snapshot, then long polls for what has changed.
//
// A Replica holds the table; a Follower fills it from the store. Neither goes back: pages older than what is held are
// left out, since reads may be seconds behind. Waits are short, because a silent store shows itself by nothing but
// a time-out, and an instance that has not read its settings yet can serve nothing.
package feed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// ErrHistoryGone is returned by a Source that no longer has the changes asked for.
var ErrHistoryGone = errors.New("feed: history is gone")

// Row is one row, or the news that it was removed.
type Row struct {
	Key     string
	Value   []byte
	Version int64
	Removed bool
	// LostInRestore says of a removed row that nobody removed it: the store came back from a copy without it, and it was not written again.
	LostInRestore bool
}

// Page is an answer of the store.
type Page struct {
	Rows    []Row
	Version int64 // newest version that the page reflects
	Era     int64 // of the store's history in which that version was given out; 0: it was not told

	Retained []RetainedRow // what a peer goes on showing in place of the store's rows, where the page comes from one
	Partial  bool          // Rows are those that this instance needs: of a whole table others than these are dropped, not removed
}

// Position returns the newest position that the page reflects.
func (p *Page) Position() Position { return PositionOf(p.Era, p.Version) }

// Source is a table to follow. It calls Progress with the context of a call for each part of the answer that comes: a call is
// given up when nothing comes for a while, however long the whole takes.
type Source interface {
	Snapshot(ctx context.Context) (Page, error)
	// Changes returns the rows changed after a version, at the latest after wait.
	Changes(ctx context.Context, after int64, wait time.Duration) (Page, error)
}

// Update is a change of a Replica.
type Update struct {
	Page
	Initial  bool     // the first state: Rows are the whole table
	Snapshot bool     // the page was the whole table, not changes
	Previous Position // what was held before
	// Restored says that a new era has begun: Rows are what is shown otherwise than before, Held counts what is held on to.
	Restored       bool
	RetainedCounts RetainedCounts
	Dropped        []string      // keys of rows that this instance no longer needs and is not told of any more
	Outage         time.Duration // how long the store was out of everybody's reach before this update; 0: it was not
}

// Options bound a follower's calls.
type Options struct {
	Wait    time.Duration // of one long poll
	Timeout time.Duration // of a call in which nothing comes, beyond its wait
	Retry   time.Duration // pause after a failure, doubled up to RetryMax
	// RetryMax is short: it is part of the time that an instance stays out of service after the store's return.
	RetryMax time.Duration
	// MinInterval is the least time between two calls. It gathers changes that come one by one, as when all instances start.
	MinInterval time.Duration
}

// DefaultOptions suit a store that answers within some milliseconds. Wait plus Timeout is how long a change can stay
// unseen on a connection that has gone silent; operators are promised changes within two seconds.
var DefaultOptions = Options{
	Wait:     700 * time.Millisecond,
	Timeout:  600 * time.Millisecond,
	Retry:    60 * time.Millisecond,
	RetryMax: 400 * time.Millisecond,
}

// Follower fills a Replica from the store.
type Follower struct {
	src  Source
	opt  Options
	to   *Replica
	fail func(error)

	gone  bool // the store no longer has the changes after the version held
	stale bool // the last snapshot came from a replica that is behind: changes are asked for instead
	pause time.Duration
	fails int // calls that failed one after another
}

// patientEvery and patience: one of so many calls in a row that failed gets so many times the time-out. A large answer
// over a slow link would otherwise never arrive, and the instance would serve by old settings for good.
const (
	patientEvery = 3
	patience     = 4
)

const (
	// firstTimeout bounds a call while nothing is known. A store that was silent is found at most so long after its
	// return, and an instance can serve nothing before; its tables are read in tens of milliseconds.
	firstTimeout = 250 * time.Millisecond
	// firstRetryMax bounds the pause between two calls then.
	firstRetryMax = 200 * time.Millisecond
	// firstRounds is how many patient calls fail at firstTimeout's multiple before they get the whole time: an answer that
	// takes over a second over a slow link arrives after some ten seconds.
	firstRounds = 4
)

func (f *Follower) timeout() time.Duration {
	limit := f.opt.Timeout
	if f.isNew() && f.fails < firstRounds*patientEvery {
		limit = min(firstTimeout, limit)
	}
	if f.fails%patientEvery == patientEvery-1 {
		return patience * limit
	}
	return limit
}

// isNew reports whether nothing has been read yet.
func (f *Follower) isNew() bool {
	_, known := f.to.Version()
	return !known
}

// NewFollower returns a Follower that tells of failed calls to fail.
func NewFollower(src Source, opt Options, to *Replica, fail func(error)) *Follower {
	return &Follower{src: src, opt: opt, to: to, fail: fail, pause: opt.Retry}
}

// Run follows until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.Poll(ctx, f.opt.Wait)
		if err == nil {
			f.pause = f.opt.Retry
			sleep(ctx, f.opt.MinInterval)
			continue
		}
		if ctx.Err() == nil {
			f.fail(err)
			f.rest(ctx)
		}
	}
}

// rest pauses after a failure. The pause is drawn at random so that instances that lost the store in one moment don't
// come back to it in one moment, past what it serves.
func (f *Follower) rest(ctx context.Context) {
	d := f.pause/2 + rand.N(f.pause)
	f.pause = min(2*f.pause, f.opt.RetryMax)
	if f.isNew() {
		f.pause = min(f.pause, firstRetryMax)
	}
	sleep(ctx, d)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Poll makes one call: for the whole table when nothing is held or much may have changed, else for the changes within
// wait.
func (f *Follower) Poll(ctx context.Context, wait time.Duration) error {
	err := f.step(ctx, wait)
	if err == nil {
		f.fails = 0
	} else {
		f.fails++
	}
	return err
}

func (f *Follower) step(ctx context.Context, wait time.Duration) error {
	held := f.to.Position()
	behind := f.behind()
	if f.isNew() || f.gone || f.to.Partial() || behind && !f.stale {
		return f.snapshot(ctx)
	}
	f.stale = false
	ctx, cancel := withSilence(ctx, wait+f.timeout())
	defer cancel()
	page, err := f.src.Changes(ctx, held.Version, wait)
	if errors.Is(err, ErrHistoryGone) || err == nil && page.Position().Era > held.Era {
		// Versions of another era may name anything, so the answer may lack what was written below the one that is held.
		f.gone = true
		return f.snapshot(ctx)
	}
	if err != nil {
		return err
	}
	if page.Position().Era < held.Era {
		return &StaleError{Held: held, Got: page.Position()}
	}
	contact := time.Now()
	if behind && len(page.Rows) > 0 {
		// An answer is bounded, so later changes may be missing: it doesn't confirm that this is the newest state.
		contact = f.to.LastContact()
	}
	f.to.Merge(page, false, contact)
	return nil
}

// behind reports whether the whole table is likely to be less to read than its changes. An answer of changes holds each
// version of a row: after an outage in which large settings changed often it takes a slow link longer than any time-out,
// at every try, and the instance would serve by old settings for good.
func (f *Follower) behind() bool {
	return time.Since(f.to.LastContact()) > outage
}

// StaleError says that the store answered with an older state than is held.
type StaleError struct{ Held, Got Position }

func (e *StaleError) Error() string {
	return fmt.Sprintf("feed: the store answered with an older state than shown: %v, held is %v", e.Got, e.Held)
}

func (f *Follower) snapshot(ctx context.Context) error {
	ctx, cancel := withSilence(ctx, f.timeout())
	defer cancel()
	page, err := f.src.Snapshot(ctx)
	if err != nil {
		return err
	}
	if held := f.to.Position(); page.Position().Before(held) {
		f.stale = true
		return &StaleError{Held: held, Got: page.Position()}
	}
	f.gone = false
	f.to.Merge(page, true, time.Now())
	return nil
}

// newest keeps the last row of each key.
//
// Failure: after an outage one page holds several changes of a key in order. Whoever took the first for the state would
// serve by an old one until the next change, since nothing comes after the page's version.
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
