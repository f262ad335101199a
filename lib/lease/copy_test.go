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

// comesBack puts the table back to a copy of some time ago.
func (c *campaign) comesBack(age time.Duration) {
	c.s.SetFault(standin.Fault{Kind: standin.FaultRestore, DelayMS: age.Milliseconds()})
}

// write makes n writes of others, which give out revisions.
func (c *campaign) write(t *testing.T, l *link, n int) {
	t.Helper()
	for range n {
		_, err := l.Client.Txn(t.Context(), platformapi.Txn{Puts: []platformapi.Put{{Key: "other", Value: []byte("x")}}})
		must.NoError(t, err)
		time.Sleep(10 * time.Millisecond)
	}
}

// A lease changes hands in the seconds that a copy lacks, and again after the table's return. A target that refuses old fencing numbers
// obeys the last holder only if its number is higher than the lost one's.
func TestFencingNumberIsNotGivenOutTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCampaign(t, 0)
		other := newLink(c.s)
		c.write(t, other, 50)
		time.Sleep(time.Second)
		a := newLink(c.s)
		c.enter(c.ctx, a, "a")
		time.Sleep(3 * time.Second)
		a.cut.Store(true)
		c.comesBack(4 * time.Second)
		c.enter(c.ctx, newLink(c.s), "b")
		time.Sleep(time.Minute)
		terms := c.end()
		must.Len(t, 2, terms)
		must.Eq(t, "b", terms[1].who)
		must.Greater(t, terms[0].fence, terms[1].fence)
	})
}

// A holder dies and the table comes back from a copy with lower revisions. The one that waits must not take its reads for old ones for
// as long as it takes to write as many revisions again.
func TestLeaseIsWonAfterACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCampaign(t, 0)
		a := newLink(c.s)
		c.enter(c.ctx, a, "a")
		time.Sleep(time.Second)
		c.enter(c.ctx, newLink(c.s), "b")
		time.Sleep(2 * time.Second)
		c.write(t, newLink(c.s), 200)
		time.Sleep(3 * time.Second)
		a.cut.Store(true)
		c.comesBack(5 * time.Second)
		back := time.Now()
		time.Sleep(time.Minute)
		terms := c.end()
		must.Len(t, 2, terms)
		must.Between(t, 0, terms[1].start.Sub(back), 2*ttl)
	})
}

// The table comes back from a copy that has an older renewal of a term. The holder goes on, and what it writes under its term is taken.
func TestTermOutlivesACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCampaign(t, 0)
		a := newLink(c.s)
		held := make(chan *lease.Term, 1)
		c.wg.Go(func() {
			lease.Run(c.ctx, a, lease.Config{Name: "r", Holder: "a", TTL: ttl}, func(ctx context.Context, h *lease.Term) {
				held <- h
				<-ctx.Done()
			})
		})
		h := <-held
		c.enter(c.ctx, newLink(c.s), "b")
		time.Sleep(20 * time.Second)
		c.comesBack(5 * time.Second)
		_, _, err := a.Get(t.Context(), "other") // the holder hears of the new era before it renews
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
		must.SliceEmpty(t, c.end())
	})
}

// A lease was given back, and taken by another in the seconds that a copy lacks. In the copy it is free: whoever takes it then waits until
// the one whose term was lost has stopped.
func TestLeaseThatIsFreeInACopyIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCampaign(t, 0)
		first := newCampaign(t, 0)
		first.s = c.s
		first.enter(first.ctx, newLink(c.s), "before")
		time.Sleep(time.Second)
		must.Len(t, 1, first.end())
		time.Sleep(time.Second)
		holder := newLink(c.s)
		c.enter(c.ctx, holder, "a")
		time.Sleep(time.Second)
		holder.cut.Store(true) // it works on by what it knows
		c.comesBack(1500 * time.Millisecond)
		c.enter(c.ctx, newLink(c.s), "b")
		time.Sleep(time.Minute)
		terms := c.end()
		must.Len(t, 2, terms)
		must.True(t, terms[0].end.Before(terms[1].start))
	})
}
