package feed

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// scriptedSource is a Source that plays answers in order and then blocks.
type scriptedSource struct {
	mu        sync.Mutex
	snapshots []answer
	changes   []answer
	after     []int64 // versions after which changes were requested
}

type answer struct {
	page Page
	err  error
}

func (s *scriptedSource) Snapshot(ctx context.Context) (Page, error) {
	return s.play(ctx, &s.snapshots)
}

func (s *scriptedSource) Changes(ctx context.Context, after int64, _ time.Duration) (Page, error) {
	s.after = append(s.after, after)
	return s.play(ctx, &s.changes)
}

func (s *scriptedSource) play(ctx context.Context, list *[]answer) (Page, error) {
	s.mu.Lock()
	if len(*list) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return Page{}, ctx.Err()
	}
	defer s.mu.Unlock()
	a := (*list)[0]
	*list = (*list)[1:]
	return a.page, a.err
}

func runFollower(t *testing.T, s *scriptedSource, span time.Duration) []Update {
	t.Helper()
	var got []Update
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), span)
		defer cancel()
		NewFollower(s, DefaultOptions, NewReplica(func(u Update) { got = append(got, u) }), func(error) {}).Run(ctx)
	})
	return got
}

func page(version int64, rows ...Row) answer { return answer{page: Page{Version: version, Rows: rows}} }

// After an outage the first long poll returns two changes of a key in order. A follower that took the first one for the state
// would serve by outdated settings, since no later page repeats it.
func TestLastChangeOfAKeyWins(t *testing.T) {
	s := &scriptedSource{
		snapshots: []answer{page(1, Row{Key: "a", Value: []byte("one"), Version: 1})},
		changes: []answer{
			{err: errors.New("away")},
			page(9, Row{Key: "a", Value: []byte("two"), Version: 4}, Row{Key: "b", Version: 5}, Row{Key: "a", Value: []byte("three"), Version: 9}),
		},
	}
	got := runFollower(t, s, time.Second)
	must.Len(t, 2, got)
	must.Eq(t, []Row{{Key: "b", Version: 5}, {Key: "a", Value: []byte("three"), Version: 9}}, got[1].Rows)
}

// A process that starts while the store does not answer must recover soon after the store does. Each call ends after a short
// time-out and is retried at once; a long time-out would be waited out with the store already back.
func TestUnresponsiveStoreIsRetriedSoon(t *testing.T) {
	s := &scriptedSource{}
	var got []Update
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		time.AfterFunc(5*time.Second, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.snapshots = []answer{page(3)}
		})
		var elapsed time.Duration
		start := time.Now()
		NewFollower(s, DefaultOptions, NewReplica(func(u Update) { got = append(got, u); elapsed = time.Since(start) }), func(error) {}).Run(ctx)
		must.Less(t, 6300*time.Millisecond, elapsed)
	})
	must.Len(t, 1, got)
}

// The history was dropped, and the snapshot that follows comes from a store replica that lags by seconds. The follower retries
// until it gets a state at least as new as the one shown, so that no version in force goes back.
func TestStaleSnapshotIsRejected(t *testing.T) {
	s := &scriptedSource{
		snapshots: []answer{page(10, Row{Key: "a", Version: 10}), page(7, Row{Key: "a", Version: 7}), page(12, Row{Key: "a", Version: 12})},
		changes:   []answer{{err: ErrHistoryGone}},
	}
	got := runFollower(t, s, 2*time.Second)
	must.Len(t, 2, got)
	must.Eq(t, 12, got[1].Version)
}

// Changes are requested after the newest version shown, so that none is missed or shown twice.
func TestChangesAreRequestedFromNewestVersion(t *testing.T) {
	s := &scriptedSource{
		snapshots: []answer{page(5)},
		changes:   []answer{page(6, Row{Key: "x", Version: 6}), page(6), page(8, Row{Key: "x", Version: 8, Removed: true})},
	}
	got := runFollower(t, s, time.Second)
	must.Eq(t, []int64{5, 6, 6, 8}, s.after)
	must.Len(t, 3, got)
	must.True(t, got[2].Rows[0].Removed)
}

