package feed

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// shown collects what a replica shows.
type shown struct{ rows, removed, dropped []string }

func (s *shown) apply(u Update) {
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

// An instance needs other rows than before: those that it no longer needs are dropped, which says nothing of what they stand for. A
// target that was taken for one that left would be moved off and refused.
func TestRowsThatAreNoLongerNeededAreDropped(t *testing.T) {
	var s shown
	r := NewReplica(s.apply)
	now := time.Now()
	r.Merge(Page{Version: 10, Partial: true, Rows: []Row{row("a", 1), row("b", 2)}}, true, now)
	must.True(t, r.Partial())
	s = shown{}
	r.Merge(Page{Version: 11, Partial: true, Rows: []Row{row("b", 2), row("c", 3)}}, true, now)
	must.Eq(t, shown{rows: []string{"c"}, dropped: []string{"a"}}, s)
	s = shown{}
	r.Merge(Page{Version: 12, Rows: []Row{{Key: "b", Version: 12, Removed: true}}}, false, now)
	must.Eq(t, shown{removed: []string{"b"}}, s)
	r.Merge(Page{Version: 13, Rows: []Row{row("a", 1), row("c", 3), row("d", 4)}}, true, now)
	must.False(t, r.Partial())
	must.Eq(t, 3, r.Len())
}

// The next peer that tells an instance is a little behind the one before. What it needs now comes all the same, and no row goes back.
func TestPartOfAPeerThatIsBehind(t *testing.T) {
	var s shown
	r := NewReplica(s.apply)
	now := time.Now()
	r.Merge(Page{Version: 20, Partial: true, Rows: []Row{row("a", 5), row("b", 19)}}, true, now)
	s = shown{}
	r.Merge(Page{Version: 18, Partial: true, Rows: []Row{row("b", 7), row("c", 3)}}, true, now)
	must.Eq(t, shown{rows: []string{"c"}, dropped: []string{"a"}}, s)
	got, _ := r.Stored("b")
	must.Eq(t, 19, got.Version)
	r.Merge(Page{Version: 19, Rows: []Row{{Key: "c", Version: 19, Removed: true}}}, false, now)
	_, listed := r.Stored("c")
	must.False(t, listed)
	// A whole table goes back for nobody.
	r.Merge(Page{Version: 21, Rows: []Row{row("b", 19)}}, true, now)
	r.Merge(Page{Version: 17, Rows: []Row{row("z", 1)}}, true, now)
	_, listed = r.Stored("z")
	must.False(t, listed)
}

// Changes are told from the log as they are from the rows: each once, in its last state, and from far behind by a walk.
func TestRecentChangesAreTold(t *testing.T) {
	r := NewReplica(func(Update) {})
	now := time.Now()
	r.Merge(Page{Version: 1, Rows: []Row{row("a", 1), row("b", 1)}}, true, now)
	version := int64(1)
	for range 3 * changesMost {
		version++
		r.Merge(Page{Version: version, Rows: []Row{row([]string{"a", "b", "c"}[version%3], version)}}, false, now)
	}
	for _, behind := range []int64{1, 2, 3, 100, changesMost / 2, 2 * changesMost} {
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

// A change that the log has dropped since still reaches whoever is that far behind.
func TestChangeBeforeTheLogIsTold(t *testing.T) {
	r := NewReplica(func(Update) {})
	now := time.Now()
	r.Merge(Page{Version: 1, Rows: []Row{row("a", 1)}}, true, now)
	r.Merge(Page{Version: 2, Rows: []Row{row("seldom", 2)}}, false, now)
	for version := int64(3); version < 3*changesMost; version++ {
		r.Merge(Page{Version: version, Rows: []Row{row("a", version)}}, false, now)
	}
	page, whole, _, _ := r.Since(PositionOf(1, 1))
	must.False(t, whole)
	must.Len(t, 2, page.Rows)
}
