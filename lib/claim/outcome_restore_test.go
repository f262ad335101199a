package claim

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/platformapi"
	"anvilwick.example/anvilwick/lib/result"
	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

// hookedStore calls a hook in place of each operation that has one.
type hookedStore struct {
	Store
	txn func(context.Context, platformapi.Txn) (platformapi.TxnResult, error)
	get func(context.Context, string) (platformapi.Item, bool, error)
}

func (h *hookedStore) GroupTxn(ctx context.Context, txn platformapi.Txn) (platformapi.TxnResult, error) {
	if h.txn != nil {
		return h.txn(ctx, txn)
	}
	return h.Store.GroupTxn(ctx, txn)
}

func (h *hookedStore) Get(ctx context.Context, key string) (platformapi.Item, bool, error) {
	if h.get != nil {
		return h.get(ctx, key)
	}
	return h.Store.Get(ctx, key)
}

// hookStore puts a store without hooks between an entry and its table.
func hookStore(tab *Table) *hookedStore {
	h := &hookedStore{Store: tab.store}
	tab.store = h
	return h
}

// failFirstTxn makes the next transaction fail with an unknown outcome. It is not executed, and then is called before the failure.
func (h *hookedStore) failFirstTxn(then func()) {
	h.txn = func(context.Context, platformapi.Txn) (platformapi.TxnResult, error) {
		h.txn = nil
		then()
		return platformapi.TxnResult{}, platform.Unknown.New("answer lost")
	}
}

// rewriteAfterRestore notices a restore as Run does, and rewrites the entry's records.
func rewriteAfterRestore(t *testing.T, tab *Table) {
	t.Helper()
	tab.probeEra(t.Context())
	must.True(t, tab.rewriteAll(t.Context()))
}

// storedState returns the state of the record in the table.
func storedState(t *testing.T, s *standin.Server, key string) State {
	t.Helper()
	it, ok := s.Item(key)
	must.True(t, ok)
	r, err := decode(it)
	must.NoError(t, err)
	return r.State
}

// The answer to the write of an outcome is lost, the table is restored from a backup without the claim, and the repeated write finds no
// record. If the outcome were given up, the record "sent" would be rewritten and stay, and resends would get "outcome unknown".
func TestOutcomeRepeatedAfterRestoreIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a, b := entry(s, "a"), entry(s, "b", "a")
		c := mustSend(t, a, request("x"))
		hookStore(a).failFirstTxn(func() { restoreBackup(s, time.Hour) })
		mustFinish(t, a, c)
		rewriteAfterRestore(t, a)
		must.Eq(t, Finished, storedState(t, s, c.key))
		mustReplay(t, b, request("x"))
	})
}

// The table is restored from a backup without the claim, and the read that follows the failed write of its outcome fails too. That
// failure says nothing about the claim, so the outcome must not be given up.
func TestOutcomeSurvivesFailedReadAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a, b := entry(s, "a"), entry(s, "b", "a")
		c := mustSend(t, a, request("x"))
		restoreBackup(s, time.Hour)
		h := hookStore(a)
		h.get = func(context.Context, string) (platformapi.Item, bool, error) {
			h.get = nil
			return platformapi.Item{}, false, platform.Unavailable.New("read failed")
		}
		mustFinish(t, a, c)
		rewriteAfterRestore(t, a)
		mustReplay(t, b, request("x"))
	})
}

// An entry rewrites its records after a restore while the write of an outcome has taken effect and its answer is on the way. The retained
// record is still "sent" then, and must not replace the outcome.
func TestRewriteDoesNotReplaceOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a, b := entry(s, "a"), entry(s, "b", "a")
		c := mustSend(t, a, request("x"))
		restoreBackup(s, time.Hour)
		a.probeEra(t.Context())
		h := hookStore(a)
		h.txn = func(ctx context.Context, txn platformapi.Txn) (platformapi.TxnResult, error) {
			res, err := h.Store.GroupTxn(ctx, txn)
			if res.Committed {
				h.txn = nil
				must.True(t, a.rewriteAll(ctx))
			}
			return res, err
		}
		mustFinish(t, a, c)
		must.Eq(t, Finished, storedState(t, s, c.key))
		mustReplay(t, b, request("x"))
	})
}

// After a restore without the claim, another entry begins the same key before the first has rewritten its record. The other's claim is
// released because of the restore. The outcome of the run must wait for that instead of being given up.
func TestOutcomeWaitsForClaimBegunAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a, b, other := entry(s, "a"), entry(s, "b", "a"), entry(s, "c")
		c := mustSend(t, a, request("x"))
		restoreBackup(s, time.Hour)
		a.probeEra(t.Context()) // its revisions may identify other writes now, and are not sent
		other.probeEra(t.Context())
		begun := mustBegin(t, other, request("x"))
		c.Finish(Summary{Code: result.OK, Status: 200, Body: []byte("done"), Kept: true})
		time.Sleep(time.Second)
		must.Eq(t, Started, storedState(t, s, c.key))
		begun.Release()
		mustFlush(t, other)
		mustFlush(t, a)
		mustReplay(t, b, request("x"))
	})
}

// Another entry has sent the same key after a restore that lost the first claim. Its record must stay, and the first entry must not try
// to write its outcome for as long as it lives.
func TestOutcomeDoesNotReplaceLaterSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a, other := entry(s, "a"), entry(s, "c")
		c := mustSend(t, a, request("x"))
		restoreBackup(s, time.Hour)
		a.probeEra(t.Context())
		other.probeEra(t.Context())
		mustSend(t, other, request("x"))
		mustFinish(t, a, c)
		must.Zero(t, a.Unsettled())
		must.Eq(t, Sent, storedState(t, s, c.key))
		must.Eq(t, result.StoreDown, refusal(t, a, request("x"))) // the first since the restore
		time.Sleep(settlePeriod)
		must.Eq(t, result.AlreadyRunning, refusal(t, a, request("x")))
	})
}

