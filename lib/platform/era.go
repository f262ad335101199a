package platform

import (
	"errors"

	"github.com/joomcode/errorx"

	"anvilwick.example/anvilwick/lib/platformapi"
)

// StaleEra says that a write was not made because its conditions are of an era before: the table came back from a copy, and their
// revisions may name other writes now. Read again, and decide again.
var StaleEra = NotCommitted.NewSubtype("other_era")

var errOtherEra = errors.New("the conditions are of an era of the table before")

// IsStaleEra reports whether a write was not made because its conditions are of an era before.
func IsStaleEra(err error) bool { return errorx.IsOfType(err, StaleEra) }

// Era returns the highest era of the table that an answer has told.
func (c *Client) Era() uint64 { return max(platformapi.FirstEra, uint64(c.eras.Highest())) }

// rawTxn is a transaction as the table takes it. It fails where a condition is of an era before: the table would compare it with
// revisions that it has given out again.
func (c *Client) rawTxn(txn platformapi.Txn) (platformapi.Txn, *exchangeError) {
	if c.isOld(txn) {
		return txn, &exchangeError{fate: fateOtherEra, cause: errOtherEra}
	}
	raw := txn
	raw.Conds = make([]platformapi.Cond, len(txn.Conds))
	for i, cond := range txn.Conds {
		raw.Conds[i] = platformapi.Cond{Key: cond.Key, Rev: platformapi.RevOf(cond.Rev)}
	}
	return raw, nil
}

func (c *Client) isOld(txn platformapi.Txn) bool {
	seen := c.Era()
	for _, cond := range txn.Conds {
		if cond.Rev != 0 && platformapi.EraOf(cond.Rev) != seen {
			return true
		}
	}
	return false
}

// orderTxn gives an answer's revisions their era. It fails where the table came back from a copy while a transaction with conditions was on
// its way: what these were compared with is not what they were made for.
func orderTxn(txn platformapi.Txn, res *platformapi.TxnResult, era uint64) *exchangeError {
	res.Rev = platformapi.OrderedRev(era, res.Rev)
	for i := range res.Failed {
		res.Failed[i].Rev = platformapi.OrderedRev(era, res.Failed[i].Rev)
	}
	for _, cond := range txn.Conds {
		if cond.Rev != 0 && platformapi.EraOf(cond.Rev) != era && res.Committed {
			return &exchangeError{fate: fateCrossed, cause: errOtherEra}
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
