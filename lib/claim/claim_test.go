package claim

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/platformapi"
	"anvilwick.example/anvilwick/lib/result"
	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

func client(s *standin.Server) *platform.Client {
	return platform.New(platform.Config{Addr: "127.0.0.1:1", Transport: s.Transport()})
}

// entry returns the claims of one entry; gone lists the entries that membership considers dead.
func entry(s *standin.Server, name string, gone ...string) *Table {
	return New(client(s), Config{
		Holder:     Holder{Instance: name, Incarnation: 1},
		HolderGone: func(h Holder) bool { return slices.Contains(gone, h.Instance) },
	})
}

func request(body string) Request {
	return Request{
		Workspace:   "kelburn/roads",
		Key:         "key-1",
		Fingerprint: Fingerprint("POST", "/crews", []byte(body)),
		Generation:  ids.New().String(),
	}
}

func mustBegin(t *testing.T, tab *Table, req Request) *Claim {
	t.Helper()
	c, sum, err := tab.Begin(t.Context(), req)
	must.Nil(t, err)
	must.Nil(t, sum)
	return c
}

func refusal(t *testing.T, tab *Table, req Request) result.Code {
	t.Helper()
	c, sum, err := tab.Begin(t.Context(), req)
	must.Nil(t, c)
	must.Nil(t, sum)
	must.NotNil(t, err)
	return err.Code
}

// mustSend begins a claim and marks its request as sent.
func mustSend(t *testing.T, tab *Table, req Request) *Claim {
	t.Helper()
	c := mustBegin(t, tab, req)
	must.Nil(t, c.MarkSent(t.Context(), "svc", c.FirstAttempt()))
	return c
}

// mustFinish ends a claim's run with an answer, and waits until the table has it.
func mustFinish(t *testing.T, tab *Table, c *Claim) {
	t.Helper()
	c.Finish(Summary{Code: result.OK, Status: 200, Body: []byte("done"), Kept: true})
	mustFlush(t, tab)
}

// mustReplay begins a claim and expects the answer given by mustFinish.
func mustReplay(t *testing.T, tab *Table, req Request) {
	t.Helper()
	_, sum, err := tab.Begin(t.Context(), req)
	must.Nil(t, err)
	must.Eq(t, "done", string(sum.Body))
}

func mustFlush(t *testing.T, tab *Table) {
	t.Helper()
	must.NoError(t, tab.Flush(t.Context()))
}

// A resend gets the first outcome: at the same entry before the table has it, and at another entry from the table.
func TestFinishedClaimIsReplayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{AnswerDelay: 10 * time.Millisecond})
		a, b := entry(s, "a"), entry(s, "b")
		c := mustSend(t, a, request("x"))
		c.Finish(Summary{Code: result.OK, Status: 200, Body: []byte("done"), Kept: true})
		_, sum, err := a.Begin(t.Context(), request("x"))
		must.Nil(t, err)
		must.Eq(t, "done", string(sum.Body))
		mustFlush(t, a)
		must.Zero(t, a.Unsettled())
		_, sum, err = b.Begin(t.Context(), request("x"))
		must.Nil(t, err)
		must.Eq(t, "done", string(sum.Body))
		must.Eq(t, result.KeyReused, refusal(t, b, request("y")))
		must.Zero(t, b.Unsettled())
	})
}

func TestLongAnswerIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := entry(standin.New(standin.Config{}), "a")
		c := mustSend(t, a, request("x"))
		c.Finish(Summary{Code: result.OK, Status: 200, Body: make([]byte, DefaultMaxBody+1), Kept: true})
		mustFlush(t, a)
		_, sum, err := a.Begin(t.Context(), request("x"))
		must.Nil(t, err)
		must.False(t, sum.Kept)
		must.Len(t, 0, sum.Body)
	})
}

// The caller resends its request while it runs, through the same entry and through another. Neither runs it a second time; both report
// that the resend was not run.
func TestResendWhileRunningIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a, b := entry(s, "a"), entry(s, "b")
		c := mustBegin(t, a, request("x"))
		must.Eq(t, result.AlreadyRunning, refusal(t, a, request("x")))
		must.Eq(t, result.AlreadyRunning, refusal(t, b, request("x")))
		must.Eq(t, result.KeyReused, refusal(t, a, request("y")))
		must.Nil(t, c.MarkSent(t.Context(), "svc", 1))
		must.Eq(t, result.AlreadyRunning, refusal(t, b, request("x")))
	})
}

// The entry dies between claim and send, and the caller resends through another. Nothing was sent, so the other entry runs it. If the
// first entry was only paused, its send is refused because of the record that it no longer holds.
func TestEntryDiesBetweenClaimAndSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a, b := entry(s, "a"), entry(s, "b", "a")
		paused := mustBegin(t, a, request("x"))
		mustSend(t, b, request("x"))
		err := paused.MarkSent(t.Context(), "svc", 1)
		must.NotNil(t, err)
		must.Eq(t, result.AlreadyRunning, err.Code)
		must.Zero(t, a.Unsettled())
	})
}

