package settingsync

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

// The table comes back from a copy that lacks accepted revisions. Operators commit others; what was in force at an instance must not go back
// to what the copy has, and the next revision must come into force everywhere although its number was the next after the copy's.
func TestRevisionsAfterACopyComeIntoForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		srv, table := newTable(standin.Config{})
		f := newFleet()
		defer f.stopAll()
		one, two := f.start(t.Context(), "one", table), f.start(t.Context(), "two", table)
		commit(t, table, 0, tree(1))
		time.Sleep(5 * time.Second)
		commit(t, table, 1, tree(2))
		time.Sleep(2 * time.Second)
		lost := commit(t, table, 2, tree(3))
		time.Sleep(5 * time.Second)
		must.Eq(t, lost.Revision, inForce(one))
		srv.SetFault(standin.Fault{Kind: standin.FaultRestore, DelayMS: 8000})
		time.Sleep(5 * time.Second)
		must.Eq(t, lost.Revision, inForce(one))
		after := commit(t, table, 1, tree(4))
		time.Sleep(5 * time.Second)
		for _, s := range []*Sync{one, two} {
			must.Eq(t, after.Revision, inForce(s))
			must.Eq(t, 4, s.Current().Snapshot.Policy("", "", "urgent").Priority)
		}
		must.Greater(t, lost.Revision, after.Revision)
		records, err := History(t.Context(), table, 10)
		must.NoError(t, err)
		must.Len(t, 2, records)
	})
}

// All revisions are lost with the copy, and the first is committed again. It gets a number of its own, and comes into force where the lost
// one is.
func TestFirstRevisionIsNotGivenOutTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		srv, table := newTable(standin.Config{})
		f := newFleet()
		defer f.stopAll()
		s := f.start(t.Context(), "one", table)
		time.Sleep(time.Second)
		lost := commit(t, table, 0, tree(1))
		time.Sleep(5 * time.Second)
		must.Eq(t, lost.Revision, inForce(s))
		srv.SetFault(standin.Fault{Kind: standin.FaultRestore, DelayMS: 5500})
		time.Sleep(2 * time.Second)
		after := commit(t, table, 0, tree(2))
		time.Sleep(5 * time.Second)
		must.Eq(t, after.Revision, inForce(s))
		must.Greater(t, lost.Revision, after.Revision)
	})
}
