package lease_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/lease"
	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/platformapi"
	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

// restoreBackup restores the table from a backup of the given age.
func (c *election) restoreBackup(age time.Duration) {
	c.s.SetFault(standin.Fault{Kind: standin.FaultRestore, DelayMS: age.Milliseconds()})
}

// writeUnrelated makes n unrelated writes, each of which uses a revision.
func (c *election) writeUnrelated(t *testing.T, l *link, n int) {
	t.Helper()
	for range n {
		_, err := l.Client.Txn(t.Context(), platformapi.Txn{Puts: []platformapi.Put{{Key: "other", Value: []byte("x")}}})
		must.NoError(t, err)
		time.Sleep(10 * time.Millisecond)
	}
}

// A lease changes hands after the backup was taken, and again after the restore. A target that rejects old fencing numbers obeys the
// last holder only if its number is higher than the lost one.
func TestFencingNumberIsNotReusedAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newElection(t, 0)
		other := newLink(c.s)
		c.writeUnrelated(t, other, 50)
		time.Sleep(time.Second)
		a := newLink(c.s)
		c.addCandidate(c.ctx, a, "a")
		time.Sleep(3 * time.Second)
		a.cut.Store(true)
		c.restoreBackup(4 * time.Second)
		c.addCandidate(c.ctx, newLink(c.s), "b")
		time.Sleep(time.Minute)
		terms := c.stop()
		must.Len(t, 2, terms)
		must.Eq(t, "b", terms[1].holder)
		must.Greater(t, terms[0].fence, terms[1].fence)
	})
}

// A holder dies, and the table is restored from a backup with lower revisions. The waiting process must not treat its reads as stale
// until as many revisions have been written again.
func TestLeaseIsAcquiredAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newElection(t, 0)
		a := newLink(c.s)
		c.addCandidate(c.ctx, a, "a")
		time.Sleep(time.Second)
		c.addCandidate(c.ctx, newLink(c.s), "b")
		time.Sleep(2 * time.Second)
		c.writeUnrelated(t, newLink(c.s), 200)
		time.Sleep(3 * time.Second)
		a.cut.Store(true)
		c.restoreBackup(5 * time.Second)
		restored := time.Now()
		time.Sleep(time.Minute)
		terms := c.stop()
		must.Len(t, 2, terms)
		must.Between(t, 0, terms[1].start.Sub(restored), 2*ttl)
	})
}

// The table is restored from a backup that has an older renewal of a term. The holder continues, and its writes are accepted.
func TestTermSurvivesRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newElection(t, 0)
		a := newLink(c.s)
		held := make(chan *lease.Term, 1)
		c.wg.Go(func() {
			lease.Run(c.ctx, a, lease.Config{Name: "r", Holder: "a", TTL: ttl}, func(ctx context.Context, h *lease.Term) {
				held <- h
				<-ctx.Done()
			})
		})
		h := <-held
		c.addCandidate(c.ctx, newLink(c.s), "b")
		time.Sleep(20 * time.Second)
		c.restoreBackup(5 * time.Second)
		_, _, err := a.Get(t.Context(), "other") // the holder learns of the new era before it renews
		must.NoError(t, err)
		under := platformapi.Txn{Conds: []platformapi.Cond{h.Cond()}, Puts: []platformapi.Put{{Key: "work"}}}
		_, err = a.Txn(t.Context(), under)
		must.True(t, platform.IsStaleEra(err))
		time.Sleep(ttl / 2)
		under.Conds = []platformapi.Cond{h.Cond()}
		res, err := a.Txn(t.Context(), under)
		must.NoError(t, err)
		must.True(t, res.Committed)
		time.Sleep(30 * time.Second)
		must.True(t, h.Valid())
		must.SliceEmpty(t, c.stop())
	})
}

// A lease was released, and acquired by another process after the backup was taken. In the restored table it is free: a process that
// acquires it must wait until the holder whose term was lost has stopped.
func TestLeaseFreeInRestoredTableIsNotAcquiredBeforeTTL(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newElection(t, 0)
		first := newElection(t, 0)
		first.s = c.s
		first.addCandidate(first.ctx, newLink(c.s), "before")
		time.Sleep(time.Second)
		must.Len(t, 1, first.stop())
		time.Sleep(time.Second)
		holder := newLink(c.s)
		c.addCandidate(c.ctx, holder, "a")
		time.Sleep(time.Second)
		holder.cut.Store(true) // it continues with its last known state
		c.restoreBackup(1500 * time.Millisecond)
		c.addCandidate(c.ctx, newLink(c.s), "b")
		time.Sleep(time.Minute)
		terms := c.stop()
		must.Len(t, 2, terms)
		must.True(t, terms[0].end.Before(terms[1].start))
	})
}
