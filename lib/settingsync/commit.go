package settingsync

import (
	"context"
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/platformapi"
	"anvilwick.example/anvilwick/lib/settings"
)

const (
	// conflictRecords bounds how many revisions a Conflict names.
	conflictRecords = 20
	// maxNote bounds a note and an operator's name, in bytes.
	maxNote = 1024
	// settlePause is the time between tries to settle an unknown outcome.
	settlePause = 500 * time.Millisecond
	// staleTries bounds how often a commit starts again because it read an old head.
	staleTries = 5
)

// Change is what an operator wants committed.
type Change struct {
	Text       []byte
	File       string // named by refusals
	Base       uint64 // revision that the change was made from; 0: there is none yet
	Operator   string
	Note       string
	CopiedFrom uint64    // earlier revision that Text is taken from; 0: none
	Time       time.Time // now, by the operator's clock
}

// Commit checks a change and commits it as the revision after Base. It returns the record once it is committed.
//
// A refused text is a *settings.Refusal. When others committed since Base the error is a *Conflict. A lost answer is
// settled by the operation's id until ctx ends; only then the error is Unknown, and the record names the operation.
func Commit(ctx context.Context, t Table, c Change) (*Record, error) {
	if _, err := settings.Parse(c.Text, c.File); err != nil {
		return nil, err
	}
	head, item, err := readHead(ctx, t)
	if err != nil {
		return nil, err
	}
	for range staleTries {
		if head.Revision > c.Base {
			return nil, conflict(ctx, t, c.Base, head.Revision)
		}
		if head.Digest == Digest(c.Text) && !head.outlived(t.Era()) {
			return nil, Unchanged.New("revision %d holds the same text", head.Revision)
		}
		rec, res, err := tryCommit(ctx, t, c, head, item)
		if platform.IsStaleEra(err) {
			err = nil // what was read is of before the table's return: it is read again
		}
		if err != nil || res.Committed {
			return rec, err
		}
		// The head was read from a replica that lags, or moved since. The failed condition carries its newest state.
		if item, err = headOf(ctx, t, res); err != nil {
			return nil, err
		}
		if head, err = decodeHead(item); err != nil {
			return nil, err
		}
		if head.Revision < c.Base {
			break
		}
	}
	return nil, &Conflict{Base: c.Base, Head: head.Revision}
}

// headOf returns the head's item out of the conditions that failed.
func headOf(ctx context.Context, t Table, res platformapi.TxnResult) (platformapi.Item, error) {
	for _, it := range res.Failed {
		if it.Key == platformapi.KeySettingsHead {
			return it, nil
		}
	}
	_, item, err := readHead(ctx, t)
	return item, err
}

// tryCommit writes the revision after head, on the condition that the head is still at item.
func tryCommit(ctx context.Context, t Table, c Change, head Head, item platformapi.Item) (*Record, platformapi.TxnResult, error) {
	rec, err := newRecord(ctx, t, c, head)
	if err != nil {
		return nil, platformapi.TxnResult{}, err
	}
	txn, err := commitTxn(rec, item, t.Era())
	if err != nil {
		return nil, platformapi.TxnResult{}, err
	}
	res, err := settle(ctx, t, txn)
	return rec, res, err
}

