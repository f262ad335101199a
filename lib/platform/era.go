package platform

import (
	"errors"

	"github.com/joomcode/errorx"

	"anvilwick.example/anvilwick/lib/platformapi"
)

// StaleEra is the error of a write that was not made because its conditions are of an earlier era: the table was restored from a backup,
// and their revisions may identify other writes now. The caller must read again and decide again.
var StaleEra = NotCommitted.NewSubtype("other_era")

var errStaleEra = errors.New("the conditions are of an earlier era of the table")

// IsStaleEra reports whether a write was not made because its conditions are of an earlier era.
func IsStaleEra(err error) bool { return errorx.IsOfType(err, StaleEra) }

// Era returns the highest era of the table seen in a response.
func (c *Client) Era() uint64 { return max(platformapi.FirstEra, uint64(c.eras.Highest())) }

// rawTxn converts a transaction's revisions to those of the table. It fails if a condition is of an earlier era: the table would compare
// it with revisions that it has reissued since.
func (c *Client) rawTxn(txn platformapi.Txn) (platformapi.Txn, *exchangeError) {
	if c.hasStaleCond(txn) {
		return txn, &exchangeError{fate: fateStaleEra, cause: errStaleEra}
	}
	out := txn
	out.Conds = make([]platformapi.Cond, len(txn.Conds))
	for i, cond := range txn.Conds {
		out.Conds[i] = platformapi.Cond{Key: cond.Key, Rev: platformapi.RevOf(cond.Rev)}
	}
	return out, nil
}

func (c *Client) hasStaleCond(txn platformapi.Txn) bool {
	seen := c.Era()
	for _, cond := range txn.Conds {
		if cond.Rev != 0 && platformapi.EraOf(cond.Rev) != seen {
			return true
		}
	}
	return false
}

// orderTxn converts a result's revisions to ordered ones. It fails if the table was restored from a backup while a transaction with
// conditions was in flight: the conditions were compared with revisions of another era.
func orderTxn(txn platformapi.Txn, res *platformapi.TxnResult, era uint64) *exchangeError {
	res.Rev = platformapi.OrderedRev(era, res.Rev)
	for i := range res.Failed {
		res.Failed[i].Rev = platformapi.OrderedRev(era, res.Failed[i].Rev)
	}
	for _, cond := range txn.Conds {
		if cond.Rev != 0 && platformapi.EraOf(cond.Rev) != era && res.Committed {
			return &exchangeError{fate: fateEraChanged, cause: errStaleEra}
		}
	}
	return nil
}

func orderRange(res *platformapi.RangeResult, era uint64) {
	res.Rev = platformapi.OrderedRev(era, res.Rev)
	for i := range res.Items {
		res.Items[i].Rev = platformapi.OrderedRev(era, res.Items[i].Rev)
	}
}
