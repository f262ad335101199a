package feed

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

func keys(rows []Row) []string {
	var out []string
	for _, r := range rows {
		if !r.Removed {
			out = append(out, r.Key)
		}
	}
	return out
}

// A version in force never goes back, whether the older one comes from a stale read or from a peer that was cut off. Nothing is
// shown and the state does not change.
func TestReplicaNeverGoesBack(t *testing.T) {
	var shown []Update
	r := NewReplica(func(u Update) { shown = append(shown, u) })
	now := time.Now()
	r.Merge(Page{Version: 9, Rows: []Row{{Key: "a", Value: []byte("new"), Version: 9}}}, true, now)
	r.Merge(Page{Version: 8, Rows: []Row{{Key: "a", Value: []byte("old"), Version: 4}}}, true, now)
	r.Merge(Page{Version: 12, Rows: []Row{{Key: "a", Value: []byte("old"), Version: 4}}}, false, now)
	must.Len(t, 1, shown)
	page, _, _, _ := r.Since(PositionOf(0, 0))
	must.Eq(t, "new", string(page.Rows[0].Value))
	version, known := r.Version()
	must.True(t, known)
	must.Eq(t, 12, version)
}

// Changes received before the first whole table are not a state to act on.
func TestReplicaIgnoresChangesBeforeFirstSnapshot(t *testing.T) {
	r := NewReplica(func(Update) { t.Fatal("shown") })
	r.Merge(Page{Version: 3, Rows: []Row{{Key: "a", Version: 3}}}, false, time.Now())
	_, known := r.Version()
	must.False(t, known)
}

// Rows missing from a whole table are removed, and peers get the removals as changes.
func TestMissingRowsAreReturnedAsRemoved(t *testing.T) {
	var last Update
	r := NewReplica(func(u Update) { last = u })
	now := time.Now()
	r.Merge(Page{Version: 5, Rows: []Row{{Key: "a", Version: 1}, {Key: "b", Version: 5}}}, true, now)
	r.Merge(Page{Version: 8, Rows: []Row{{Key: "b", Version: 5}}}, true, now)
	must.Eq(t, []Row{{Key: "a", Version: 8, Removed: true}}, last.Rows)
	page, whole, _, _ := r.Since(PositionOf(0, 5))
	must.False(t, whole)
	must.Eq(t, []Row{{Key: "a", Version: 8, Removed: true}}, page.Rows)
	page, whole, _, _ = r.Since(PositionOf(0, 0))
	must.True(t, whole)
	must.Eq(t, []string{"b"}, keys(page.Rows))
	_, whole, _, _ = r.Since(PositionOf(0, 3)) // removals before its first version are unknown
	must.True(t, whole)
}

// A peer that asks for changes from before forgotten removals gets the whole table, so that it misses no removal.
func TestWholeTableAfterForgottenRemovals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewReplica(func(Update) {})
		r.Merge(Page{Version: 1, Rows: []Row{{Key: "a", Version: 1}}}, true, time.Now())
		r.Merge(Page{Version: 2, Rows: []Row{{Key: "a", Version: 2, Removed: true}}}, false, time.Now())
		time.Sleep(tombstoneTTL + time.Second)
		r.Merge(Page{Version: 3, Rows: []Row{{Key: "b", Version: 3}}}, false, time.Now())
		_, whole, _, _ := r.Since(PositionOf(0, 1))
		must.True(t, whole)
		_, whole, _, _ = r.Since(PositionOf(0, 2))
		must.False(t, whole)
	})
}

// The first update after an outage of the store says how long it lasted, so that entries which expired meanwhile are trusted for a
// while. The time between two ordinary polls is no outage.
func TestOutageDurationIsReported(t *testing.T) {
	var outages []time.Duration
	r := NewReplica(func(u Update) { outages = append(outages, u.Outage) })
	contact := time.Now()
	r.Merge(Page{Version: 1}, true, contact)
	contact = contact.Add(DefaultOptions.Wait)
	r.Merge(Page{Version: 2, Rows: []Row{{Key: "a", Version: 2}}}, false, contact)
	contact = contact.Add(4 * time.Second)
	r.Merge(Page{Version: 3, Rows: []Row{{Key: "a", Version: 3, Removed: true}}}, false, contact)
	must.Eq(t, []time.Duration{0, 0, 4 * time.Second}, outages)
}

// A whole table from a lagging peer or store replica lacks a row that was added since. The row and the version stay.
func TestOlderWholeTableRemovesNothing(t *testing.T) {
	r := NewReplica(func(Update) {})
	now := time.Now()
	r.Merge(Page{Version: 9, Rows: []Row{{Key: "a", Version: 1}, {Key: "b", Version: 9}}}, true, now)
	r.Merge(Page{Version: 8, Rows: []Row{{Key: "a", Version: 1}}}, true, now)
	page, _, _, _ := r.Since(PositionOf(0, 0))
	must.Len(t, 2, page.Rows)
	must.Eq(t, 9, page.Version)
}