// The entry dies between send and finish, so it is unknown whether the target ran the request. The resend reports that, and runs
// nothing: a second crew sent to the same place is worse than a question to an operator.
func TestEntryDiesBetweenSendAndFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a, b := entry(s, "a"), entry(s, "b", "a")
		mustSend(t, a, request("x"))
		must.Eq(t, result.ClaimOrphan, refusal(t, b, request("x")))
		must.Eq(t, result.ClaimOrphan, refusal(t, b, request("x")))
	})
}

// As before, but the target proves that the attempt never ran and never will: the resend runs, as a later attempt.
func TestResendRunsAfterTargetProvesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a, b := entry(s, "a"), entry(s, "b", "a")
		var queried PriorSend
		b.cfg.ProveNotRun = func(_ context.Context, s PriorSend) bool {
			queried = s
			return true
		}
		req := request("x")
		first := mustBegin(t, a, req)
		must.Nil(t, first.MarkSent(t.Context(), "engine-1", 4))
		c := mustBegin(t, b, request("x"))
		must.Eq(t, PriorSend{Generation: req.Generation, Target: "engine-1", Attempt: 4}, queried)
		must.Eq(t, 5, c.FirstAttempt())
	})
}

// The answer to the insert is lost, and so is each answer that would resolve it, until the claim is abandoned. The caller gets "not run",
// which stays true. The record in the table is released once answers arrive again, so that the caller's next try is not treated as a
// duplicate.
func TestInsertWithLostAnswerIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a, b := entry(s, "a"), entry(s, "b")
		s.SetFault(standin.Fault{Kind: standin.FaultLoseAnswer, DurationMS: 20_000})
		must.Eq(t, result.StoreDown, refusal(t, a, request("x")))
		it, ok := s.Item(tableKey("kelburn/roads", "key-1"))
		must.True(t, ok)
		must.StrContains(t, string(it.Value), string(Started))
		must.NotEq(t, 0, a.Unsettled())
		time.Sleep(time.Minute)
		mustFlush(t, a)
		must.NotNil(t, mustBegin(t, b, request("x")))
	})
}

// The store goes down while a request runs, and stays down for three hours. The caller gets its answer; a resend at the same entry gets
// it from memory. New claims are refused at once, not run. After the outage the outcome is written, and a resend elsewhere gets it too.
func TestOutcomeSurvivesLongStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a, b := entry(s, "a"), entry(s, "b", "a")
		c := mustSend(t, a, request("x"))
		s.SetFault(standin.Fault{Kind: standin.FaultOutage, DurationMS: (3 * time.Hour).Milliseconds()})
		c.Finish(Summary{Code: result.OK, Status: 200, Body: []byte("done"), Kept: true})
		for i := range 20 {
			time.Sleep(5 * time.Minute)
			other := request("x")
			other.Key = fmt.Sprint("other-", i)
			from := time.Now()
			must.Eq(t, result.StoreDown, refusal(t, a, other))
			must.LessEq(t, DefaultTimeout, time.Since(from))
			_, sum, err := a.Begin(t.Context(), request("x"))
			must.Nil(t, err)
			must.Eq(t, "done", string(sum.Body))
		}
		time.Sleep(2 * time.Hour)
		mustFlush(t, a)
		_, sum, err := b.Begin(t.Context(), request("x"))
		must.Nil(t, err)
		must.Eq(t, "done", string(sum.Body))
	})
}

// The write of MarkSent takes effect, but its answer is lost as the store goes down. Without that answer nothing may be sent to the
// target; the claim is released later, since nothing was.
func TestMarkSentWithLostAnswerRefusesSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a, b := entry(s, "a"), entry(s, "b", "a")
		c := mustBegin(t, a, request("x"))
		s.SetFault(standin.Fault{Kind: standin.FaultLoseAnswer, DurationMS: 10_000})
		err := c.MarkSent(t.Context(), "svc", 1)
		must.NotNil(t, err)
		must.Eq(t, result.StoreDown, err.Code)
		must.Eq(t, result.NotRun, result.Lookup(err.Code).Outcome)
		time.Sleep(time.Minute)
		mustFlush(t, a)
		must.NotNil(t, mustBegin(t, b, request("x")))
	})
}

