package feed

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// recordedUpdates records the updates of a replica.
type recordedUpdates struct{ rows, removed, dropped []string }

func (s *recordedUpdates) apply(u Update) {
	for _, r := range u.Rows {
		if r.Removed {
			s.removed = append(s.removed, r.Key)
		} else {
			s.rows = append(s.rows, r.Key)
		}
	}
	s.dropped = append(s.dropped, u.Dropped...)
}

func row(key string, version int64) Row { return Row{Key: key, Value: []byte(key), Version: version} }

// The set of rows that an instance needs changes. Rows no longer needed are dropped, not removed: a target taken for removed would be
// evacuated and refused.
func TestUnneededRowsAreDropped(t *testing.T) {
	var s recordedUpdates
	r := NewReplica(s.apply)
	now := time.Now()
	r.Merge(Page{Version: 10, Partial: true, Rows: []Row{row("a", 1), row("b", 2)}}, true, now)
	must.True(t, r.Partial())
	s = recordedUpdates{}
	r.Merge(Page{Version: 11, Partial: true, Rows: []Row{row("b", 2), row("c", 3)}}, true, now)
	must.Eq(t, recordedUpdates{rows: []string{"c"}, dropped: []string{"a"}}, s)
	s = recordedUpdates{}
	r.Merge(Page{Version: 12, Rows: []Row{{Key: "b", Version: 12, Removed: true}}}, false, now)
	must.Eq(t, recordedUpdates{removed: []string{"b"}}, s)
	r.Merge(Page{Version: 13, Rows: []Row{row("a", 1), row("c", 3), row("d", 4)}}, true, now)
	must.False(t, r.Partial())
	must.Eq(t, 3, r.Len())
}

// The next peer lags a little behind the previous one. Rows needed now are taken from it all the same, and no row goes back.
func TestPartialPageOfLaggingPeer(t *testing.T) {
	var s recordedUpdates
	r := NewReplica(s.apply)
	now := time.Now()
	r.Merge(Page{Version: 20, Partial: true, Rows: []Row{row("a", 5), row("b", 19)}}, true, now)
	s = recordedUpdates{}
	r.Merge(Page{Version: 18, Partial: true, Rows: []Row{row("b", 7), row("c", 3)}}, true, now)
	must.Eq(t, recordedUpdates{rows: []string{"c"}, dropped: []string{"a"}}, s)
	got, _ := r.Stored("b")
	must.Eq(t, 19, got.Version)
	r.Merge(Page{Version: 19, Rows: []Row{{Key: "c", Version: 19, Removed: true}}}, false, now)
	_, listed := r.Stored("c")
	must.False(t, listed)
	// A whole table that is older is not accepted.
	r.Merge(Page{Version: 21, Rows: []Row{row("b", 19)}}, true, now)
	r.Merge(Page{Version: 17, Rows: []Row{row("z", 1)}}, true, now)
	_, listed = r.Stored("z")
	must.False(t, listed)
}

// Changes from the log match those from the rows: each row once, in its last state; far behind, all rows are scanned.
func TestRecentChangesMatchRows(t *testing.T) {
	r := NewReplica(func(Update) {})
	now := time.Now()
	r.Merge(Page{Version: 1, Rows: []Row{row("a", 1), row("b", 1)}}, true, now)
	version := int64(1)
	for range 3 * maxChanges {
		version++
		r.Merge(Page{Version: version, Rows: []Row{row([]string{"a", "b", "c"}[version%3], version)}}, false, now)
	}
	for _, behind := range []int64{1, 2, 3, 100, maxChanges / 2, 2 * maxChanges} {
		page, whole, _, _ := r.Since(PositionOf(1, version-behind))
		must.False(t, whole)
		must.Len(t, int(min(3, behind)), page.Rows, must.Sprint(behind))
		for _, row := range page.Rows {
			must.Greater(t, version-behind, row.Version)
		}
	}
	page, whole, _, _ := r.Since(PositionOf(1, 0))
	must.True(t, whole)
	must.Len(t, 3, page.Rows)
}

// A change that is no longer in the log still reaches a peer that is that far behind.
func TestChangeOlderThanLogIsReturned(t *testing.T) {
	r := NewReplica(func(Update) {})
	now := time.Now()
	r.Merge(Page{Version: 1, Rows: []Row{row("a", 1)}}, true, now)
	r.Merge(Page{Version: 2, Rows: []Row{row("seldom", 2)}}, false, now)
	for version := int64(3); version < 3*maxChanges; version++ {
		r.Merge(Page{Version: version, Rows: []Row{row("a", version)}}, false, now)
	}
	page, whole, _, _ := r.Since(PositionOf(1, 1))
	must.False(t, whole)
	must.Len(t, 2, page.Rows)
}