// Another entry's claim, begun after a restore, is neither sent nor released. The tries to write the outcome must end, or each such claim
// would occupy memory and capacity of the table until the process ends.
func TestOutcomeBlockedByBegunClaimIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a, other := entry(s, "a"), entry(s, "c")
		c := mustSend(t, a, request("x"))
		restoreBackup(s, time.Hour)
		a.probeEra(t.Context())
		other.probeEra(t.Context())
		mustBegin(t, other, request("x"))
		c.Finish(Summary{Code: result.OK, Status: 200})
		time.Sleep(2 * time.Minute)
		must.Zero(t, a.Unsettled())
	})
}

// The table is restored from a backup without a claim, and another entry sends the same key and dies. When the first claim is released,
// the key must not become free: the other's request may have run.
func TestReleaseAfterRestoreDoesNotFreeLaterSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a, b, other := entry(s, "a", "c"), entry(s, "b", "a", "c"), entry(s, "c")
		c := mustSend(t, a, request("x"))
		restoreBackup(s, time.Hour)
		a.probeEra(t.Context())
		other.probeEra(t.Context())
		mustSend(t, other, request("x"))
		c.Release()
		mustFlush(t, a)
		rewriteAfterRestore(t, a)
		b.probeEra(t.Context())
		must.Eq(t, result.ClaimOrphan, refusal(t, b, request("x")))
	})
}

// A claim was released, and its key was sent by another entry; the table is restored to a state in which the first claim is still sent.
// If the other entry took that record for a later one, the first would release it again, and the key would be free to run twice.
func TestSendAfterReleaseSurvivesRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a, b, other := entry(s, "a"), entry(s, "b"), entry(s, "c")
		go other.Run(t.Context()) // before the first holder, so that it finds the record of the backup
		time.Sleep(time.Millisecond)
		go a.Run(t.Context())
		time.Sleep(time.Second)
		released := mustSend(t, a, request("x"))
		time.Sleep(500 * time.Millisecond)
		released.Release()
		mustFlush(t, a)
		c := mustSend(t, other, request("x"))
		restoreBackup(s, 200*time.Millisecond)
		must.Eq(t, Sent, storedState(t, s, c.key))
		time.Sleep(10 * time.Second)
		b.probeEra(t.Context())
		must.Eq(t, result.AlreadyRunning, refusal(t, b, request("x")))
		mustFinish(t, other, c)
		mustReplay(t, b, request("x"))
	})
}

// The table is restored from a backup without a claim that was begun, and another entry sends the same key and dies. The first claim must
// not be sent then: the other's request may have run.
func TestBegunClaimIsNotSentOverLaterSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a, other := entry(s, "a", "c"), entry(s, "c")
		c := mustBegin(t, a, request("x"))
		restoreBackup(s, time.Hour)
		a.probeEra(t.Context())
		other.probeEra(t.Context())
		mustSend(t, other, request("x"))
		err := c.MarkSent(t.Context(), "svc", 1)
		must.NotNil(t, err)
		must.Eq(t, result.AlreadyRunning, err.Code)
		must.Eq(t, Sent, storedState(t, s, c.key))
	})
}

// mustBeHeld expects that a generation can't be taken over by a further entry, and that the outcome of its runner is kept.
func mustBeHeld(t *testing.T, s *standin.Server, req Request, used uint32, runner *Table, c *Claim) {
	t.Helper()
	further := entry(s, "d", "x")
	further.probeEra(t.Context())
	_, sum, err := further.TakeOver(t.Context(), req, used)
	must.Nil(t, sum)
	must.NotNil(t, err)
	must.Eq(t, result.AlreadyRunning, err.Code)
	mustFinish(t, runner, c)
	mustReplay(t, further, request("x"))
}

// An entry continues a generation whose first entry is alive and had stopped it. The table is restored to the state before. If the first
// entry's record counted as the later one, a third entry would continue the generation too.
func TestTakeOverSurvivesRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a, b := entry(s, "a"), entry(s, "b")
		go a.Run(t.Context())
		go b.Run(t.Context())
		time.Sleep(time.Second)
		req := request("x")
		req.Owner = a.cfg.Holder
		stopped := mustBegin(t, a, req)
		must.Nil(t, stopped.MarkSent(t.Context(), "engine-1", 1))
		stopped.Finish(Summary{Code: result.CallerGone, Status: 499})
		mustFlush(t, a)
		time.Sleep(500 * time.Millisecond)
		c, _, err := b.TakeOver(t.Context(), req, 17)
		must.Nil(t, err)
		restoreBackup(s, 200*time.Millisecond)
		time.Sleep(10 * time.Second)
		mustBeHeld(t, s, req, 17, b, c)
	})
}

// A takeover is lost in a restore, and another entry, which has not noticed the restore, takes over the same record. It must give it back:
// two entries would continue the generation.
func TestTakeOverDuringRestoreIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a, b := entry(s, "a", "x"), entry(s, "b", "x")
		go a.Run(t.Context())
		go b.Run(t.Context())
		time.Sleep(time.Second)
		req := sentBy(t, entry(s, "x"), 1)
		time.Sleep(500 * time.Millisecond)
		c, _, err := a.TakeOver(t.Context(), req, 17)
		must.Nil(t, err)
		restoreBackup(s, 200*time.Millisecond)
		_, _, err = b.TakeOver(t.Context(), req, 17)
		must.NotNil(t, err)
		must.Eq(t, result.StoreDown, err.Code)
		time.Sleep(10 * time.Second)
		mustBeHeld(t, s, req, 17, a, c)
	})
}