// The store loses all answers for minutes while hundreds of callers arrive at a time. Each leaves a claim that may exist in the table;
// without a bound they would exhaust the memory of a small instance.
func TestAbandonedClaimsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a := entry(s, "a")
		cfg := platform.Config{Addr: "127.0.0.1:1", Transport: s.Transport(), BreakerAfter: 1 << 30}
		a.cfg.MaxUnsettled = 100
		a.store = platform.New(cfg) // the breaker would prevent most of the lost answers
		s.SetFault(standin.Fault{Kind: standin.FaultLoseAnswer, DurationMS: (5 * time.Minute).Milliseconds()})
		for range 4 {
			var wg sync.WaitGroup
			for range 100 {
				req := request("x")
				req.Key = req.Generation
				wg.Go(func() { must.Eq(t, result.StoreDown, refusal(t, a, req)) })
			}
			wg.Wait()
		}
		must.Between(t, 1, a.Unsettled(), 100)
		time.Sleep(2 * time.Hour)
		must.Zero(t, a.Unsettled())
	})
}

func TestCollectKeepsRecentAndUnfinishedClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a := entry(s, "a")
		for i := range 120 {
			req := request("x")
			req.Key = fmt.Sprint("old-", i)
			c := mustBegin(t, a, req)
			must.Nil(t, c.MarkSent(t.Context(), "svc", 1))
			if i > 0 {
				c.Finish(Summary{Code: result.OK, Status: 200})
			}
		}
		mustFlush(t, a)
		time.Sleep(Retention)
		mustBegin(t, a, request("young"))
		n, err := Collect(t.Context(), client(s), nil, time.Now())
		must.NoError(t, err)
		must.Eq(t, 119, n)
		time.Sleep(OrphanRetention)
		n, err = Collect(t.Context(), client(s), []platformapi.Cond{{Key: "lease/gc/fence", Rev: 9}}, time.Now())
		must.NoError(t, err)
		must.Zero(t, n) // the guard's condition does not hold
		n, err = Collect(t.Context(), client(s), nil, time.Now())
		must.NoError(t, err)
		must.Eq(t, 2, n)
	})
}

// An entry that sends under an attempt number it has used, or after it ended its claim, is faulty. It is stopped before anything is
// sent, since another entry may run the request by then.
func TestSendOutOfOrderIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := entry(standin.New(standin.Config{}), "a")
		c := mustBegin(t, a, request("x"))
		must.Nil(t, c.MarkSent(t.Context(), "engine-1", 1))
		err := c.MarkSent(t.Context(), "engine-2", 1)
		must.NotNil(t, err)
		must.Eq(t, result.InvariantBroken, err.Code)
		c.Release()
		err = c.MarkSent(t.Context(), "engine-2", 2)
		must.NotNil(t, err)
		must.Eq(t, result.InvariantBroken, err.Code)
		mustFlush(t, a)
	})
}

// A record that is finished without an outcome, as written by a later version or left by a damaged table, must not count as free to run:
// the request ran.
func TestFinishedWithoutOutcomeIsNotRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		req := request("x")
		rec := record{State: Finished, Fingerprint: req.Fingerprint, Holder: Holder{Instance: "b", Incarnation: 1}}
		_, err := client(s).Txn(t.Context(), platformapi.Txn{
			Puts: []platformapi.Put{{Key: tableKey(req.Workspace, req.Key), Value: rec.encode()}},
		})
		must.NoError(t, err)
		must.Eq(t, result.ClaimOrphan, refusal(t, entry(s, "a", "b"), req))
	})
}

// An entry is stopped for a send out of order. Only that request may be affected: if the claim stayed in progress, each resend of the key
// at this entry would get "in progress" until the process ends.
func TestStoppedSendDoesNotBlockItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := entry(standin.New(standin.Config{}), "a")
		must.NotNil(t, mustBegin(t, a, request("x")).MarkSent(t.Context(), "engine-1", 0))
		must.Eq(t, 0, a.Unsettled())
		must.NotNil(t, mustBegin(t, a, request("x")))
	})
}

// An attempt may have run, and the store is down when the next is to be marked. The claim must not be released: the key would be free
// although its request may have run. It is finished, and resends get that outcome once the store is back.
func TestMarkResentDuringOutageDoesNotRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a, b := entry(s, "a"), entry(s, "b", "a")
		c := mustBegin(t, a, request("x"))
		must.Nil(t, c.MarkSent(t.Context(), "engine-1", 1))
		must.Nil(t, c.MarkResent(t.Context(), "engine-2", 2))
		it, _ := s.Item(tableKey("kelburn/roads", "key-1"))
		must.StrContains(t, string(it.Value), `"target":"engine-2"`)
		s.SetFault(standin.Fault{Kind: standin.FaultOutage, DurationMS: 20_000})
		err := c.MarkResent(t.Context(), "engine-3", 3)
		must.NotNil(t, err)
		must.Eq(t, result.StoreDown, err.Code)
		c.Finish(Summary{Code: result.TargetFailed, Status: 502})
		time.Sleep(time.Minute)
		mustFlush(t, a)
		_, sum, _ := b.Begin(t.Context(), request("x"))
		must.NotNil(t, sum)
		must.Eq(t, result.TargetFailed, sum.Code)
	})
}
