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

// script is a Source that plays answers in order and then waits.
type script struct {
	mu        sync.Mutex
	snapshots []answer
	changes   []answer
	after     []int64 // versions that changes were asked after
}

type answer struct {
	page Page
	err  error
}

func (s *script) Snapshot(ctx context.Context) (Page, error) { return s.play(ctx, &s.snapshots) }

func (s *script) Changes(ctx context.Context, after int64, _ time.Duration) (Page, error) {
	s.after = append(s.after, after)
	return s.play(ctx, &s.changes)
}

func (s *script) play(ctx context.Context, list *[]answer) (Page, error) {
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

func follow(t *testing.T, s *script, span time.Duration) []Update {
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

// A caller is served by the settings of before an outage, seconds after newer ones were accepted. The store answers the
// first long poll after the outage with both changes of the key in order; the follower took the first for the state,
// and nothing came after the page's version.
func TestLastChangeOfAKeyCounts(t *testing.T) {
	s := &script{
		snapshots: []answer{page(1, Row{Key: "a", Value: []byte("one"), Version: 1})},
		changes: []answer{
			{err: errors.New("away")},
			page(9, Row{Key: "a", Value: []byte("two"), Version: 4}, Row{Key: "b", Version: 5}, Row{Key: "a", Value: []byte("three"), Version: 9}),
		},
	}
	got := follow(t, s, time.Second)
	must.Len(t, 2, got)
	must.Eq(t, []Row{{Key: "b", Version: 5}, {Key: "a", Value: []byte("three"), Version: 9}}, got[1].Rows)
}

// A process that starts while the store is silent must be back soon after the store is. Each call ends after its own
// short time-out and another follows at once; a long one would wait out its time with the store already back.
func TestSilentStoreIsAskedAgainSoon(t *testing.T) {
	s := &script{}
	var got []Update
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		time.AfterFunc(5*time.Second, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.snapshots = []answer{page(3)}
		})
		var at time.Duration
		start := time.Now()
		NewFollower(s, DefaultOptions, NewReplica(func(u Update) { got = append(got, u); at = time.Since(start) }), func(error) {}).Run(ctx)
		must.Less(t, 6300*time.Millisecond, at)
	})
	must.Len(t, 1, got)
}

// A version in force never goes back: history is dropped, and the snapshot that follows comes from a replica that is
// seconds behind. The follower asks until it gets a state as new as the one shown.
func TestStaleSnapshotIsLeftOut(t *testing.T) {
	s := &script{
		snapshots: []answer{page(10, Row{Key: "a", Version: 10}), page(7, Row{Key: "a", Version: 7}), page(12, Row{Key: "a", Version: 12})},
		changes:   []answer{{err: ErrHistoryGone}},
	}
	got := follow(t, s, 2*time.Second)
	must.Len(t, 2, got)
	must.Eq(t, 12, got[1].Version)
}

// Changes are asked for after the newest version shown, so that none is left out or shown twice.
func TestChangesFollowOn(t *testing.T) {
	s := &script{
		snapshots: []answer{page(5)},
		changes:   []answer{page(6, Row{Key: "x", Version: 6}), page(6), page(8, Row{Key: "x", Version: 8, Removed: true})},
	}
	got := follow(t, s, time.Second)
	must.Eq(t, []int64{5, 6, 6, 8}, s.after)
	must.Len(t, 3, got)
	must.True(t, got[2].Rows[0].Removed)
}

// bulky is a table whose one row is large and changes often. An answer of changes holds every version since, and takes
// as long as its bytes take on the link.
type bulky struct {
	start   time.Time
	cutFrom time.Duration
	cutTo   time.Duration
}

const (
	bulkyEvery = 500 * time.Millisecond // a new version
	bulkyTime  = 280 * time.Millisecond // of sending one version
)

func (s *bulky) version() int64 { return 1 + int64(time.Since(s.start)/bulkyEvery) }

func (s *bulky) send(ctx context.Context, versions int64) (Page, error) {
	if at := time.Since(s.start); at >= s.cutFrom && at < s.cutTo {
		return Page{}, errors.New("away")
	}
	v := s.version()
	select {
	case <-ctx.Done():
		return Page{}, ctx.Err()
	case <-time.After(time.Duration(versions) * bulkyTime):
		return Page{Version: v, Rows: []Row{{Key: "k", Version: v}}}, nil
	}
}

func (s *bulky) Snapshot(ctx context.Context) (Page, error) { return s.send(ctx, 1) }

func (s *bulky) Changes(ctx context.Context, after int64, _ time.Duration) (Page, error) {
	time.Sleep(time.Duration(after)*bulkyEvery - time.Since(s.start)) // until there is a change
	return s.send(ctx, s.version()-after)
}

// A caller is refused by settings that were replaced ten seconds ago, by an instance that was cut off from the store for
// eight. Large settings changed all the while, and the store's answer holds each of those versions: more than the link
// carries before the call is given up, at every try. The whole table, once, is one version.
func TestCatchesUpAfterManyLargeChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 14*time.Second)
		defer cancel()
		s := &bulky{start: time.Now(), cutFrom: 2 * time.Second, cutTo: 10 * time.Second}
		var caught time.Duration
		r := NewReplica(func(u Update) {
			if at := time.Since(s.start); at > s.cutTo && caught == 0 {
				caught = at
			}
		})
		NewFollower(s, DefaultOptions, r, func(error) {}).Run(ctx)
		must.Between(t, s.cutTo, caught, s.cutTo+time.Second)
	})
}

// slowTable sends its one table in parts over a slow link.
type slowTable struct {
	parts int
	every time.Duration
	stops int // after so many parts the link falls silent; 0: it does not
	calls int
}

func (s *slowTable) Snapshot(ctx context.Context) (Page, error) {
	s.calls++
	for i := range s.parts {
		if s.stops > 0 && i == s.stops {
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

// An instance starts before thousands of targets and behind a narrow link. The table takes two seconds, eight times as long as
// a silent store is waited for, and comes at the first try. Where the link falls silent in the middle the call is given up
// and made again.
func TestLargeTableOverANarrowLinkIsReadOnce(t *testing.T) {
	for stops, want := range map[int]int{0: 1, 10: 2} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			s := &slowTable{parts: 20, every: 100 * time.Millisecond, stops: stops}
			r := NewReplica(func(Update) {})
			f := NewFollower(s, DefaultOptions, r, func(error) {})
			err := f.Poll(ctx, 0)
			if stops > 0 {
				must.ErrorIs(t, err, context.DeadlineExceeded)
				s.stops = 0
				err = f.Poll(ctx, 0)
			}
			must.NoError(t, err)
			must.Eq(t, want, s.calls)
			_, known := r.Version()
			must.True(t, known)
		})
	}
}