// settle runs a transaction until its outcome is known or ctx ends. The operator's terminal may lose the answer of a
// write that took effect; reported as failed, it would be committed twice or denied. Sending it again under the same
// operation id is enough: the platform answers an id that it knows with the first result.
func settle(ctx context.Context, t Table, txn platformapi.Txn) (platformapi.TxnResult, error) {
	for unsure := false; ; {
		res, err := t.Txn(ctx, txn)
		unsure = unsure || platform.IsUnknown(err)
		if err == nil || !unsure {
			return res, err
		}
		if platform.IsStaleEra(err) {
			return res, Unknown.Wrap(err, "operation %s", txn.OpID)
		}
		if !pause(ctx, settlePause) {
			return res, Unknown.Wrap(err, "operation %s", txn.OpID)
		}
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func newRecord(ctx context.Context, t Table, c Change, head Head) (*Record, error) {
	next := head.next(t.Era())
	rec := &Record{
		Revision:     next,
		Previous:     head.Revision,
		FullRevision: next,
		OpID:         ids.New().String(),
		Operator:     clip(c.Operator, maxNote),
		Time:         c.Time.UTC().Round(time.Millisecond),
		Note:         clip(c.Note, maxNote),
		CopiedFrom:   c.CopiedFrom,
		Digest:       Digest(c.Text),
	}
	base := baseFor(ctx, t, head, rec.Revision)
	if base.text != nil {
		rec.FullRevision = base.revision
	}
	body, err := pack(c.Text, base.text)
	rec.Body = body
	return rec, err
}

// baseFor returns the text to write a difference from; none when it is time for a whole text, or when the base can't
// be read: a whole text is always correct.
func baseFor(ctx context.Context, t Table, head Head, next uint64) baseText {
	if head.FullRevision == 0 || next-head.FullRevision >= wholeEvery {
		return baseText{}
	}
	base, err := readWhole(ctx, t, head.FullRevision)
	if err != nil {
		return baseText{}
	}
	return base
}

func clip(s string, size int) string {
	if len(s) > size {
		return s[:size]
	}
	return s
}

func commitTxn(rec *Record, head platformapi.Item, era uint64) (platformapi.Txn, error) {
	headValue, err := json.Marshal(Head{Revision: rec.Revision, FullRevision: rec.FullRevision, Digest: rec.Digest, Era: era})
	if err != nil {
		return platformapi.Txn{}, err
	}
	recValue, err := json.Marshal(rec)
	if err != nil {
		return platformapi.Txn{}, err
	}
	txn := platformapi.Txn{
		OpID: rec.OpID,
		Conds: []platformapi.Cond{
			{Key: platformapi.KeySettingsHead, Rev: head.Rev},
			{Key: revisionKey(rec.Revision)},
		},
		Puts: []platformapi.Put{
			{Key: platformapi.KeySettingsHead, Value: headValue},
			{Key: revisionKey(rec.Revision), Value: recValue},
		},
	}
	// The oldest ones kept must find their whole text, which stands up to wholeEvery revisions before them.
	if rec.Revision > keepRevisions+wholeEvery {
		txn.Deletes = []string{revisionKey(rec.Revision - keepRevisions - wholeEvery)}
	}
	return txn, nil
}

// conflict names the revisions after base.
func conflict(ctx context.Context, t Table, base, head uint64) error {
	out := &Conflict{Base: base, Head: head}
	first := base + 1
	if head-base > conflictRecords {
		first = head - conflictRecords + 1
	}
	for r := first; r <= head; r++ {
		rec, err := ReadRecord(ctx, t, r)
		if err != nil {
			continue // pruned, or the store went away: the conflict stands all the same
		}
		rec.Body = nil
		out.Between = append(out.Between, *rec)
	}
	return out
}

// Newest returns the newest revision number; 0 when nothing was committed yet. A stale read may answer an older one.
func Newest(ctx context.Context, t Table) (uint64, error) {
	head, _, err := readHead(ctx, t)
	return head.Revision, err
}

// History returns up to limit records without bodies, newest first.
func History(ctx context.Context, t Table, limit int) ([]Record, error) {
	head, _, err := readHead(ctx, t)
	if err != nil {
		return nil, err
	}
	var out []Record
	for r := head.Revision; r > 0 && len(out) < limit; {
		rec, err := ReadRecord(ctx, t, r)
		if errorx.IsOfType(err, Absent) {
			break
		}
		if err != nil {
			return out, err
		}
		rec.Body = nil
		out = append(out, *rec)
		r = rec.previous()
	}
	return out, nil
}

// previous is the number of the revision that a record follows.
func (r *Record) previous() uint64 {
	if r.Previous > 0 {
		return r.Previous
	}
	return r.Revision - 1
}
