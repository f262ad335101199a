package settingsync

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/platformapi"
	"anvilwick.example/anvilwick/lib/settings"
	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

func TestCommitAndReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, table := newTable(standin.Config{})
		for n := range uint64(3) {
			must.Eq(t, n+1, commit(t, table, n, tree(int(n))).Revision)
		}
		text, rec, err := ReadText(t.Context(), table, 2)
		must.NoError(t, err)
		must.Eq(t, string(tree(1)), string(text))
		must.Eq(t, 1, rec.FullRevision)
		newest, err := Newest(t.Context(), table)
		must.NoError(t, err)
		must.Eq(t, 3, newest)
		recs, err := History(t.Context(), table, 2)
		must.NoError(t, err)
		must.Eq(t, []uint64{3, 2}, []uint64{recs[0].Revision, recs[1].Revision})
	})
}

func TestCommitRejectsInvalidSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, table := newTable(standin.Config{})
		_, err := Commit(t.Context(), table, change(0, []byte("site: {colour: red}")))
		var refusal *settings.ValidationError
		must.True(t, errors.As(err, &refusal))
		_, found := s.Item(platformapi.KeySettingsHead)
		must.False(t, found)
	})
}

func TestCommitOfSameTextIsUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, table := newTable(standin.Config{})
		commit(t, table, 0, tree(1))
		_, err := Commit(t.Context(), table, change(1, tree(1)))
		must.True(t, errorx.IsOfType(err, Unchanged))
	})
}

// Two operators edit the same revision. Without the condition on the head the second commit would silently undo the
// first; it must fail and report who committed the conflicting revision, when and why.
func TestConcurrentCommitReturnsConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, table := newTable(standin.Config{})
		commit(t, table, 0, tree(1))
		first := change(1, tree(2))
		first.Operator, first.Note = "aline", "raise urgent"
		_, err := Commit(t.Context(), table, first)
		must.NoError(t, err)
		_, err = Commit(t.Context(), table, change(1, tree(3)))
		var c *Conflict
		must.True(t, errors.As(err, &c))
		must.Eq(t, 2, c.Head)
		must.Len(t, 1, c.Between)
		must.Eq(t, "aline", c.Between[0].Operator)
		must.Eq(t, "raise urgent", c.Between[0].Note)
		must.StrContains(t, err.Error(), "revision 1 is no longer the newest, 2 is, committed by aline at ")
	})
}

// An operator reads from a lagging replica that still shows revision 1 when 2 is committed. A change made from 2 must not
// be refused, and a change made from 1 must conflict.
func TestCommitWithStaleHeadRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, table := newTable(standin.Config{})
		commit(t, table, 0, tree(1))
		time.Sleep(time.Minute)
		commit(t, table, 1, tree(2))
		s.SetFault(standin.Fault{Kind: standin.FaultStaleReads, DelayMS: 30_000})
		_, err := Commit(t.Context(), table, change(1, tree(4)))
		var c *Conflict
		must.True(t, errors.As(err, &c))
		must.Eq(t, 2, c.Head)
		must.Eq(t, 3, commit(t, table, 2, tree(3)).Revision)
	})
}

// The commit takes effect but the reply is lost. If it were reported as failed, the operator would commit again over it or
// assume the old settings in force. Resolved by operation ID, it is one revision, reported as committed.
func TestLostReplyCommitsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, table := newTable(standin.Config{})
		commit(t, table, 0, tree(1))
		s.SetFault(standin.Fault{Kind: standin.FaultLoseAnswer, Count: 1, WritesOnly: true})
		must.Eq(t, 2, commit(t, table, 1, tree(2)).Revision)
		newest, err := Newest(t.Context(), table)
		must.NoError(t, err)
		must.Eq(t, 2, newest)
	})
}

// The reply is lost and then the store is down for longer than the platform client retries. The commit must not report
// failure: it retries until the store is back and finds its own revision.
func TestLostReplyBeforeOutageCommitsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, table := newTable(standin.Config{})
		commit(t, table, 0, tree(1))
		s.SetFault(standin.Fault{Kind: standin.FaultLoseAnswer, Count: 1, WritesOnly: true})
		time.AfterFunc(time.Millisecond, func() {
			s.SetFault(standin.Fault{Kind: standin.FaultOutage, DurationMS: 20_000})
		})
		must.Eq(t, 2, commit(t, table, 1, tree(2)).Revision)
		newest, err := Newest(t.Context(), table)
		must.NoError(t, err)
		must.Eq(t, 2, newest)
	})
}

