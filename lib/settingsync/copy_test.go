package settingsync

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

// The table is restored from a backup that lacks accepted revisions, and operators commit new ones. An instance must not
// revert to the revision in the backup, and the next revision must come into force everywhere although it directly follows
// the backup's.
func TestRevisionsAfterTableRestoreComeIntoForce(t *testing.T) {
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

// The restore loses all revisions, and a first revision is committed again. It must get a new number and come into force
// at instances that hold the lost one.
func TestRestoreDoesNotReuseFirstRevisionNumber(t *testing.T) {
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
