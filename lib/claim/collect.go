package claim

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/platformapi"
)

const (
	// Retention is how long a finished or released claim is kept after its last write. Callers must not resend a key after that.
	Retention = 24 * time.Hour
	// OrphanRetention is how long an unfinished claim is kept.
	OrphanRetention = 7 * 24 * time.Hour

	collectPage  = 200
	collectBatch = 50 // deletions in one transaction
)

// Collector is the part of the platform's client that Collect uses.
type Collector interface {
	Txn(ctx context.Context, txn platformapi.Txn) (platformapi.TxnResult, error)
	Range(ctx context.Context, prefix string, after uint64, limit int) (platformapi.RangeResult, error)
}

// Collect deletes claims past their retention and returns how many. guard is added to each transaction, so that only the holder of a
// lease can delete; it may be empty.
//
// Pages come in order of last write, so Collect stops at the first claim within Retention: its cost depends on what has expired, not on
// what is kept. Unfinished claims between Retention and OrphanRetention are read again each time.
func Collect(ctx context.Context, s Collector, guard []platformapi.Cond, now time.Time) (int, error) {
	deleted := 0
	for after := uint64(0); ; {
		page, err := s.Range(ctx, platformapi.KeyClaim, after, collectPage)
		if err != nil {
			return deleted, err
		}
		old, foundRecent := selectExpired(page.Items, now)
		n, err := deleteAll(ctx, s, guard, old)
		deleted += n
		if err != nil || foundRecent || !page.More {
			return deleted, err
		}
		after = page.Items[len(page.Items)-1].Rev
	}
}

// selectExpired selects the claims to delete. It returns true when it found one within Retention, as all later ones are then too.
func selectExpired(items []platformapi.Item, now time.Time) (old []platformapi.Item, foundRecent bool) {
	for _, it := range items {
		r, err := decode(it)
		if err != nil {
			continue // unknown format: do not delete it
		}
		age := now.Sub(time.Unix(r.UnixSec, 0))
		if age < Retention {
			return old, true
		}
		if r.State == Finished || r.State == Released || age >= OrphanRetention {
			old = append(old, it)
		}
	}
	return old, false
}

// deleteAll deletes in batches. If a claim in a batch has changed meanwhile, the batch deletes nothing, and is left for the next
// Collect.
func deleteAll(ctx context.Context, s Collector, guard []platformapi.Cond, items []platformapi.Item) (int, error) {
	deleted := 0
	for len(items) > 0 {
		n := min(len(items), collectBatch)
		txn := platformapi.Txn{Conds: append([]platformapi.Cond(nil), guard...)}
		for _, it := range items[:n] {
			txn.Conds = append(txn.Conds, platformapi.Cond{Key: it.Key, Rev: it.Rev})
			txn.Deletes = append(txn.Deletes, it.Key)
		}
		res, err := s.Txn(ctx, txn)
		if err != nil {
			return deleted, err
		}
		if res.Committed {
			deleted += n
		}
		items = items[n:]
	}
	return deleted, nil
}