// The store is down beyond the operator's timeout. The error must say that the outcome is unknown and name the operation,
// not that nothing was written.
func TestUnresolvedCommitReturnsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, table := newTable(standin.Config{})
		commit(t, table, 0, tree(1))
		s.SetFault(standin.Fault{Kind: standin.FaultSlow, DelayMS: 60_000, WritesOnly: true})
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		rec, err := Commit(ctx, table, change(1, tree(2)))
		must.True(t, errorx.IsOfType(err, Unknown))
		must.StrContains(t, err.Error(), rec.OpID)
		time.Sleep(2 * time.Minute)
	})
}

func TestCommitOfEarlierText(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, table := newTable(standin.Config{})
		commit(t, table, 0, tree(1))
		commit(t, table, 1, tree(2))
		old, _, err := ReadText(t.Context(), table, 1)
		must.NoError(t, err)
		c := change(2, old)
		c.CopiedFrom = 1
		rec, err := Commit(t.Context(), table, c)
		must.NoError(t, err)
		must.Eq(t, 3, rec.Revision)
		text, rec, err := ReadText(t.Context(), table, 3)
		must.NoError(t, err)
		must.Eq(t, 1, rec.CopiedFrom)
		must.Eq(t, string(tree(1)), string(text))
	})
}

// Revisions refer to a full text stored up to 63 revisions earlier. Each must be readable with its exact bytes, also
// across the boundary where a new full text begins.
func TestEveryRevisionIsReadable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, table := newTable(standin.Config{})
		const revisions = fullTextInterval + 5
		for n := range uint64(revisions) {
			commit(t, table, n, tree(int(n)))
		}
		fullTexts := 0
		for n := range uint64(revisions) {
			text, rec, err := ReadText(t.Context(), table, n+1)
			must.NoError(t, err)
			must.Eq(t, string(tree(int(n))), string(text))
			if rec.FullRevision == rec.Revision {
				fullTexts++
			}
		}
		must.Eq(t, 2, fullTexts)
	})
}

func TestRecordDigestMismatchIsMalformed(t *testing.T) {
	body, err := pack(tree(1), nil)
	must.NoError(t, err)
	rec := Record{Revision: 1, FullRevision: 1, Digest: Digest(tree(2)), Body: body}
	_, err = rec.text(nil)
	must.True(t, errorx.IsOfType(err, Malformed))
}

// A table item unpacks to far more than a settings file may hold. It must be rejected, or it would exhaust the instance's
// memory.
func TestUnpackLimitsSize(t *testing.T) {
	body, err := pack(make([]byte, 64<<20), nil)
	must.NoError(t, err)
	_, err = unpack(body, nil)
	must.Error(t, err)
}

// One key hash changes in a tree of 480 workspaces. As full texts, 21,000 such changes a day would use most of the 29 KB/s
// that control traffic may use on an instance.
func TestDeltaIsSmall(t *testing.T) {
	base := workspaces(480)
	next := bytes.Replace(base, []byte(Digest([]byte("200"))), []byte(Digest([]byte("new"))), 1)
	must.NotEq(t, string(base), string(next))
	body, err := pack(next, base)
	must.NoError(t, err)
	full, err := pack(next, nil)
	must.NoError(t, err)
	must.Less(t, 200, len(body))
	must.Greater(t, 10_000, len(full))
	back, err := unpack(body, base)
	must.NoError(t, err)
	must.Eq(t, string(next), string(back))
}

// workspaces returns a tree with n workspaces whose key hashes don't compress.
func workspaces(n int) []byte {
	var b bytes.Buffer
	b.Write(tree(1))
	b.WriteString("workspaces:\n")
	for i := range n {
		fmt.Fprintf(&b, "  workspace-%d:\n    keys:\n      - sha256:%s\n    classes: [urgent]\n", i, Digest(fmt.Append(nil, i)))
	}
	return b.Bytes()
}
