// Package settingsync commits revisions of settings to the platform's table and distributes them to every process.
//
// The table holds a linear history of revisions. A head item names the newest. Each revision is an item of its own,
// written in the same transaction as the head that first names it, on the condition that the head did not move
// meanwhile. So an accepted change is a committed one, and two operators can't both commit on top of the same revision.
//
// A Sync holds the highest revision that its process has seen, from the table, from peers or from the control
// process, and never goes back to a lower one. It needs the store only to receive new revisions.
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
	// fullTextInterval is how many revisions share one full text; the others are stored as deltas against it. A delta
	// costs some tens of bytes for each change since the full text; a full text costs its compressed size.
	fullTextInterval = 64
	// keepRevisions bounds the table: older revisions are deleted as new ones are written.
	keepRevisions = 20000
)

// Table is the part of the platform's client that this package uses. Get reports false for an absent key.
type Table interface {
	Get(ctx context.Context, key string) (platformapi.Item, bool, error)
	Range(ctx context.Context, prefix string, afterRev uint64, limit int) (platformapi.RangeResult, error)
	Txn(ctx context.Context, txn platformapi.Txn) (platformapi.TxnResult, error)
	// Era returns the highest table era seen in any reply.
	Era() uint64
}

// Head names the newest revision.
type Head struct {
	Revision     uint64 `json:"revision"`
	FullRevision uint64 `json:"whole"` // newest revision that is stored as a full text
	Digest       string `json:"digest"`
	Era          uint64 `json:"era,omitempty"` // table era known to the committer; 0: the first
}

// predatesEra reports whether the head was written before the table was restored from a backup. Revisions after it may
// then be lost from the table but still in force at instances. Without a head, the same holds for the first revision.
func (h Head) predatesEra(era uint64) bool { return max(platformapi.FirstEra, h.Era) < era }

// eraRevisionGap is how many revision numbers are skipped after a restore: more than are committed in the seconds that
// the backup lacks.
const eraRevisionGap = 1000

// nextRevision returns the number of the revision after the head. The number of a lost revision is not reused: instances
// that hold the lost revision would take the new one for it.
func (h Head) nextRevision(era uint64) uint64 {
	if h.predatesEra(era) {
		return h.Revision + eraRevisionGap + 1
	}
	return h.Revision + 1
}

// Record is one committed revision.
type Record struct {
	Revision     uint64    `json:"revision"`
	Previous     uint64    `json:"before,omitempty"` // revision that it follows; 0: Revision-1
	FullRevision uint64    `json:"whole"`            // Body is a delta against its text; equal to Revision: Body is a full text
	OpID         string    `json:"op_id"`
	Operator     string    `json:"operator"`
	Time         time.Time `json:"time"` // on the operator's clock
	Note         string    `json:"note,omitempty"`
	CopiedFrom   uint64    `json:"from,omitempty"` // earlier revision that the text was copied from
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

// readHead returns the head and its item. For an empty table the revision is 0.
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

// ReadText returns the text of a revision and its record.
func ReadText(ctx context.Context, t Table, revision uint64) ([]byte, *Record, error) {
	text, _, rec, err := readText(ctx, t, revision, baseText{})
	return text, rec, err
}

// baseText is a full text that deltas refer to.
type baseText struct {
	revision uint64
	text     []byte
}

// readText is like ReadText but takes a full text that the caller already has, and returns the one it used.
func readText(ctx context.Context, t Table, revision uint64, base baseText) ([]byte, baseText, *Record, error) {
	rec, err := ReadRecord(ctx, t, revision)
	if err != nil {
		return nil, base, nil, err
	}
	if rec.FullRevision != revision && rec.FullRevision != base.revision {
		base, err = readFullText(ctx, t, rec.FullRevision)
		if err != nil {
			return nil, base, nil, err
		}
	}
	text, err := rec.text(base.text)
	if err != nil {
		return nil, base, nil, err
	}
	if rec.FullRevision == revision {
		base = baseText{revision, text}
	}
	return text, base, rec, nil
}

func readFullText(ctx context.Context, t Table, revision uint64) (baseText, error) {
	rec, err := ReadRecord(ctx, t, revision)
	if err != nil {
		return baseText{}, err
	}
	if rec.FullRevision != revision {
		return baseText{}, Malformed.New("revision %d is not stored as a full text", revision)
	}
	text, err := rec.text(nil)
	return baseText{revision, text}, err
}

// text unpacks the record's text and verifies its digest.
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
