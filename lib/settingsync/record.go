// Package settingsync commits revisions of settings to the platform's table and brings them into force everywhere.
//
// The table holds one line of revisions. A head names the newest; each revision is an item of its own, written in the
// same transaction as the head that first names it, on the condition that nobody moved the head meanwhile. Accepted
// therefore means committed, and two operators can't both follow one revision.
//
// A Sync holds the highest revision that its process has seen, from the table, from peers or from the control
// process, and never goes back to a lower one. It needs the store for new revisions alone.
package settingsync

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"anvilwick.example/anvilwick/lib/platformapi"
)

const (
	// wholeEvery is how many revisions share one whole text; the others are written as differences from it. A
	// difference costs some tens of bytes for each change since, a whole text its compressed size.
	wholeEvery = 64
	// keepRevisions bounds the table: older revisions are deleted as new ones are written.
	keepRevisions = 20000
)

// Table is the part of the platform's client that settings use. Get reports false for an absent key.
type Table interface {
	Get(ctx context.Context, key string) (platformapi.Item, bool, error)
	Range(ctx context.Context, prefix string, afterRev uint64, limit int) (platformapi.RangeResult, error)
	Txn(ctx context.Context, txn platformapi.Txn) (platformapi.TxnResult, error)
	// Era returns the highest era of the table that an answer has told.
	Era() uint64
}

// Head names the newest revision.
type Head struct {
	Revision     uint64 `json:"revision"`
	FullRevision uint64 `json:"whole"` // newest revision whose text was written whole
	Digest       string `json:"digest"`
	Era          uint64 `json:"era,omitempty"` // of the table, as the one who committed it knew it; 0: the first
}

// outlived reports whether the head was written before the table came back from a copy: revisions after it may be lost, and in
// force all the same. So may the first, where there is no head.
func (h Head) outlived(era uint64) bool { return max(platformapi.FirstEra, h.Era) < era }

// eraGap is how many numbers are left out after a copy: more revisions than are committed in the seconds that one lacks.
const eraGap = 1000

// next is the number of the revision after the head. One that was lost is not given out again: instances that hold it would take the
// second for the first.
func (h Head) next(era uint64) uint64 {
	if h.outlived(era) {
		return h.Revision + eraGap + 1
	}
	return h.Revision + 1
}

// Record is one committed revision.
type Record struct {
	Revision     uint64    `json:"revision"`
	Previous     uint64    `json:"before,omitempty"` // the revision that it follows; 0: the number before its own
	FullRevision uint64    `json:"whole"`            // Body is a difference from this revision's text; Revision itself: Body is whole
	OpID         string    `json:"op_id"`
	Operator     string    `json:"operator"`
	Time         time.Time `json:"time"` // by the operator's clock
	Note         string    `json:"note,omitempty"`
	CopiedFrom   uint64    `json:"from,omitempty"` // earlier revision that it rolled forward to
	Digest       string    `json:"digest"`         // of the text
	Body         []byte    `json:"body"`           // compressed
}

// Digest returns the SHA-256 of a text in hexadecimal digits.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

func revisionKey(revision uint64) string {
	return fmt.Sprintf("%s%012d", platformapi.KeySettingsRev, revision)
}

// readHead returns the head with its item; an empty table has revision 0.
func readHead(ctx context.Context, t Table) (Head, platformapi.Item, error) {
	item, found, err := t.Get(ctx, platformapi.KeySettingsHead)
	if err != nil || !found {
		return Head{}, platformapi.Item{Key: platformapi.KeySettingsHead}, err
	}
	h, err := decodeHead(item)
	return h, item, err
}

func decodeHead(item platformapi.Item) (Head, error) {
	var h Head
	if item.Rev == 0 {
		return h, nil
	}
	if err := json.Unmarshal(item.Value, &h); err != nil {
		return h, Malformed.Wrap(err, "read %s", item.Key)
	}
	return h, nil
}

// ReadRecord returns one committed revision.
func ReadRecord(ctx context.Context, t Table, revision uint64) (*Record, error) {
	item, found, err := t.Get(ctx, revisionKey(revision))
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, Absent.New("revision %d is not in the table", revision)
	}
	return decodeRecord(item)
}

func decodeRecord(item platformapi.Item) (*Record, error) {
	var r Record
	if err := json.Unmarshal(item.Value, &r); err != nil {
		return nil, Malformed.Wrap(err, "read %s", item.Key)
	}
	return &r, nil
}

// ReadText returns the text of a revision.
func ReadText(ctx context.Context, t Table, revision uint64) ([]byte, *Record, error) {
	text, _, rec, err := readText(ctx, t, revision, baseText{})
	return text, rec, err
}

// baseText is a text that differences refer to.
type baseText struct {
	revision uint64
	text     []byte
}

// readText is ReadText for a caller that may hold the whole text already. It returns the one that it used.
func readText(ctx context.Context, t Table, revision uint64, held baseText) ([]byte, baseText, *Record, error) {
	rec, err := ReadRecord(ctx, t, revision)
	if err != nil {
		return nil, held, nil, err
	}
	if rec.FullRevision != revision && rec.FullRevision != held.revision {
		held, err = readWhole(ctx, t, rec.FullRevision)
		if err != nil {
			return nil, held, nil, err
		}
	}
	text, err := rec.text(held.text)
	if err != nil {
		return nil, held, nil, err
	}
	if rec.FullRevision == revision {
		held = baseText{revision, text}
	}
	return text, held, rec, nil
}

func readWhole(ctx context.Context, t Table, revision uint64) (baseText, error) {
	rec, err := ReadRecord(ctx, t, revision)
	if err != nil {
		return baseText{}, err
	}
	if rec.FullRevision != revision {
		return baseText{}, Malformed.New("revision %d is not whole", revision)
	}
	text, err := rec.text(nil)
	return baseText{revision, text}, err
}

// text unpacks the record's text and proves it by its digest.
func (r *Record) text(base []byte) ([]byte, error) {
	if r.FullRevision == r.Revision {
		base = nil
	}
	text, err := unpack(r.Body, base)
	if err != nil {
		return nil, Malformed.Wrap(err, "unpack revision %d", r.Revision)
	}
	if Digest(text) != r.Digest {
		return nil, Malformed.New("revision %d does not match its digest", r.Revision)
	}
	return text, nil
}
