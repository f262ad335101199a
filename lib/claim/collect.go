package claim

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/platformapi"
)

const (
	// Retention is how long a finished or released claim is kept after its last write. Callers must not send a key
	// again after it.
	Retention = 24 * time.Hour
	// OrphanRetention is how long a claim is kept that nobody finished.
	OrphanRetention = 7 * 24 * time.Hour

	collectPage  = 200
	collectBatch = 50 // deletions in one transaction
)

// Collector is the part of the platform's client that Collect uses.
type Collector interface {
	Txn(ctx context.Context, txn platformapi.Txn) (platformapi.TxnResult, error)
	Range(ctx context.Context, prefix string, after uint64, limit int) (platformapi.RangeResult, error)
}

// Collect deletes claims past their retention and returns how many. guard is put before each transaction, so that
// the holder of a lease works alone; it may be empty.
//
// Pages come in order of last write, so Collect stops at the first claim that is young: its cost follows what has
// expired, not what is kept. Unfinished claims between Retention and OrphanRetention are read again each time.
func Collect(ctx context.Context, s Collector, guard []platformapi.Cond, now time.Time) (int, error) {
	deleted := 0
	for after := uint64(0); ; {
		page, err := s.Range(ctx, platformapi.KeyClaim, after, collectPage)
		if err != nil {
			return deleted, err
		}
		old, young := expired(page.Items, now)
		n, err := deleteAll(ctx, s, guard, old)
		deleted += n
		if err != nil || young || !page.More {
			return deleted, err
		}
		after = page.Items[len(page.Items)-1].Rev
	}
}

// expired picks the claims to delete; it reports true when a young one shows that the rest is young.
func expired(items []platformapi.Item, now time.Time) (old []platformapi.Item, young bool) {
	for _, it := range items {
		r, err := decode(it)
		if err != nil {
			continue // not ours to delete
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

// deleteAll deletes in batches. A batch that meets a claim changed meanwhile deletes nothing, and is left for the
// next time.
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
