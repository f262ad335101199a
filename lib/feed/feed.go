// Package feed follows a table of the platform's store: one snapshot, then long polls for what has changed.
//
// A follower never goes back: pages older than what it has shown are left out, since reads may be seconds behind. Its
// waits are short, because a silent store shows itself by nothing but a time-out, and an instance that has not read its
// settings yet can serve nothing.
package feed

import (
	"context"
	"errors"
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
}

// Page is an answer of the store.
type Page struct {
	Rows    []Row
	Version int64 // newest version that the page reflects
}

// Source is a table to follow.
type Source interface {
	Snapshot(ctx context.Context) (Page, error)
	// Changes returns the rows changed after a version, at the latest after wait.
	Changes(ctx context.Context, after int64, wait time.Duration) (Page, error)
}

// Update is what a follower shows.
type Update struct {
	Page
	Whole  bool          // Rows are the whole table; what is missing was removed
	Silent time.Duration // time before this update in which the store could not be reached; 0: it was reached all along
}

// Options bound a follower's calls.
type Options struct {
	Wait    time.Duration // of one long poll
	Timeout time.Duration // of a call, beyond its wait
	Retry   time.Duration // pause after a failure, doubled up to RetryMax
	// RetryMax is short: it is part of the time that an instance stays out of service after the store's return.
	RetryMax time.Duration
}

// DefaultOptions suit a store that answers within some milliseconds. Wait plus Timeout is how long a change can stay
// unseen on a connection that has gone silent; operators are promised changes within two seconds.
var DefaultOptions = Options{
	Wait:     1200 * time.Millisecond,
	Timeout:  600 * time.Millisecond,
	Retry:    60 * time.Millisecond,
	RetryMax: 400 * time.Millisecond,
}

// Follower follows one table.
type Follower struct {
	src   Source
	opt   Options
	apply func(Update)
	fail  func(error)

	version int64 // highest shown
	known   bool  // version is set, changes can be asked for
	reached time.Time
	failing bool
	pause   time.Duration
}

// New returns a Follower that shows updates to apply and failed calls to fail, both from one goroutine.
func New(src Source, opt Options, apply func(Update), fail func(error)) *Follower {
	return &Follower{src: src, opt: opt, apply: apply, fail: fail, pause: opt.Retry}
}

// Run follows until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	f.reached = time.Now()
	for ctx.Err() == nil {
		err := f.step(ctx)
		switch {
		case err == nil:
			f.pause = f.opt.Retry
		case errors.Is(err, ErrHistoryGone):
			f.known = false
		case ctx.Err() == nil:
			f.fail(err)
			f.failing = true
			f.rest(ctx)
		}
	}
}

// rest pauses after a failure. The pause is drawn at random so that instances that lost the store in one moment don't
// come back to it in one moment, past what it serves.
func (f *Follower) rest(ctx context.Context) {
	d := f.pause/2 + rand.N(f.pause)
	f.pause = min(2*f.pause, f.opt.RetryMax)
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (f *Follower) step(ctx context.Context) error {
	if !f.known {
		return f.snapshot(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, f.opt.Wait+f.opt.Timeout)
	defer cancel()
	page, err := f.src.Changes(ctx, f.version, f.opt.Wait)
	if err != nil {
		return err
	}
	f.show(page, false)
	return nil
}

var errStale = errors.New("feed: the store answered with an older state than shown")

func (f *Follower) snapshot(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.opt.Timeout)
	defer cancel()
	page, err := f.src.Snapshot(ctx)
	if err != nil {
		return err
	}
	if page.Version < f.version {
		return errStale
	}
	f.known = true
	f.show(page, true)
	return nil
}

func (f *Follower) show(page Page, whole bool) {
	now := time.Now()
	u := Update{Page: page, Whole: whole}
	if f.failing {
		u.Silent = now.Sub(f.reached)
	}
	f.failing = false
	f.reached = now
	if page.Version < f.version {
		return
	}
	f.version = page.Version
	u.Rows = newest(page.Rows)
	if whole || len(page.Rows) > 0 || u.Silent > 0 {
		f.apply(u)
	}
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
