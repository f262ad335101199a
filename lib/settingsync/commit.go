package settingsync

import (
	"context"
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"

	"anvilwick.example/anvilwick/lib/ctxtime"
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/platformapi"
	"anvilwick.example/anvilwick/lib/settings"
)

const (
	// maxConflictRecords bounds the number of revisions listed in a Conflict.
	maxConflictRecords = 20
	// maxNoteBytes bounds the length of a note and of an operator's name.
	maxNoteBytes = 1024
	// outcomeRetryInterval is the time between attempts to resolve an unknown outcome.
	outcomeRetryInterval = 500 * time.Millisecond
	// maxStaleRetries bounds how often a commit is retried because it read an old head.
	maxStaleRetries = 5
)

// Change is a change that an operator submits for commit.
type Change struct {
	Text       []byte
	File       string // file name used in validation errors
	Base       uint64 // revision that the change was made from; 0: none exists yet
	Operator   string
	Note       string
	CopiedFrom uint64    // earlier revision that Text is copied from; 0: none
	Time       time.Time // current time on the operator's clock
}

// Commit validates a change, commits it as the revision after Base and returns its record.
//
// Invalid text gives a *settings.ValidationError. If other revisions were committed since Base the error is a *Conflict.
// If the reply is lost, Commit resends the transaction under the same operation ID until ctx ends; only then is the error
// Unknown, and the returned record names the operation.
func Commit(ctx context.Context, t Table, c Change) (*Record, error) {
	if _, err := settings.Parse(c.Text, c.File); err != nil {
		return nil, err
	}
	head, item, err := readHead(ctx, t)
	if err != nil {
		return nil, err
	}
	for range maxStaleRetries {
		if head.Revision > c.Base {
			return nil, newConflict(ctx, t, c.Base, head.Revision)
		}
		if head.Digest == Digest(c.Text) && !head.predatesEra(t.Era()) {
			return nil, Unchanged.New("revision %d holds the same text", head.Revision)
		}
		rec, res, err := tryCommit(ctx, t, c, head, item)
		if platform.IsStaleEra(err) {
			err = nil // the head was read before the table was restored: read it again
		}
		if err != nil || res.Committed {
			return rec, err
		}
		// The head was read from a lagging replica, or has moved since. The failed condition carries its current state.
		if item, err = headFromResult(ctx, t, res); err != nil {
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

// headFromResult returns the head's item from the failed conditions of a transaction, or reads it again.
func headFromResult(ctx context.Context, t Table, res platformapi.TxnResult) (platformapi.Item, error) {
	for _, it := range res.Failed {
		if it.Key == platformapi.KeySettingsHead {
			return it, nil
		}
	}
	_, item, err := readHead(ctx, t)
	return item, err
}

// tryCommit writes the revision after head, on the condition that the head is unchanged since item was read.
func tryCommit(ctx context.Context, t Table, c Change, head Head, item platformapi.Item) (*Record, platformapi.TxnResult, error) {
	rec, err := newRecord(ctx, t, c, head)
	if err != nil {
		return nil, platformapi.TxnResult{}, err
	}
	txn, err := commitTxn(rec, item, t.Era())
	if err != nil {
		return nil, platformapi.TxnResult{}, err
	}
	res, err := runUntilKnown(ctx, t, txn)
	return rec, res, err
}

// runUntilKnown runs a transaction until its outcome is known or ctx ends. The reply to a write that took effect may be
// lost; if it were reported as failed, the operator might commit it twice or assume that it is not committed. Resending
// under the same operation ID is sufficient: the platform answers a known ID with the first result.
func runUntilKnown(ctx context.Context, t Table, txn platformapi.Txn) (platformapi.TxnResult, error) {
	for ambiguous := false; ; {
		res, err := t.Txn(ctx, txn)
		ambiguous = ambiguous || platform.IsUnknown(err)
		if err == nil || !ambiguous {
			return res, err
		}
		if platform.IsStaleEra(err) {
			return res, Unknown.Wrap(err, "operation %s", txn.OpID)
		}
		if !ctxtime.Sleep(ctx, outcomeRetryInterval) {
			return res, Unknown.Wrap(err, "operation %s", txn.OpID)
		}
	}
}

func newRecord(ctx context.Context, t Table, c Change, head Head) (*Record, error) {
	next := head.nextRevision(t.Era())
	rec := &Record{
		Revision:     next,
		Previous:     head.Revision,
		FullRevision: next,
		OpID:         ids.New().String(),
		Operator:     truncate(c.Operator, maxNoteBytes),
		Time:         c.Time.UTC().Round(time.Millisecond),
		Note:         truncate(c.Note, maxNoteBytes),
		CopiedFrom:   c.CopiedFrom,
		Digest:       Digest(c.Text),
	}
	base := deltaBase(ctx, t, head, rec.Revision)
	if base.text != nil {
		rec.FullRevision = base.revision
	}
	body, err := pack(c.Text, base.text)
	rec.Body = body
	return rec, err
}

// deltaBase returns the text to encode a delta against. It returns none when a full text is due or when the base can't be
// read, since a full text is always correct.
func deltaBase(ctx context.Context, t Table, head Head, next uint64) baseText {
	if head.FullRevision == 0 || next-head.FullRevision >= fullTextInterval {
		return baseText{}
	}
	base, err := readFullText(ctx, t, head.FullRevision)
	if err != nil {
		return baseText{}
	}
	return base
}

func truncate(s string, size int) string {
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
	// The oldest revisions kept need their full text, which is up to fullTextInterval revisions older.
	if rec.Revision > keepRevisions+fullTextInterval {
		txn.Deletes = []string{revisionKey(rec.Revision - keepRevisions - fullTextInterval)}
	}
	return txn, nil
}

// newConflict returns a Conflict that lists the revisions after base.
func newConflict(ctx context.Context, t Table, base, head uint64) error {
	out := &Conflict{Base: base, Head: head}
	first := base + 1
	if head-base > maxConflictRecords {
		first = head - maxConflictRecords + 1
	}
	for r := first; r <= head; r++ {
		rec, err := ReadRecord(ctx, t, r)
		if err != nil {
			continue // deleted, or the store is unavailable; the conflict exists either way
		}
		rec.Body = nil
		out.Between = append(out.Between, *rec)
	}
	return out
}

// Newest returns the newest revision number, or 0 if nothing was committed yet. A stale read may return an older one.
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

// previous returns the number of the revision that the record follows.
func (r *Record) previous() uint64 {
	if r.Previous > 0 {
		return r.Previous
	}
	return r.Revision - 1
}
