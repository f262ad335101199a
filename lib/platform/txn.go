package platform

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/platformapi"
)

// Waits between tries to settle a write; each doubles the one before, with jitter.
const (
	settleWaitMin = 20 * time.Millisecond
	settleWaitMax = 250 * time.Millisecond
)

// NewOpID returns a fresh operation id.
func NewOpID() string { return ids.New().String() }

// Txn runs a transaction by itself. It fills in the OpID when there is none.
//
// The platform may execute a transaction whose answer never arrives. Without settlement a caller that tries again
// would write twice, and one that gives up would leave a write that it denies. Reading the operation back, and
// sending it again under the same id when it isn't there, is enough, because the platform answers an id that it
// knows with its first result.
func (c *Client) Txn(ctx context.Context, txn platformapi.Txn) (platformapi.TxnResult, error) {
	if txn.OpID == "" {
		txn.OpID = NewOpID()
	}
	res, err := c.send(ctx, txn)
	if err == nil {
		return res, nil
	}
	if err.fate != fateLost {
		return res, writeError(err, txn.OpID)
	}
	return c.settle(ctx, txn, err)
}

// send makes one try at a transaction.
func (c *Client) send(ctx context.Context, txn platformapi.Txn) (platformapi.TxnResult, *exchangeError) {
	if err := c.admit(ctx, useTxn, c.budget.writes); err != nil {
		return platformapi.TxnResult{}, err
	}
	return c.post(ctx, txn)
}

// post is send for a caller that has taken its token.
func (c *Client) post(ctx context.Context, txn platformapi.Txn) (platformapi.TxnResult, *exchangeError) {
	var out platformapi.TxnResult
	raw, err := c.rawTxn(txn)
	if err != nil {
		return out, err
	}
	res, err := c.exchange(ctx, useTxn, c.base.New().Post(platformapi.PathTxn).BodyJSON(raw))
	if err != nil {
		return out, err
	}
	return out, decodeTxn(txn, res, &out)
}

// decodeTxn reads the result of a transaction.
func decodeTxn(txn platformapi.Txn, res response, into *platformapi.TxnResult) *exchangeError {
	if err := decode(res, into); err != nil {
		return err
	}
	return orderTxn(txn, into, res.era)
}

// decode reads an answer; an answer that can't be read is a lost one.
func decode(res response, into any) *exchangeError {
	if err := json.Unmarshal(res.body, into); err != nil {
		return &exchangeError{fate: fateLost, cause: err}
	}
	return nil
}

// settle finds out what became of a transaction whose answer was lost, until SettleTimeout or the end of ctx.
func (c *Client) settle(ctx context.Context, txn platformapi.Txn, first *exchangeError) (platformapi.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.SettleTimeout)
	defer cancel()
	for wait := settleWaitMin; ; wait = min(2*wait, settleWaitMax) {
		if res, ok := c.readBack(ctx, txn); ok {
			return res, nil
		}
		if !sleep(ctx, jitter(wait)) {
			return platformapi.TxnResult{}, writeError(first, txn.OpID)
		}
	}
}

// readBack reads the operation's result, or sends it again when the platform has none. A missing result alone
// proves nothing: the first try may still be on its way.
func (c *Client) readBack(ctx context.Context, txn platformapi.Txn) (platformapi.TxnResult, bool) {
	var out platformapi.TxnResult
	if c.admit(ctx, useOp, c.budget.reads) != nil {
		return out, false
	}
	res, err := c.exchange(ctx, useOp, c.base.New().Get(platformapi.PathOp+txn.OpID))
	if err != nil {
		return out, false
	}
	if res.status != http.StatusNotFound {
		return out, decodeTxn(txn, res, &out) == nil
	}
	out, err = c.send(ctx, txn)
	return out, err == nil
}

// sleep waits for d; it reports false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// jitter draws from the upper half of d, so that clients cut off together do not come back together.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