// largeRowTable is a table with one large row that changes often. An answer with changes holds every version since, and takes as long
// as the link needs for its bytes.
type largeRowTable struct {
	start   time.Time
	cutFrom time.Duration
	cutTo   time.Duration
}

const (
	largeRowInterval = 500 * time.Millisecond // interval of new versions
	largeRowSendTime = 280 * time.Millisecond // time to send one version
)

func (s *largeRowTable) version() int64 { return 1 + int64(time.Since(s.start)/largeRowInterval) }

func (s *largeRowTable) send(ctx context.Context, versions int64) (Page, error) {
	if elapsed := time.Since(s.start); elapsed >= s.cutFrom && elapsed < s.cutTo {
		return Page{}, errors.New("away")
	}
	v := s.version()
	select {
	case <-ctx.Done():
		return Page{}, ctx.Err()
	case <-time.After(time.Duration(versions) * largeRowSendTime):
		return Page{Version: v, Rows: []Row{{Key: "k", Version: v}}}, nil
	}
}

func (s *largeRowTable) Snapshot(ctx context.Context) (Page, error) { return s.send(ctx, 1) }

func (s *largeRowTable) Changes(ctx context.Context, after int64, _ time.Duration) (Page, error) {
	time.Sleep(time.Duration(after)*largeRowInterval - time.Since(s.start)) // until there is a change
	return s.send(ctx, s.version()-after)
}

// An instance is cut off from the store for eight seconds while large settings keep changing. The changes since then hold each
// version: more than the link carries within the time-out, at every attempt. The follower must read the whole table instead.
func TestCatchesUpAfterManyLargeChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 14*time.Second)
		defer cancel()
		s := &largeRowTable{start: time.Now(), cutFrom: 2 * time.Second, cutTo: 10 * time.Second}
		var caughtUp time.Duration
		r := NewReplica(func(u Update) {
			if elapsed := time.Since(s.start); elapsed > s.cutTo && caughtUp == 0 {
				caughtUp = elapsed
			}
		})
		NewFollower(s, DefaultOptions, r, func(error) {}).Run(ctx)
		must.Between(t, s.cutTo, caughtUp, s.cutTo+time.Second)
	})
}

// slowTable sends its one table in parts over a slow link.
type slowTable struct {
	parts       int
	every       time.Duration
	stallsAfter int // the link stalls after this many parts; 0: never
	calls       int
}

func (s *slowTable) Snapshot(ctx context.Context) (Page, error) {
	s.calls++
	for i := range s.parts {
		if s.stallsAfter > 0 && i == s.stallsAfter {
			<-ctx.Done()
			return Page{}, context.Cause(ctx)
		}
		select {
		case <-ctx.Done():
			return Page{}, context.Cause(ctx)
		case <-time.After(s.every):
			Progress(ctx)
		}
	}
	return Page{Version: 1}, nil
}

func (s *slowTable) Changes(ctx context.Context, _ int64, _ time.Duration) (Page, error) {
	<-ctx.Done()
	return Page{}, context.Cause(ctx)
}

// An instance starts with thousands of targets behind a narrow link. The table takes two seconds, eight times the time-out for an
// unresponsive store, and must arrive at the first attempt. If the link stalls in the middle, the call is cancelled and retried.
func TestLargeTableOverSlowLinkIsReadOnce(t *testing.T) {
	for stops, want := range map[int]int{0: 1, 10: 2} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			s := &slowTable{parts: 20, every: 100 * time.Millisecond, stallsAfter: stops}
			r := NewReplica(func(Update) {})
			f := NewFollower(s, DefaultOptions, r, func(error) {})
			err := f.Poll(ctx, 0)
			if stops > 0 {
				must.ErrorIs(t, err, context.DeadlineExceeded)
				s.stallsAfter = 0
				err = f.Poll(ctx, 0)
			}
			must.NoError(t, err)
			must.Eq(t, want, s.calls)
			_, known := r.Version()
			must.True(t, known)
		})
	}
}
