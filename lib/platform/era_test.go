package platform_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/platformapi"
	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

func restoreTable(s *standin.Server, age time.Duration) {
	s.SetFault(standin.Fault{Kind: standin.FaultRestore, DelayMS: age.Milliseconds()})
}

// The table is restored from a backup, and another client writes the key again at the same revision. A write conditional on the old
// revision must not be reported as committed against the new one.
func TestConditionOfEarlierEraDoesNotHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := start(t, standin.Config{}, platform.Config{})
		other := platform.New(platform.Config{Addr: "127.0.0.1:1", Transport: s.Transport()})
		_, err := c.Txn(t.Context(), put("before", "x", 0))
		must.NoError(t, err)
		time.Sleep(time.Second)
		mine, err := c.Txn(t.Context(), put("k", "mine", 0))
		must.NoError(t, err)
		restoreTable(s, 500*time.Millisecond)
		theirs, err := other.Txn(t.Context(), put("k", "theirs", 0))
		must.NoError(t, err)
		must.Eq(t, platformapi.RevOf(mine.Rev), platformapi.RevOf(theirs.Rev))
		must.Greater(t, mine.Rev, theirs.Rev)

		// The client has not seen the new era yet: the table executes the write, and the response shows that eras differ.
		_, err = c.Txn(t.Context(), put("k", "late", mine.Rev))
		must.True(t, platform.IsUnknown(err))
		// It has seen the new era: the write is not sent, alone or in a group.
		_, err = c.Txn(t.Context(), put("k", "later", mine.Rev))
		must.True(t, platform.IsStaleEra(err))
		must.True(t, platform.IsNotCommitted(err))
		_, err = c.GroupTxn(t.Context(), put("k", "later", mine.Rev))
		must.True(t, platform.IsStaleEra(err))
		it, _, err := c.Get(t.Context(), "k")
		must.NoError(t, err)
		res, err := c.Txn(t.Context(), put("k", "again", it.Rev))
		must.NoError(t, err)
		must.True(t, res.Committed)
	})
}

// A reader follows keys by the last revision that it saw. After a restore from a backup it must get all items again, including those
// written below that revision.
func TestRangeRestartsAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := start(t, standin.Config{}, platform.Config{})
		for _, key := range []string{"p/a", "p/b", "p/c"} {
			_, err := c.Txn(t.Context(), put(key, "x", 0))
			must.NoError(t, err)
			time.Sleep(time.Second)
		}
		page, err := c.Range(t.Context(), "p/", 0, 0)
		must.NoError(t, err)
		must.Len(t, 3, page.Items)
		last := page.Items[2].Rev
		restoreTable(s, 2500*time.Millisecond)
		other := platform.New(platform.Config{Addr: "127.0.0.1:1", Transport: s.Transport()})
		_, err = other.Txn(t.Context(), put("p/d", "x", 0))
		must.NoError(t, err)
		for range 2 { // before and after the client has seen the new era
			page, err = c.Range(t.Context(), "p/", last, 0)
			must.NoError(t, err)
			must.Len(t, 2, page.Items)
			must.Eq(t, "p/d", page.Items[1].Key)
			must.Greater(t, last, page.Items[0].Rev)
		}
		page, err = c.Range(t.Context(), "p/", page.Items[1].Rev, 0)
		must.NoError(t, err)
		must.SliceEmpty(t, page.Items)
	})
}
